package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/hyssophaven/hyssophaven/fleet"
	"github.com/hyssophaven/hyssophaven/rendezvous"
)

// Config holds the identity of this instance and the time limits. A duration of
// 0 selects its default.
type Config struct {
	Self        fleet.InstanceID
	Incarnation fleet.Incarnation
	// DefaultDuration is the length of a quarantine for rows that set none. The
	// default is 10 min.
	DefaultDuration time.Duration
	// MinReservationTime is the minimum time between reserving an endpoint and
	// starting the trial. In this time peers report their runs of the
	// fingerprint and stop sending to the endpoint. The default is 1 s, two
	// heartbeats.
	MinReservationTime time.Duration
	// ReserveTimeout limits how long a trial waits for its endpoint to become
	// idle before it claims another one. It doubles after each timeout. The
	// default is 10 s.
	ReserveTimeout time.Duration
	// PollInterval is the interval between reads of a record that another holder
	// has claimed, and between retries of a failed read or write. The default
	// is 2 s.
	PollInterval time.Duration
	// HolderGrace is how long the holder of a trial must be missing before
	// another instance can take over. The default is 10 s.
	HolderGrace time.Duration
	// Retention is how long suspects and cleared losses are kept after their last
	// use. The default is 1 h.
	Retention time.Duration
	// ResultTimeout limits the wait for an answer from the store. After it the
	// outcome counts as unknown. The default is 10 s.
	ResultTimeout time.Duration
}

func (c Config) withDefaults() Config {
	for _, d := range []struct {
		field *time.Duration
		value time.Duration
	}{
		{&c.DefaultDuration, 10 * time.Minute},
		{&c.MinReservationTime, time.Second},
		{&c.ReserveTimeout, 10 * time.Second},
		{&c.PollInterval, 2 * time.Second},
		{&c.HolderGrace, 10 * time.Second},
		{&c.Retention, time.Hour},
		{&c.ResultTimeout, 10 * time.Second},
	} {
		if *d.field == 0 {
			*d.field = d.value
		}
	}
	return c
}

// maxReserveTimeout limits the doubling of ReserveTimeout.
const maxReserveTimeout = 2 * time.Minute

// clearedNoticeDuration is how long a cleared fingerprint is included in heartbeats.
const clearedNoticeDuration = time.Minute

// phase is the progress of this instance's trial of a fingerprint.
type phase uint8

const (
	noTrial  phase = iota
	claiming       // the claim is to be written or confirmed
	reserved       // the claim is confirmed; waiting for the endpoint to become idle
	starting       // Trial.Running is being written
	running        // the request has started
)

// waitingRequest is a request that waits for a trial.
type waitingRequest struct {
	request    uint64
	candidates []Candidate
}

// localTrial is the state of this instance's trial of a fingerprint.
type localTrial struct {
	phase      phase
	attempt    uint64
	request    uint64 // set in phase running
	endpoint   Candidate
	reservedAt time.Time
	timeout    time.Duration
	idle       bool
	tried      []fleet.EndpointID // endpoints given up by this trial
}

// peerStatus is the last status of a fingerprint received from a peer.
type peerStatus struct {
	inFlight int
	trial    *Trial
}

// entry is the state of one fingerprint.
type entry struct {
	fingerprint      Fingerprint
	losses, cleared  []Loss // uncleared and cleared losses; both sorted, disjoint
	quarantinedUntil time.Time
	quarantineFor    time.Duration
	lastUsed         time.Time
	clearedAt        time.Time
	// liftPending is set after an operator lifted the quarantine until the record
	// is deleted. Meanwhile, losses read from the record are cleared.
	liftPending bool
	peers       map[fleet.InstanceID]peerStatus
	waiting     []waitingRequest
	trial       localTrial

	recordCurrent      bool // record and version match the store as far as known
	record             Record
	version            uint64
	holderMissingSince time.Time // when the holder of record.Trial was first missing
	dirty              bool      // the stored record is out of date
	readPending        bool
	pendingCommitID    uint64       // ID of the outstanding commit, 0 if none
	pendingCommit      CommitRecord // the outstanding commit
	dirtyOnFailure     bool         // set dirty again if the outstanding commit is not applied
	storeCallAt        time.Time
	nextStoreCall      time.Time // earliest time of the next read or commit
}

// State holds what one instance knows about suspects, and runs its trials. It
// is not safe for concurrent use.
type State struct {
	cfg            Config
	entries        map[Fingerprint]*entry
	runs           map[Fingerprint]int // this instance's runs in flight outside trials
	pendingCommits map[uint64]Fingerprint
	alive          map[fleet.InstanceID]fleet.Incarnation // nil until the first MembersChanged
	lastID         uint64
	noticesDue     map[Fingerprint]bool // fingerprints to send notices for at the end of the step
	actions        []Action
}

// New returns a state without suspects.
func New(cfg Config) *State {
	return &State{
		cfg:            cfg.withDefaults(),
		entries:        make(map[Fingerprint]*entry),
		runs:           make(map[Fingerprint]int),
		pendingCommits: make(map[uint64]Fingerprint),
		noticesDue:     make(map[Fingerprint]bool),
	}
}

// Check returns how admission must handle a request and, if it is quarantined,
// the end of the quarantine.
func (s *State) Check(f Fingerprint, now time.Time) (Verdict, time.Time) {
	e := s.entries[f]
	if e == nil {
		return Clear, time.Time{}
	}
	return e.verdict(now), e.quarantinedUntil
}

// maxLosses is the number of lost endpoints that quarantines a fingerprint.
const maxLosses = 2

func (e *entry) verdict(now time.Time) Verdict {
	switch {
	case len(e.losses) == 0:
		return Clear
	case len(e.losses) >= maxLosses && now.Before(e.quarantinedUntil):
		return Quarantined
	default:
		return NeedsTrial
	}
}

// Reserved reports whether the endpoint is reserved by a trial of this instance
// or of a peer. Only that trial may be sent to it.
func (s *State) Reserved(endpoint fleet.EndpointID) bool {
	for _, e := range s.entries {
		if e.trial.phase >= reserved && e.trial.endpoint.Endpoint == endpoint {
			return true
		}
		for _, p := range e.peers {
			if p.trial != nil && p.trial.Endpoint == endpoint {
				return true
			}
		}
	}
	return false
}

// ReservedEndpoints returns the sorted list of reserved endpoints.
func (s *State) ReservedEndpoints() []fleet.EndpointID {
	var out []fleet.EndpointID
	for _, e := range s.entries {
		if e.trial.phase >= reserved {
			out = append(out, e.trial.endpoint.Endpoint)
		}
		for _, p := range e.peers {
			if p.trial != nil {
				out = append(out, p.trial.Endpoint)
			}
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// SuspectCount returns the number of suspects, including quarantined fingerprints.
func (s *State) SuspectCount() int {
	n := 0
	for _, e := range s.entries {
		if len(e.losses) > 0 {
			n++
		}
	}
	return n
}

// Notices returns the notices for a heartbeat, sorted by fingerprint.
func (s *State) Notices(now time.Time) []Notice {
	var out []Notice
	for _, f := range slices.Sorted(maps.Keys(s.entries)) {
		e := s.entries[f]
		if len(e.losses) > 0 || e.trial.phase >= reserved || now.Sub(e.clearedAt) < clearedNoticeDuration {
			out = append(out, s.notice(e))
		}
	}
	return out
}

func (s *State) notice(e *entry) Notice {
	n := Notice{
		Fingerprint: e.fingerprint, Losses: slices.Clone(e.losses), Cleared: slices.Clone(e.cleared),
		Until: e.quarantinedUntil, LastUsed: e.lastUsed.Round(0).Truncate(time.Second), InFlight: s.runs[e.fingerprint],
	}
	if e.trial.phase >= reserved {
		t := s.ownClaim(e)
		n.Trial = &t
	}
	return n
}

// ownClaim returns this instance's trial in the form stored in the record.
func (s *State) ownClaim(e *entry) Trial {
	return Trial{
		Holder: s.cfg.Self, Incarnation: s.cfg.Incarnation, Attempt: e.trial.attempt,
		Endpoint: e.trial.endpoint.Endpoint, BootID: e.trial.endpoint.BootID,
		Running: e.trial.phase >= starting,
	}
}

// Step handles one event and returns the actions to carry out, in order.
func (s *State) Step(now time.Time, ev Event) []Action {
	s.actions = nil
	switch ev := ev.(type) {
	case Tick:
		s.tick(now)
	case MembersChanged:
		s.membersChanged(now, ev)
	case NoticesReceived:
		s.noticesReceived(now, ev)
	case EndpointLost:
		s.endpointLost(now, ev)
	case EndpointIdle:
		s.endpointIdle(now, ev.Endpoint)
	case CommitResult:
		s.commitResult(now, ev)
	default:
		s.stepFingerprint(now, ev)
	}
	s.flushNotices()
	return s.actions
}

// stepFingerprint handles the events that concern a single fingerprint.
func (s *State) stepFingerprint(now time.Time, ev Event) {
	var e *entry
	switch ev := ev.(type) {
	case RunStarted:
		s.runs[ev.Fingerprint]++
		e = s.entries[ev.Fingerprint]
	case RunEnded:
		e = s.runEnded(ev.Fingerprint)
	case TrialWanted:
		e = s.trialWanted(now, ev)
	case TrialWithdrawn:
		if e = s.entries[ev.Fingerprint]; e != nil {
			e.waiting = slices.DeleteFunc(e.waiting, func(w waitingRequest) bool { return w.request == ev.Request })
		}
	case TrialEnded:
		e = s.trialEnded(now, ev)
	case RecordRead:
		e = s.recordRead(now, ev)
	case QuarantineLifted:
		e = s.getOrCreate(now, ev.Fingerprint)
		e.liftPending, e.dirty = true, true
		s.clearLosses(now, e)
	}
	if e != nil {
		s.advance(now, e)
	}
}

func (s *State) emit(a Action) { s.actions = append(s.actions, a) }

// getOrCreate returns the entry of f, creating it if necessary, and advances its
// time of last use to lastUsed.
func (s *State) getOrCreate(lastUsed time.Time, f Fingerprint) *entry {
	e := s.entries[f]
	if e == nil {
		e = &entry{fingerprint: f, quarantineFor: s.cfg.DefaultDuration, peers: make(map[fleet.InstanceID]peerStatus)}
		s.entries[f] = e
	}
	if lastUsed.After(e.lastUsed) {
		e.lastUsed = lastUsed
	}
	return e
}

func (s *State) flushNotices() {
	if len(s.noticesDue) == 0 {
		return
	}
	var notices []Notice
	for _, f := range slices.Sorted(maps.Keys(s.noticesDue)) {
		if e := s.entries[f]; e != nil {
			notices = append(notices, s.notice(e))
		}
	}
	clear(s.noticesDue)
	if len(notices) > 0 {
		s.emit(NotifyPeers{Notices: notices})
	}
}

// sortedEntries returns the entries sorted by fingerprint, so that equal event
// sequences produce equal actions.
func (s *State) sortedEntries() []*entry {
	out := make([]*entry, 0, len(s.entries))
	for _, e := range s.entries {
		out = append(out, e)
	}
	slices.SortFunc(out, func(a, b *entry) int { return cmp.Compare(a.fingerprint, b.fingerprint) })
	return out
}

func (s *State) newAttempt() uint64 {
	s.lastID++
	return rendezvous.Score(rendezvous.Hash(string(s.cfg.Self))+uint64(s.cfg.Incarnation), s.lastID)
}

func compareLosses(a, b Loss) int {
	return cmp.Or(cmp.Compare(a.Endpoint, b.Endpoint), cmp.Compare(a.BootID, b.BootID), cmp.Compare(a.Attempt, b.Attempt))
}

// union returns the sorted union of a and b.
func union(a, b []Loss) []Loss {
	out := slices.Concat(a, b)
	slices.SortFunc(out, compareLosses)
	return slices.Compact(out)
}

// difference returns the losses in a that are not in b.
func difference(a, b []Loss) []Loss {
	return slices.DeleteFunc(slices.Clone(a), func(l Loss) bool { return slices.Contains(b, l) })
}
