package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/hyssophaven/hyssophaven/fleet"
	"github.com/hyssophaven/hyssophaven/rendezvous"
)

// Config holds the constants of the rule.
type Config struct {
	Self        fleet.InstanceID
	Incarnation fleet.Incarnation
	// DefaultFor is the length of a quarantine for rows that set none. Default 10 min.
	DefaultFor time.Duration
	// SettleAfter is how long a trial waits after its endpoint was reserved, so
	// that peers can report runs of the fingerprint and stop sending to the
	// endpoint. Default 1 s, two heartbeats.
	SettleAfter time.Duration
	// ReserveTimeout is how long a trial waits for its endpoint to become idle
	// before it moves to another one. It doubles with every move. Default 10 s.
	ReserveTimeout time.Duration
	// PollEvery is the period of reading a record that others have claimed,
	// and of repeating a read or write that failed. Default 2 s.
	PollEvery time.Duration
	// HolderGrace is how long the holder of a trial must be missing before the
	// trial counts as ended by its death. Default 10 s.
	HolderGrace time.Duration
	// KeepFor is how long suspects and cleared losses are remembered. Default 1 h.
	KeepFor time.Duration
	// ResultTimeout is how long a store answer may be missing before the
	// outcome counts as unknown. Default 10 s.
	ResultTimeout time.Duration
}

func (c Config) withDefaults() Config {
	for _, d := range []struct {
		field *time.Duration
		value time.Duration
	}{
		{&c.DefaultFor, 10 * time.Minute},
		{&c.SettleAfter, time.Second},
		{&c.ReserveTimeout, 10 * time.Second},
		{&c.PollEvery, 2 * time.Second},
		{&c.HolderGrace, 10 * time.Second},
		{&c.KeepFor, time.Hour},
		{&c.ResultTimeout, 10 * time.Second},
	} {
		if *d.field == 0 {
			*d.field = d.value
		}
	}
	return c
}

// maxReserveTimeout bounds the doubling of ReserveTimeout.
const maxReserveTimeout = 2 * time.Minute

// announceCleared is how long a cleared fingerprint stays in the notices.
const announceCleared = time.Minute

// phase is how far this instance's trial of a fingerprint has come.
type phase uint8

const (
	noTrial  phase = iota
	claiming       // the claim is being written
	reserved       // the claim is confirmed; the endpoint must become idle
	arming         // Running is being written
	running        // the request was started
)

type waiter struct {
	request    uint64
	candidates []Candidate
}

type ownTrial struct {
	phase      phase
	attempt    uint64
	request    uint64 // while running
	endpoint   Candidate
	reservedAt time.Time
	timeout    time.Duration
	idle       bool
	tried      []fleet.EndpointID // endpoints that did not become idle in time
}

// peerView is what a peer last said about a fingerprint.
type peerView struct {
	inFlight int
	trial    *Trial
}

// entry is the state of one fingerprint.
type entry struct {
	fingerprint   Fingerprint
	open, cleared []Loss // sorted and disjoint
	until         time.Time
	quarantineFor time.Duration
	touched       time.Time
	clearedAt     time.Time
	lifting       bool // an operator lifted it; losses read from the store are cleared
	peers         map[fleet.InstanceID]peerView
	waiting       []waiter
	trial         ownTrial

	known        bool // record and version are current as far as known
	record       Record
	version      uint64
	missingSince time.Time // since when the holder of record.Trial is missing
	dirty        bool      // the record must be brought up to date
	reading      bool
	commit       uint64       // id of the outstanding commit
	writing      CommitRecord // the outstanding commit
	writingDirty bool         // the outstanding commit brings the record up to date
	asked        time.Time
	next         time.Time // earliest next read or commit
}

// State is the state of one instance. It is not safe for concurrent use.
type State struct {
	cfg     Config
	entries map[Fingerprint]*entry
	runs    map[Fingerprint]int // runs of this instance that are not trials
	commits map[uint64]Fingerprint
	alive   map[fleet.InstanceID]fleet.Incarnation // nil until told
	lastID  uint64
	tell    map[Fingerprint]bool // notices to send in this step
	actions []Action
}

// New returns a state without suspects.
func New(cfg Config) *State {
	return &State{
		cfg:     cfg.withDefaults(),
		entries: make(map[Fingerprint]*entry),
		runs:    make(map[Fingerprint]int),
		commits: make(map[uint64]Fingerprint),
		tell:    make(map[Fingerprint]bool),
	}
}

// Check tells what admission must do with a request. The time is the end of
// the quarantine.
func (s *State) Check(f Fingerprint, now time.Time) (Verdict, time.Time) {
	e := s.entries[f]
	if e == nil {
		return Clear, time.Time{}
	}
	return e.verdict(now), e.until
}

// maxLosses is the number of endpoints after which a fingerprint is refused.
const maxLosses = 2

func (e *entry) verdict(now time.Time) Verdict {
	switch {
	case len(e.open) == 0:
		return Clear
	case len(e.open) >= maxLosses && now.Before(e.until):
		return Quarantined
	default:
		return NeedsTrial
	}
}

// Reserved reports whether a trial of this instance or of a peer has reserved
// the endpoint. Only the trial itself may be sent to it.
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

// ReservedEndpoints returns all endpoints for which Reserved is true, ordered.
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

// Suspects returns the number of fingerprints that are suspects or quarantined.
func (s *State) Suspects() int {
	n := 0
	for _, e := range s.entries {
		if len(e.open) > 0 {
			n++
		}
	}
	return n
}

// Notices returns what a heartbeat says about fingerprints, ordered.
func (s *State) Notices(now time.Time) []Notice {
	var out []Notice
	for _, f := range slices.Sorted(maps.Keys(s.entries)) {
		e := s.entries[f]
		if len(e.open) > 0 || e.trial.phase >= reserved || now.Sub(e.clearedAt) < announceCleared {
			out = append(out, s.notice(e))
		}
	}
	return out
}

func (s *State) notice(e *entry) Notice {
	n := Notice{
		Fingerprint: e.fingerprint, Losses: slices.Clone(e.open), Cleared: slices.Clone(e.cleared),
		Until: e.until, Since: e.touched.Round(0).Truncate(time.Second), InFlight: s.runs[e.fingerprint],
	}
	if e.trial.phase >= reserved {
		t := s.ownClaim(e)
		n.Trial = &t
	}
	return n
}

// ownClaim returns the trial of this instance as written to the record.
func (s *State) ownClaim(e *entry) Trial {
	return Trial{
		Holder: s.cfg.Self, Incarnation: s.cfg.Incarnation, Attempt: e.trial.attempt,
		Endpoint: e.trial.endpoint.Endpoint, BootID: e.trial.endpoint.BootID,
		Running: e.trial.phase >= arming,
	}
}

// Step takes one event and returns what must be done.
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
		s.stepOne(now, ev)
	}
	s.flushNotices()
	return s.actions
}

// stepOne handles the events that concern a single fingerprint.
func (s *State) stepOne(now time.Time, ev Event) {
	var e *entry
	switch ev := ev.(type) {
	case Started:
		s.runs[ev.Fingerprint]++
		e = s.entries[ev.Fingerprint]
	case Ended:
		e = s.ended(ev.Fingerprint)
	case TrialWanted:
		e = s.trialWanted(now, ev)
	case TrialWithdrawn:
		if e = s.entries[ev.Fingerprint]; e != nil {
			e.waiting = slices.DeleteFunc(e.waiting, func(w waiter) bool { return w.request == ev.Request })
		}
	case TrialEnded:
		e = s.trialEnded(now, ev)
	case RecordRead:
		e = s.recordRead(now, ev)
	case Lifted:
		e = s.get(now, ev.Fingerprint)
		e.lifting, e.dirty = true, true
		s.clear(now, e)
	}
	if e != nil {
		s.advance(now, e)
	}
}

func (s *State) emit(a Action) { s.actions = append(s.actions, a) }

// get returns the entry of f, new if need be, as used at the given time.
func (s *State) get(used time.Time, f Fingerprint) *entry {
	e := s.entries[f]
	if e == nil {
		e = &entry{fingerprint: f, quarantineFor: s.cfg.DefaultFor, peers: make(map[fleet.InstanceID]peerView)}
		s.entries[f] = e
	}
	if used.After(e.touched) {
		e.touched = used
	}
	return e
}

func (s *State) flushNotices() {
	if len(s.tell) == 0 {
		return
	}
	var notices []Notice
	for _, f := range slices.Sorted(maps.Keys(s.tell)) {
		if e := s.entries[f]; e != nil {
			notices = append(notices, s.notice(e))
		}
	}
	clear(s.tell)
	if len(notices) > 0 {
		s.emit(TellPeers{Notices: notices})
	}
}

// sorted returns the entries in a fixed order, so that equal histories give
// equal actions.
func (s *State) sorted() []*entry {
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

// without returns a without the losses in b.
func without(a, b []Loss) []Loss {
	return slices.DeleteFunc(slices.Clone(a), func(l Loss) bool { return slices.Contains(b, l) })
}
