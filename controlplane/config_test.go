package controlplane

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hyssophaven/hyssophaven/bootclock"
	"github.com/hyssophaven/hyssophaven/catalog"
	"github.com/hyssophaven/hyssophaven/leader"
	"github.com/hyssophaven/hyssophaven/rowstore"
)

// Guards against a change of the config that is found after the time within which it must
// be in force, without a holder and although one read of the row gets no answer, or that is
// found by reads in quick succession.
func TestChangeOfConfigIsFoundInTime(t *testing.T) {
	for _, configTime := range []time.Duration{0, 1400 * time.Millisecond, 2 * time.Second, 3 * time.Second, 4 * time.Second} {
		for lost := range checksPerBound {
			limit := configTime
			if limit == 0 {
				limit = defaultConfigTime
			}
			maxAge := configMaxAge(configTime, false, StateInterval)
			var s configState
			s.row = ConfigRow{Table: "config", Version: 1}
			s.confirm(1, epoch)
			var sentAt time.Time
			reads, failures := 0, 0
			for now := epoch; now.Before(epoch.Add(30 * time.Second)); now = now.Add(10 * time.Millisecond) {
				if s.checking && failures < lost && now.Sub(sentAt) >= configCheckTimeout {
					failures++
					s.endCheck(now, true)
				} else if s.checking && failures == lost {
					s.endCheck(now, false)
					s.confirm(1, sentAt)
					failures = 0
				}
				atTick := now.Sub(epoch)%tickInterval == 0
				if (atTick || failures > 0) && s.startCheck(now, maxAge) {
					sentAt = now
					reads++
				}
				// The answer to a read that was sent just before the change shows the old one.
				if s.age(now) > limit-boundMargin {
					t.Fatalf("config time %v, %d reads lost: the config is %v old", configTime, lost, s.age(now))
				}
			}
			if most := (1 + lost) * int(30*time.Second/maxAge); reads > most {
				t.Fatalf("config time %v, %d reads lost: %d reads, more than %d", configTime, lost, reads, most)
			}
		}
	}
}

// Guards against reads in quick succession of a store that refuses them.
func TestFailedChecksAreSpaced(t *testing.T) {
	is := is.New(t)
	s := configState{row: ConfigRow{Table: "config"}}
	reads := 0
	for now := epoch; now.Before(epoch.Add(20 * time.Second)); now = now.Add(tickInterval) {
		if s.startCheck(now, time.Second) {
			s.endCheck(now, true)
			reads++
		}
	}
	is.True(reads >= int(20*time.Second/(maxFailedCheckPause+tickInterval))) // goes on
	is.True(reads <= 5+int(20*time.Second/maxFailedCheckPause))
}

// newHolder returns the core of an instance that holds the lease and has read the config.
func newHolder(t *testing.T) *core {
	t.Helper()
	c := newTestCore(t)
	c.leader = leader.New("self", "a:1", 1, leader.Options{FirstStart: true, StartedAt: bootclock.Now()})
	ConfigSeen{Config: &catalog.Config{Version: 4}, Row: configRowAt(3)}.apply(c, epoch)
	RowsSeen{Table: "config", Version: configRowAt(3).Version, SentAt: epoch}.apply(c, epoch)
	c.accessLease(epoch, bootclock.Now())
	LeaseRead{Row: leader.Row{Version: rowstore.NewVersion(1, 0)}}.apply(c, epoch)
	c.accessLease(epoch, bootclock.Now())
	LeaseWritten{Version: rowstore.NewVersion(1, 5)}.apply(c, epoch)
	return c
}

func configRowAt(counter uint64) ConfigRow {
	return ConfigRow{Table: "config", Key: "config", Version: rowstore.NewVersion(1, counter)}
}

// Guards against answers of the store that count as evidence for the config although they
// say nothing about its row, and the other way round.
func TestEvidenceForConfigComesFromItsRow(t *testing.T) {
	const later = 10 * time.Second
	now := epoch.Add(later)
	conditional := func(c *core) { c.configState.startLeaseWrite(now, configRowAt(0).Version) }
	for name, test := range map[string]struct {
		prepare func(c *core)
		event   event
		want    time.Duration // age of the evidence
	}{
		"other table":              {nil, RowsSeen{Table: "replicas", Version: rowstore.NewVersion(1, 9), SentAt: now}, later},
		"lease read":               {nil, LeaseRead{Row: leader.Row{Version: rowstore.NewVersion(1, 9)}}, later},
		"unconditional write":      {nil, LeaseWritten{Version: rowstore.NewVersion(1, 9)}, later},
		"conditional write":        {conditional, LeaseWritten{Version: rowstore.NewVersion(1, 9)}, 0},
		"write after a restore":    {conditional, LeaseWritten{Version: rowstore.NewVersion(2, 9)}, later},
		"failed write":             {conditional, LeaseFailed{Err: errors.New("no answer")}, later},
		"feed call of 4 s":         {nil, RowsSeen{Table: "config", Version: rowstore.NewVersion(1, 0), SentAt: now.Add(-4 * time.Second)}, 4 * time.Second},
		"check":                    {nil, ConfigChecked{Row: configRowAt(3), SentAt: now}, 0},
		"failed check":             {nil, ConfigChecked{Row: configRowAt(3), Err: errors.New("no answer")}, later},
		"holder with evidence":     {nil, FleetSeen{State: FleetState{Holder: "h", ConfigVersion: 4, ConfigAge: time.Second}, SentAt: now}, time.Second},
		"holder without evidence":  {nil, FleetSeen{State: FleetState{Holder: "h", ConfigVersion: 4, ConfigAge: -1}, SentAt: now}, later},
		"holder with newer config": {nil, FleetSeen{State: FleetState{Holder: "h", ConfigVersion: 5, ConfigAge: 0}, SentAt: now}, later},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newHolder(t)
			if test.prepare != nil {
				test.prepare(c)
			}
			test.event.apply(c, now)
			is.Equal(c.configState.age(now), test.want)
			is.Equal(c.configState.row, configRowAt(3))
		})
	}
}

// Guards against a holder that loses the lease, or does not renew it at once, because the
// store rejected a renewal after a change of the config, and against one that waits for
// its feed to show the change.
func TestRejectedRenewalShowsChangeOfConfig(t *testing.T) {
	is := is.New(t)
	c := newHolder(t)
	now := epoch.Add(time.Second)
	c.configState.startLeaseWrite(now, configRowAt(0).Version)
	LeaseRejected{Config: rowstore.Row{Table: "config", Key: "config", Version: configRowAt(7).Version}}.apply(c, now)
	is.True(c.leader.Held())
	is.True(c.configState.leaseWrite.sentAt.IsZero()) // renewed without the condition
	is.Equal(c.leader.Tick(bootclock.Now()), leader.None)
	LeaseWritten{Version: rowstore.NewVersion(1, 8)}.apply(c, now)
	is.Equal(c.configState.age(now), time.Second) // the config has not been decoded yet
	ConfigSeen{Config: &catalog.Config{Version: 6}, Row: configRowAt(7), AsOf: now}.apply(c, now)
	is.Equal(c.configState.age(now), time.Duration(0))
	is.Equal(*c.configState.startLeaseWrite(now, configRowAt(0).Version), configRowAt(7))
	is.Equal(c.fleetState(now, PeerState{}).ConfigAge, time.Duration(0))
	is.Equal(c.tableVersions["config"], configRowAt(7).Version)
}

// Guards against a stopping instance that serves an old config in its drain because its
// call of the feed is lost.
func TestStoppingInstanceChecksConfig(t *testing.T) {
	is := is.New(t)
	c := newTestCore(t)
	ConfigSeen{Config: &catalog.Config{Version: 4}, Row: configRowAt(3)}.apply(c, epoch)
	RowsSeen{Table: "config", Version: configRowAt(3).Version, SentAt: epoch}.apply(c, epoch)
	Stopping{}.apply(c, epoch)
	c.tick(epoch.Add(defaultConfigTime), 0)
	is.True(c.configState.checking)
}
