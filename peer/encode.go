package peer

import (
	"errors"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/hyssophaven/hyssophaven/fleet"
	"github.com/hyssophaven/hyssophaven/membership"
)

// maxNames bounds the names of one connection on both sides. A sender that
// needs more starts a new connection.
const maxNames = 20000

var errTooManyNames = errors.New("peer: connection has used up its names")

// encoder turns heartbeats into differences. It belongs to one connection.
type encoder struct {
	names     map[string]int64
	newNames  []string
	sequence  uint64
	revision  uint64
	age       int64
	leases    []wireLease
	wanted    int64
	retries   [2]int64
	suspects  []wireNotice
	load      loadEncoder
	summaries map[fleet.DataCentre]*summaryEncoder
}

func newEncoder() *encoder {
	return &encoder{
		names: make(map[string]int64), load: newLoadEncoder(ageTolerance), age: -1,
		summaries: make(map[fleet.DataCentre]*summaryEncoder),
	}
}

// name returns the index of a name, which is added to the message if it is new.
func (e *encoder) name(s string) int64 {
	i, ok := e.names[s]
	if !ok {
		i = int64(len(e.names))
		e.names[s] = i
		e.newNames = append(e.newNames, s)
	}
	return i
}

// maxNewSummaries bounds the data centres that one heartbeat describes in full.
// One of 35 members and 450 endpoints takes 54 KB, and a frame holds 1 MB.
const maxNewSummaries = 4

// encode returns the difference to the heartbeat before. After an error the
// connection can't be used for heartbeats any more.
func (e *encoder) encode(now time.Time, h membership.Heartbeat) (wireHeartbeat, error) {
	e.newNames = nil
	w := wireHeartbeat{Leaving: h.Leaving}
	if h.Sequence != e.sequence+1 {
		w.Sequence = h.Sequence
	}
	e.sequence = h.Sequence
	if h.TableRevision != e.revision {
		w.Revision, e.revision = h.TableRevision, h.TableRevision
	}
	if age := int64((h.TableAge + time.Second - 1) / time.Second); age != e.age {
		w.Age, e.age = &age, age
	}
	if leases := leasesToWire(h.Leases); !slices.Equal(leases, e.leases) {
		w.Leases, e.leases = &leases, leases
	}
	if wanted := int64(h.WantedLoads); wanted != e.wanted {
		w.Wanted, e.wanted = &wanted, wanted
	}
	if retries := [2]int64{int64(h.Retries.Requests), int64(h.Retries.Retries)}; changedCount(e.retries[0], retries[0]) || changedCount(e.retries[1], retries[1]) {
		w.Retries, e.retries = &retries, retries
	}
	if suspects := noticesToWire(h.Suspects); !slices.EqualFunc(suspects, e.suspects, equalNotices) {
		w.Suspects, e.suspects = &suspects, suspects
	}
	w.Load = e.encodeLoad(&e.load, now, h.Demand, h.Reports)
	w.Load.InFlight = e.encodeInFlight(&e.load, h.InFlight)
	fresh := 0
	for _, sum := range h.Summaries {
		if _, known := e.summaries[sum.DataCentre]; !known {
			if fresh++; fresh > maxNewSummaries {
				continue // it follows with the next heartbeat
			}
		}
		if s, ok := e.encodeSummary(now, sum); ok {
			w.Summaries = append(w.Summaries, s)
		}
	}
	w.Names = e.newNames
	if len(e.names) > maxNames {
		return w, errTooManyNames
	}
	return w, nil
}

func equalNotices(a, b wireNotice) bool {
	sameTrial := a.Trial == b.Trial || a.Trial != nil && b.Trial != nil && *a.Trial == *b.Trial
	return sameTrial && a.Fingerprint == b.Fingerprint && a.Until == b.Until && a.Since == b.Since &&
		a.InFlight == b.InFlight && slices.Equal(a.Losses, b.Losses) && slices.Equal(a.Cleared, b.Cleared)
}

// changedCount reports whether a count is worth sending again: when it differs
// by more than 1/16, and always when it is small. Shares computed from such
// counts differ by less than demand changes within one heartbeat period.
func changedCount(sent, now int64) bool {
	difference := now - sent
	if difference < 0 {
		difference = -difference
	}
	return difference > sent/16
}

// loadEncoder holds what was last sent of a set of rows and reports.
type loadEncoder struct {
	inFlight     map[int64][fleet.RankCount]int
	demand       map[int64][4]int64
	reports      map[int64]*sentReport
	ageTolerance time.Duration
}

type sentReport struct {
	age              time.Duration
	at               time.Time // when age was sent
	running, waiting int64
	slots            int64
	leaving          bool
	boot             int64
	residents        []int64
	seen             bool // in the heartbeat that is being encoded
}

func newLoadEncoder(ageTolerance time.Duration) loadEncoder {
	return loadEncoder{inFlight: make(map[int64][fleet.RankCount]int), demand: make(map[int64][4]int64), reports: make(map[int64]*sentReport), ageTolerance: ageTolerance}
}

func (e *encoder) encodeLoad(l *loadEncoder, now time.Time, demand []membership.RowDemand, reports []membership.EndpointReport) wireLoadChanges {
	w := wireLoadChanges{Demand: e.encodeDemand(l, demand)}
	for _, r := range reports {
		e.encodeReport(l, now, r, &w)
	}
	if len(l.reports) == len(reports) {
		for _, s := range l.reports {
			s.seen = false
		}
		return w
	}
	for _, id := range slices.Sorted(maps.Keys(l.reports)) {
		if s := l.reports[id]; s.seen {
			s.seen = false
		} else {
			delete(l.reports, id)
			w.Reports = append(w.Reports, []int64{id})
		}
	}
	return w
}

func (e *encoder) encodeDemand(l *loadEncoder, demand []membership.RowDemand) [][]int64 {
	var out [][]int64
	present := make([]int64, 0, len(demand))
	for _, d := range demand {
		v := [4]int64{tenths(d.ArrivalRate), int64(d.Queued), int64(d.InFlight), tenths(d.Slots)}
		if v == [4]int64{} {
			continue
		}
		id := e.name(d.Row)
		present = append(present, id)
		old, ok := l.demand[id]
		if ok && !changedCount(old[0], v[0]) && !changedCount(old[1], v[1]) && !changedCount(old[2], v[2]) && !changedCount(old[3], v[3]) {
			continue
		}
		l.demand[id] = v
		out = append(out, trimZeros([]int64{id, v[0], v[1], v[2], v[3]}, 2))
	}
	if len(l.demand) == len(present) {
		return out
	}
	slices.Sort(present)
	for _, id := range slices.Sorted(maps.Keys(l.demand)) {
		if _, ok := slices.BinarySearch(present, id); !ok {
			delete(l.demand, id)
			out = append(out, []int64{id})
		}
	}
	return out
}

func (e *encoder) encodeInFlight(l *loadEncoder, counts []membership.EndpointInFlight) [][]int64 {
	var out [][]int64
	present := make(map[int64]bool, len(counts))
	for _, c := range counts {
		if c.InFlight == [fleet.RankCount]int{} {
			continue
		}
		id := e.name(string(c.Endpoint))
		present[id] = true
		if l.inFlight[id] == c.InFlight {
			continue
		}
		l.inFlight[id] = c.InFlight
		entry := []int64{id}
		for _, n := range c.InFlight {
			entry = append(entry, int64(n))
		}
		out = append(out, entry)
	}
	for _, id := range slices.Sorted(maps.Keys(l.inFlight)) {
		if !present[id] {
			delete(l.inFlight, id)
			out = append(out, []int64{id})
		}
	}
	return out
}

// tenths returns a rate in 1/10 per second, at least 1 for a positive rate.
func tenths(rate float64) int64 {
	if !(rate > 0) {
		return 0
	}
	return max(1, int64(math.Round(min(rate, 1e12)*10)))
}

// trimZeros removes zeros at the end, but keeps the first n values.
func trimZeros(v []int64, n int) []int64 {
	for len(v) > n && v[len(v)-1] == 0 {
		v = v[:len(v)-1]
	}
	return v
}

// The tolerances are how far a report's age may be from what the receiver
// computes before it is sent again. Summaries hold only coarse loads, whose age
// matters little; 150 ms there would resend every report each second.
const (
	ageTolerance        = 150 * time.Millisecond
	summaryAgeTolerance = 10 * time.Second
)

func (e *encoder) encodeReport(l *loadEncoder, now time.Time, r membership.EndpointReport, w *wireLoadChanges) {
	id := e.name(string(r.Endpoint))
	s, known := l.reports[id]
	if !known {
		s = &sentReport{}
		l.reports[id] = s
	}
	s.seen = true
	running, waiting, slots := int64(r.Running), int64(r.Waiting), int64(r.Slots)
	age := r.Age.Round(100 * time.Millisecond)
	off := (s.age + now.Sub(s.at) - r.Age).Abs()
	values := []int64{id, int64(age / (100 * time.Millisecond))}
	switch {
	case !known || slots != s.slots || r.Leaving != s.leaving:
		values = append(values, running, waiting, slots, flag(r.Leaving))
	case running != s.running || waiting != s.waiting:
		values = append(values, running, waiting)
	case off <= l.ageTolerance:
		values = nil
	}
	if values != nil {
		w.Reports = append(w.Reports, values)
		s.age, s.at = age, now
		s.running, s.waiting, s.slots, s.leaving = running, waiting, slots, r.Leaving
	}
	if boot := e.name(r.BootID); !known || boot != s.boot {
		s.boot = boot
		w.Boots = append(w.Boots, []int64{id, boot})
	}
	residents := make([]int64, 0, 3*len(r.Residents))
	for _, res := range r.Residents {
		residents = append(residents, e.name(res.Name), e.name(res.Version), flag(res.Ready))
	}
	if !slices.Equal(residents, s.residents) {
		s.residents = residents
		w.Residents = append(w.Residents, append([]int64{id}, residents...))
	}
}

func flag(b bool) int64 {
	if b {
		return 1
	}
	return 0
}

// summaryEncoder holds what was last sent of one data centre.
type summaryEncoder struct {
	relay       fleet.InstanceID
	incarnation fleet.Incarnation
	sequence    uint64
	members     map[string]wireDigest
	load        loadEncoder
}

func (e *encoder) encodeSummary(now time.Time, sum membership.Summary) (wireSummary, bool) {
	s, ok := e.summaries[sum.DataCentre]
	if !ok {
		s = &summaryEncoder{members: make(map[string]wireDigest), load: newLoadEncoder(summaryAgeTolerance)}
		e.summaries[sum.DataCentre] = s
	}
	if ok && s.relay == sum.Relay && s.incarnation == sum.RelayIncarnation && s.sequence == sum.Sequence {
		return wireSummary{}, false
	}
	s.relay, s.incarnation, s.sequence = sum.Relay, sum.RelayIncarnation, sum.Sequence
	w := wireSummary{
		DataCentre: e.name(string(sum.DataCentre)), Relay: e.name(string(sum.Relay)),
		Incarnation: uint64(sum.RelayIncarnation), Sequence: sum.Sequence, Revision: sum.TableRevision,
		Wanted: int64(sum.WantedLoads), Retries: [2]int64{int64(sum.Retries.Requests), int64(sum.Retries.Retries)},
	}
	present := make(map[string]bool, len(sum.Members))
	for _, m := range sum.Members {
		d := wireDigest{Member: instanceToWire(m.Member), Leaving: m.Leaving, Suspect: m.Suspect, StoreStale: m.StoreStale, Leases: leasesToWire(m.Leases)}
		present[d.Member.ID] = true
		if old, ok := s.members[d.Member.ID]; !ok || !equalDigests(old, d) {
			s.members[d.Member.ID] = d
			w.Members = append(w.Members, d)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(s.members)) {
		if !present[id] {
			delete(s.members, id)
			w.Gone = append(w.Gone, e.name(id))
		}
	}
	w.Load = e.encodeLoad(&s.load, now, sum.Demand, sum.Reports)
	return w, true
}

func equalDigests(a, b wireDigest) bool {
	return a.Member == b.Member && a.Leaving == b.Leaving && a.Suspect == b.Suspect &&
		a.StoreStale == b.StoreStale && slices.Equal(a.Leases, b.Leases)
}
