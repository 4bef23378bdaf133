package controlplane

import (
	"time"

	"github.com/hyssophaven/hyssophaven/bootclock"
	"github.com/hyssophaven/hyssophaven/catalog"
	"github.com/hyssophaven/hyssophaven/rowstore"
)

// A waiting call of the feed shows nothing while it waits: its connection can be silent,
// or the store can have lost track of it. Each instance therefore knows how old its
// evidence for the config is, whichever call it came from:
//
//   - The holder of the order lease writes it on the condition that the row of the config
//     is unchanged, and tells its peers the age of that evidence.
//   - An instance whose evidence is older than configMaxAge reads the row, over a new
//     connection, and once more if that fails.
const (
	// boundMargin is the part of a time bound that is left for answers, decoding and a
	// busy processor.
	boundMargin = 100 * time.Millisecond
	// defaultConfigTime is used if the deployment sets no time within which a change of
	// the config must be in force.
	defaultConfigTime = 2 * time.Second
	// configCheckTimeout limits a read of the config's row. The answer usually takes 4 ms,
	// and 60 times as long if the store is slow.
	configCheckTimeout = 300 * time.Millisecond
	// checksPerBound is the number of reads that fit in the bound, each configCheckTimeout
	// after the one before. There is a pause after further failed ones.
	checksPerBound                           = 2
	minFailedCheckPause, maxFailedCheckPause = 500 * time.Millisecond, 2 * time.Second
	// minConfigMaxAge is the minimum age at which the row is read. minHolderConfigMaxAge is
	// the minimum on the holder, whose renewals are 650 ms and a tick apart.
	minConfigMaxAge, minHolderConfigMaxAge = 500 * time.Millisecond, 850 * time.Millisecond
)

// configMaxAge returns the age of the evidence for the config at which an instance reads
// its row. The holder reads it earlier by the interval at which its peers hear from it, so
// that they need not.
func configMaxAge(configTime time.Duration, isHolder bool, stateInterval time.Duration) time.Duration {
	if configTime <= 0 {
		configTime = defaultConfigTime
	}
	age := max(configTime-tickInterval-checksPerBound*configCheckTimeout-boundMargin, minConfigMaxAge)
	if isHolder {
		return max(age-stateInterval, minHolderConfigMaxAge)
	}
	return age
}

// ConfigRow is the row of the config with a version of it. The counter of the version is 0
// if the row does not exist.
type ConfigRow struct {
	Table, Key string
	Version    rowstore.Version
}

// configState is what this instance knows about the row of the config. Answers of the
// store about other rows do not change it.
type configState struct {
	row ConfigRow // Table is empty until the table has been read
	// currentAt is the latest time at which the config is known to have been the newest
	// one in the store.
	currentAt time.Time

	checking     bool      // the row is being read
	failedChecks int       // since the last answered one
	nextCheck    time.Time // earliest time of the next read

	leaseWrite conditionalWrite // in flight, or zero
	// writeUnconditionally is set after a rejected write of the lease, so that changes in
	// quick succession do not delay the next one.
	writeUnconditionally bool
}

// conditionalWrite is a write of the order lease that requires the row to have version.
type conditionalWrite struct {
	version rowstore.Version
	sentAt  time.Time
}

// age returns the age of the evidence, or a negative value if there is none.
func (s *configState) age(now time.Time) time.Duration {
	if s.currentAt.IsZero() {
		return -1
	}
	return max(0, now.Sub(s.currentAt))
}

// confirm records that the row had the given version at a time, or later if at is zero.
// The version can be older than the known one if the answers overtook each other.
func (s *configState) confirm(version rowstore.Version, at time.Time) {
	if version.Era() < s.row.Version.Era() {
		return
	}
	current := !at.Before(s.currentAt)
	if removed := version.Counter() == 0 && current; version > s.row.Version || removed {
		s.row.Version = version
	}
	if current {
		s.currentAt = at
	}
}

// startCheck reports whether the row must be read now, and records that it is being read.
func (s *configState) startCheck(now time.Time, maxAge time.Duration) bool {
	if s.row.Table == "" || s.checking || now.Before(s.nextCheck) || now.Sub(s.currentAt) < maxAge {
		return false
	}
	s.checking, s.nextCheck = true, now.Add(configCheckTimeout)
	return true
}

// endCheck records the end of a read of the row.
func (s *configState) endCheck(now time.Time, failed bool) {
	s.checking = false
	if !failed {
		s.failedChecks = 0
		return
	}
	s.failedChecks++
	if doublings := s.failedChecks - checksPerBound; doublings >= 0 {
		s.nextCheck = now.Add(min(minFailedCheckPause<<min(doublings, 8), maxFailedCheckPause))
	}
}

// startLeaseWrite returns the row that a write of the order lease requires to be
// unchanged, or nil. Conditions compare counters, which say nothing about rows of another era.
func (s *configState) startLeaseWrite(now time.Time, lease rowstore.Version) *ConfigRow {
	s.leaseWrite = conditionalWrite{}
	if s.writeUnconditionally || s.row.Table == "" || s.row.Version.Era() != lease.Era() {
		s.writeUnconditionally = false
		return nil
	}
	row := s.row
	s.leaseWrite = conditionalWrite{version: row.Version, sentAt: now}
	return &row
}

// endLeaseWrite records that the store confirmed a write of the lease with the given version.
func (s *configState) endLeaseWrite(lease rowstore.Version) {
	if !s.leaseWrite.sentAt.IsZero() && s.leaseWrite.version.Era() == lease.Era() {
		s.confirm(s.leaseWrite.version, s.leaseWrite.sentAt)
	}
	s.leaseWrite = conditionalWrite{}
}

// ConfigSeen reports a config that was read from the store or relayed by the holder of
// the order lease.
type ConfigSeen struct {
	Config *catalog.Config // nil if the row does not exist or can't be decoded
	Value  []byte          // of the row
	Row    ConfigRow       // zero if the holder relayed the config
	// AsOf is the time at which the config was the newest one. It is zero if the config
	// comes from the feed, which RowsSeen reports.
	AsOf time.Time
}

func (e ConfigSeen) apply(c *core, now time.Time) {
	if e.Config != nil {
		c.adoptConfig(now, e.Config, e.Value)
	}
	s := &c.configState
	if e.Row.Table == "" {
		s.confirm(s.row.Version, e.AsOf)
		return
	}
	s.row.Table, s.row.Key = e.Row.Table, e.Row.Key
	s.confirm(e.Row.Version, e.AsOf)
	if !e.AsOf.IsZero() && e.Row.Version > c.tableVersions[e.Row.Table] {
		c.log.Warn("feed is behind", "table", e.Row.Table, "version", c.tableVersions[e.Row.Table], "row_version", e.Row.Version)
		c.tableVersions[e.Row.Table] = e.Row.Version
		c.publishEvent(FeedBehind{Table: e.Row.Table})
	}
}

// ConfigRelayed is published to have a config decoded that came from the holder of the
// order lease or with a rejected write of the lease. Seen is completed and reported back.
type ConfigRelayed struct {
	Value []byte
	Seen  ConfigSeen
}

// CheckConfig is published to have the row of the config read. Row has the known version.
type CheckConfig struct {
	Row     ConfigRow
	Timeout time.Duration
}

// ConfigChecked reports a read of the row of the config that was sent at SentAt. A changed
// row has been reported by ConfigSeen before.
type ConfigChecked struct {
	Row    ConfigRow
	SentAt time.Time
	Err    error
}

func (e ConfigChecked) apply(c *core, now time.Time) {
	result := "answered"
	if e.Err != nil {
		result = "failed"
		c.log.Info("config could not be checked", "age", c.configState.age(now), "error", e.Err)
	} else {
		c.observeVersion(now, e.Row.Version)
		c.configState.confirm(e.Row.Version, e.SentAt)
	}
	c.metrics.Counter("store_calls", "table", configChecks, "result", result).Add(1)
	c.configState.endCheck(now, e.Err != nil)
	c.checkConfig(now)
}

// configChecks is the table label of CheckConfig in the store_calls metric.
const configChecks = "config-check"

// checkConfig has the row of the config read if the evidence for it is too old.
func (c *core) checkConfig(now time.Time) {
	maxAge := configMaxAge(c.node.Bounds.ConfigTime, c.leader.Held(), c.stateInterval)
	if c.configState.startCheck(now, maxAge) {
		c.log.Info("config is checked", "age", c.configState.age(now), "version", c.configState.row.Version)
		c.publishEvent(CheckConfig{Row: c.configState.row, Timeout: configCheckTimeout})
	}
}

// adoptHolderConfig takes over the config and the age of its evidence from the answer to
// the state that was sent at sentAt.
func (c *core) adoptHolderConfig(state FleetState, sentAt time.Time) {
	var asOf time.Time
	if state.ConfigAge >= 0 {
		asOf = sentAt.Add(-state.ConfigAge)
	}
	switch {
	case len(state.Config) > 0:
		c.publishEvent(ConfigRelayed{Value: state.Config, Seen: ConfigSeen{AsOf: asOf}})
	case c.config != nil && state.ConfigVersion <= c.configVersion():
		c.configState.confirm(c.configState.row.Version, asOf)
	}
}

// LeaseRejected reports that a write of the lease was rejected because the config has
// changed. Config is its row.
type LeaseRejected struct{ Config rowstore.Row }

func (e LeaseRejected) apply(c *core, now time.Time) {
	seen := ConfigSeen{Row: ConfigRow{Table: e.Config.Table, Key: e.Config.Key, Version: e.Config.Version}, AsOf: c.configState.leaseWrite.sentAt}
	c.configState.leaseWrite, c.configState.writeUnconditionally = conditionalWrite{}, true
	c.observeVersion(now, e.Config.Version)
	c.leader.RecordRejected(bootclock.Now())
	c.leaseCallAnswered()
	c.log.Info("order lease not written", "reason", "config has changed", "row_version", e.Config.Version)
	if e.Config.Version.Counter() == 0 {
		seen.apply(c, now)
	} else {
		c.publishEvent(ConfigRelayed{Value: e.Config.Value, Seen: seen})
	}
	c.accessLease(now, bootclock.Now())
}
