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

// maxNames limits the names that the sender and the receiver of a connection
// keep. A sender that needs more names opens a new connection.
const maxNames = 20000

var errTooManyNames = errors.New("peer: too many names on one connection")

// encoder encodes the heartbeats of one connection, each as the difference from
// the previous one.
type encoder struct {
	names         map[string]int64
	newNames      []string
	sequence      uint64
	tableRevision uint64
	tableAge      int64
	leases        []wireLease
	wantedLoads   int64
	retries       [2]int64
	suspects      []wireNotice
	load          loadEncoder
	summaries     map[fleet.DataCentre]*summaryEncoder
}

func newEncoder() *encoder {
	return &encoder{
		names: make(map[string]int64), load: newLoadEncoder(ageTolerance), tableAge: -1,
		summaries: make(map[fleet.DataCentre]*summaryEncoder),
	}
}

// nameIndex returns the index of a name. It adds a new name to the message that
// is being encoded.
func (e *encoder) nameIndex(s string) int64 {
	i, ok := e.names[s]
	if !ok {
		i = int64(len(e.names))
		e.names[s] = i
		e.newNames = append(e.newNames, s)
	}
	return i
}

// maxNewSummaries limits the data centres whose summaries one heartbeat contains
// in full. The summary of 35 members and 450 endpoints takes 54 KB, and a frame
// holds 1 MiB.
const maxNewSummaries = 4

// encode returns the difference between h and the previous heartbeat. After an
// error, the encoder and its connection must not be used for further heartbeats.
func (e *encoder) encode(now time.Time, h membership.Heartbeat) (wireHeartbeat, error) {
	e.newNames = nil
	w := wireHeartbeat{Leaving: h.Leaving}
	if h.Sequence != e.sequence+1 {
		w.Sequence = h.Sequence
	}
	e.sequence = h.Sequence
	if h.TableRevision != e.tableRevision {
		w.TableRevision, e.tableRevision = h.TableRevision, h.TableRevision
	}
	if tableAge := int64((h.TableAge + time.Second - 1) / time.Second); tableAge != e.tableAge {
		w.TableAge, e.tableAge = &tableAge, tableAge
	}
	if leases := leasesToWire(h.Leases); !slices.Equal(leases, e.leases) {
		w.Leases, e.leases = &leases, leases
	}
	if wantedLoads := int64(h.WantedLoads); wantedLoads != e.wantedLoads {
		w.WantedLoads, e.wantedLoads = &wantedLoads, wantedLoads
	}
	if retries := [2]int64{int64(h.Retries.Requests), int64(h.Retries.Retries)}; countNeedsUpdate(e.retries[0], retries[0]) || countNeedsUpdate(e.retries[1], retries[1]) {
		w.Retries, e.retries = &retries, retries
	}
	if suspects := noticesToWire(h.Suspects); !slices.EqualFunc(suspects, e.suspects, noticesEqual) {
		w.Suspects, e.suspects = &suspects, suspects
	}
	w.Load = e.encodeLoad(&e.load, now, h.Demand, h.Reports)
	w.Load.InFlight = e.encodeInFlight(&e.load, h.InFlight)
	newSummaries := 0
	for _, sum := range h.Summaries {
		if _, known := e.summaries[sum.DataCentre]; !known {
			if newSummaries++; newSummaries > maxNewSummaries {
				continue // sent with a later heartbeat
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

func noticesEqual(a, b wireNotice) bool {
	sameTrial := a.Trial == b.Trial || a.Trial != nil && b.Trial != nil && *a.Trial == *b.Trial
	return sameTrial && a.Fingerprint == b.Fingerprint && a.Until == b.Until && a.Since == b.Since &&
		a.InFlight == b.InFlight && slices.Equal(a.Losses, b.Losses) && slices.Equal(a.Cleared, b.Cleared)
}

// countNeedsUpdate reports whether a count must be sent again: if it differs from
// the sent one by more than 1/16, or at all if the sent one is below 16. A smaller
// difference affects the shares computed from the counts less than the changes in
// demand within one heartbeat period do.
func countNeedsUpdate(sent, now int64) bool {
	difference := now - sent
	if difference < 0 {
		difference = -difference
	}
	return difference > sent/16
}

// loadEncoder holds the load last sent for this instance or for one data centre,
// keyed by the indexes of row and endpoint names.
type loadEncoder struct {
	inFlight     map[int64][fleet.RankCount]int
	demand       map[int64][4]int64
	reports      map[int64]*sentReport
	ageTolerance time.Duration
}

// sentReport is the last report sent about an endpoint.
type sentReport struct {
	age              time.Duration
	sentAt           time.Time // when age was sent
	running, waiting int64
	slots            int64
	leaving          bool
	bootID           int64
	residents        []int64
	current          bool // contained in the heartbeat being encoded
}

func newLoadEncoder(ageTolerance time.Duration) loadEncoder {
	return loadEncoder{inFlight: make(map[int64][fleet.RankCount]int), demand: make(map[int64][4]int64), reports: make(map[int64]*sentReport), ageTolerance: ageTolerance}
}

// encodeLoad returns the changes of demand and reports and records them in l as
// sent.
func (e *encoder) encodeLoad(l *loadEncoder, now time.Time, demand []membership.RowDemand, reports []membership.EndpointReport) wireLoadChanges {
	w := wireLoadChanges{Demand: e.encodeDemand(l, demand)}
	for _, r := range reports {
		e.encodeReport(l, now, r, &w)
	}
	if len(l.reports) == len(reports) {
		for _, s := range l.reports {
			s.current = false
		}
		return w
	}
	for _, id := range slices.Sorted(maps.Keys(l.reports)) {
		if s := l.reports[id]; s.current {
			s.current = false
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
		id := e.nameIndex(d.Row)
		present = append(present, id)
		old, ok := l.demand[id]
		if ok && !countNeedsUpdate(old[0], v[0]) && !countNeedsUpdate(old[1], v[1]) && !countNeedsUpdate(old[2], v[2]) && !countNeedsUpdate(old[3], v[3]) {
			continue
		}
		l.demand[id] = v
		out = append(out, trimTrailingZeros([]int64{id, v[0], v[1], v[2], v[3]}, 2))
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
		id := e.nameIndex(string(c.Endpoint))
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

// tenths returns v in units of 1/10, rounded, and at least 1 if v is positive.
func tenths(v float64) int64 {
	if !(v > 0) {
		return 0
	}
	return max(1, int64(math.Round(min(v, 1e12)*10)))
}

// trimTrailingZeros removes the zeros at the end of v, except among the first n
// values.
func trimTrailingZeros(v []int64, n int) []int64 {
	for len(v) > n && v[len(v)-1] == 0 {
		v = v[:len(v)-1]
	}
	return v
}

// The tolerances limit the difference between the age of a report and the age
// that the receiver computes; beyond it the report is sent again. Summaries
// contain coarse loads, for which the age matters little, and a tolerance of
// 150 ms would resend all of their reports each second.
const (
	ageTolerance        = 150 * time.Millisecond
	summaryAgeTolerance = 10 * time.Second
)

func (e *encoder) encodeReport(l *loadEncoder, now time.Time, r membership.EndpointReport, w *wireLoadChanges) {
	id := e.nameIndex(string(r.Endpoint))
	s, known := l.reports[id]
	if !known {
		s = &sentReport{}
		l.reports[id] = s
	}
	s.current = true
	running, waiting, slots := int64(r.Running), int64(r.Waiting), int64(r.Slots)
	age := r.Age.Round(100 * time.Millisecond)
	ageError := (s.age + now.Sub(s.sentAt) - r.Age).Abs()
	values := []int64{id, int64(age / (100 * time.Millisecond))}
	switch {
	case !known || slots != s.slots || r.Leaving != s.leaving:
		values = append(values, running, waiting, slots, boolToInt(r.Leaving))
	case running != s.running || waiting != s.waiting:
		values = append(values, running, waiting)
	case ageError <= l.ageTolerance:
		values = nil
	}
	if values != nil {
		w.Reports = append(w.Reports, values)
		s.age, s.sentAt = age, now
		s.running, s.waiting, s.slots, s.leaving = running, waiting, slots, r.Leaving
	}
	if bootID := e.nameIndex(r.BootID); !known || bootID != s.bootID {
		s.bootID = bootID
		w.BootIDs = append(w.BootIDs, []int64{id, bootID})
	}
	residents := make([]int64, 0, 3*len(r.Residents))
	for _, res := range r.Residents {
		residents = append(residents, e.nameIndex(res.Name), e.nameIndex(res.Version), boolToInt(res.Ready))
	}
	if !slices.Equal(residents, s.residents) {
		s.residents = residents
		w.Residents = append(w.Residents, append([]int64{id}, residents...))
	}
}

func boolToInt(b bool) int64 {
	if b {
		return 1
	}
	return 0
}

// summaryEncoder holds the last summary sent of one data centre.
type summaryEncoder struct {
	relay       fleet.InstanceID
	incarnation fleet.Incarnation
	sequence    uint64
	members     map[string]wireMemberSummary
	load        loadEncoder
}

// encodeSummary returns the change of a summary, or false if the summary was
// already sent.
func (e *encoder) encodeSummary(now time.Time, sum membership.Summary) (wireSummary, bool) {
	s, ok := e.summaries[sum.DataCentre]
	if !ok {
		s = &summaryEncoder{members: make(map[string]wireMemberSummary), load: newLoadEncoder(summaryAgeTolerance)}
		e.summaries[sum.DataCentre] = s
	}
	if ok && s.relay == sum.Relay && s.incarnation == sum.RelayIncarnation && s.sequence == sum.Sequence {
		return wireSummary{}, false
	}
	s.relay, s.incarnation, s.sequence = sum.Relay, sum.RelayIncarnation, sum.Sequence
	w := wireSummary{
		DataCentre: e.nameIndex(string(sum.DataCentre)), Relay: e.nameIndex(string(sum.Relay)),
		Incarnation: uint64(sum.RelayIncarnation), Sequence: sum.Sequence, TableRevision: sum.TableRevision,
		WantedLoads: int64(sum.WantedLoads), Retries: [2]int64{int64(sum.Retries.Requests), int64(sum.Retries.Retries)},
	}
	present := make(map[string]bool, len(sum.Members))
	for _, m := range sum.Members {
		d := wireMemberSummary{Member: instanceToWire(m.Member), Leaving: m.Leaving, Suspect: m.Suspect, StoreStale: m.StoreStale, Leases: leasesToWire(m.Leases)}
		present[d.Member.ID] = true
		if old, ok := s.members[d.Member.ID]; !ok || !memberSummariesEqual(old, d) {
			s.members[d.Member.ID] = d
			w.Members = append(w.Members, d)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(s.members)) {
		if !present[id] {
			delete(s.members, id)
			w.RemovedMembers = append(w.RemovedMembers, e.nameIndex(id))
		}
	}
	w.Load = e.encodeLoad(&s.load, now, sum.Demand, sum.Reports)
	return w, true
}

func memberSummariesEqual(a, b wireMemberSummary) bool {
	return a.Member == b.Member && a.Leaving == b.Leaving && a.Suspect == b.Suspect &&
		a.StoreStale == b.StoreStale && slices.Equal(a.Leases, b.Leases)
}
