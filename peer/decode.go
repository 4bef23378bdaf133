package peer

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/hyssophaven/hyssophaven/fleet"
	"github.com/hyssophaven/hyssophaven/membership"
)

// Limits on the state that a receiver keeps for one connection.
const (
	maxNameBytes   = 512
	maxRows        = 20000
	maxEndpoints   = 20000
	maxDataCentres = 256
	maxMembers     = 4096 // in one data centre
	maxCount       = 1 << 40
)

var errMalformed = errors.New("peer: malformed heartbeat")

// malformedError returns an error that wraps errMalformed.
func malformedError(format string, args ...any) error {
	return fmt.Errorf("%w: %s", errMalformed, fmt.Sprintf(format, args...))
}

// decoder reconstructs the heartbeats of one connection from their differences.
// It must not be used after an error.
type decoder struct {
	member    fleet.Instance // sender, as authenticated by the hello
	names     []string
	previous  membership.Heartbeat
	load      loadDecoder
	summaries map[int64]*summaryDecoder
}

func newDecoder(member fleet.Instance) *decoder {
	return &decoder{member: member, load: newLoadDecoder(), summaries: make(map[int64]*summaryDecoder)}
}

// nameAt returns the name with the given index, or an error if the peer has not
// sent it.
func (d *decoder) nameAt(i int64) (string, error) {
	if i < 0 || i >= int64(len(d.names)) {
		return "", malformedError("name %d of %d", i, len(d.names))
	}
	return d.names[i], nil
}

// addNames appends the new names of a message, which get the next indexes.
func (d *decoder) addNames(names []string) error {
	if len(d.names)+len(names) > maxNames {
		return malformedError("more than %d names", maxNames)
	}
	for _, n := range names {
		if len(n) > maxNameBytes {
			return malformedError("name of %d bytes", len(n))
		}
	}
	d.names = append(d.names, names...)
	return nil
}

// decode applies a difference to the previous heartbeat and returns the result.
func (d *decoder) decode(now time.Time, w wireHeartbeat) (membership.Heartbeat, error) {
	if err := d.addNames(w.Names); err != nil {
		return membership.Heartbeat{}, err
	}
	h := d.previous
	h.Member = d.member
	h.Sequence++
	if w.Sequence != 0 {
		h.Sequence = w.Sequence
	}
	if w.TableRevision != 0 {
		h.TableRevision = w.TableRevision
	}
	if w.TableAge != nil {
		if *w.TableAge < 0 || *w.TableAge > maxCount {
			return h, malformedError("table age %d", *w.TableAge)
		}
		h.TableAge = secondsToDuration(*w.TableAge)
	}
	h.Leaving = h.Leaving || w.Leaving
	if w.Leases != nil {
		h.Leases = leasesFromWire(*w.Leases)
	}
	if w.WantedLoads != nil {
		h.WantedLoads = int(*w.WantedLoads)
	}
	if w.Retries != nil {
		h.Retries = membership.RetryCounts{Requests: int(w.Retries[0]), Retries: int(w.Retries[1])}
	}
	if w.Suspects != nil {
		h.Suspects = noticesFromWire(*w.Suspects)
	}
	if err := checkCounts(int64(h.WantedLoads), int64(h.Retries.Requests), int64(h.Retries.Retries)); err != nil {
		return h, err
	}
	if err := d.applyLoad(&d.load, now, w.Load); err != nil {
		return h, err
	}
	h.Demand, h.InFlight = d.load.rowDemands(), d.load.inFlightCounts()
	h.Reports, h.Summaries = d.load.endpointReports(now), nil
	for _, sum := range w.Summaries {
		s, err := d.decodeSummary(now, sum)
		if err != nil {
			return h, err
		}
		h.Summaries = append(h.Summaries, s)
	}
	d.previous = h
	return h, nil
}

// secondsToDuration returns s seconds, limited to 1e9 s to avoid overflow.
func secondsToDuration(s int64) time.Duration { return time.Duration(min(s, 1e9)) * time.Second }

// checkCounts returns an error if a count is negative or exceeds maxCount.
func checkCounts(counts ...int64) error {
	for _, c := range counts {
		if c < 0 || c > maxCount {
			return malformedError("count %d", c)
		}
	}
	return nil
}

// loadDecoder holds the load received so far from one sender or about one data
// centre, keyed by the indexes of row and endpoint names.
type loadDecoder struct {
	demand   map[int64]membership.RowDemand
	inFlight map[int64]membership.EndpointInFlight
	reports  map[int64]*receivedReport
}

// receivedReport is the last report about an endpoint.
type receivedReport struct {
	membership.EndpointReport
	receivedAt time.Time // when Age was received from the sender
}

func newLoadDecoder() loadDecoder {
	return loadDecoder{demand: make(map[int64]membership.RowDemand), inFlight: make(map[int64]membership.EndpointInFlight), reports: make(map[int64]*receivedReport)}
}

// applyLoad applies the changes of a message to l. The entries have the forms
// described at wireLoadChanges.
func (d *decoder) applyLoad(l *loadDecoder, now time.Time, w wireLoadChanges) error {
	for _, v := range w.Demand {
		if err := d.applyDemand(l, v); err != nil {
			return err
		}
	}
	for _, v := range w.Reports {
		if err := d.applyReport(l, now, v); err != nil {
			return err
		}
	}
	for _, v := range w.BootIDs {
		if len(v) != 2 || l.reports[v[0]] == nil {
			return malformedError("boot entry %v", v)
		}
		boot, err := d.nameAt(v[1])
		if err != nil {
			return err
		}
		l.reports[v[0]].BootID = boot
	}
	for _, v := range w.Residents {
		if err := d.applyResidents(l, v); err != nil {
			return err
		}
	}
	for _, v := range w.InFlight {
		if err := d.applyInFlight(l, v); err != nil {
			return err
		}
	}
	return nil
}

func (d *decoder) applyInFlight(l *loadDecoder, v []int64) error {
	if n := len(v); n != 1 && n != 1+fleet.RankCount {
		return malformedError("in-flight entry of %d values", n)
	}
	endpoint, err := d.nameAt(v[0])
	if err != nil {
		return err
	}
	if len(v) == 1 {
		delete(l.inFlight, v[0])
		return nil
	}
	if err := checkCounts(v[1:]...); err != nil {
		return err
	}
	c := membership.EndpointInFlight{Endpoint: fleet.EndpointID(endpoint)}
	for r, n := range v[1:] {
		c.InFlight[r] = int(n)
	}
	l.inFlight[v[0]] = c
	if len(l.inFlight) > maxEndpoints {
		return malformedError("more than %d endpoints in flight", maxEndpoints)
	}
	return nil
}

// inFlightCounts returns the in-flight requests, sorted by endpoint.
func (l *loadDecoder) inFlightCounts() []membership.EndpointInFlight {
	var out []membership.EndpointInFlight
	for _, c := range l.inFlight {
		out = append(out, c)
	}
	slices.SortFunc(out, func(a, b membership.EndpointInFlight) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	return out
}

func (d *decoder) applyDemand(l *loadDecoder, v []int64) error {
	if len(v) == 0 || len(v) > 5 {
		return malformedError("demand entry of %d values", len(v))
	}
	row, err := d.nameAt(v[0])
	if err != nil {
		return err
	}
	if err := checkCounts(v[1:]...); err != nil {
		return err
	}
	if len(v) == 1 {
		delete(l.demand, v[0])
		return nil
	}
	var padded [5]int64
	copy(padded[:], v)
	l.demand[v[0]] = membership.RowDemand{Row: row, ArrivalRate: float64(padded[1]) / 10, Queued: int(padded[2]), InFlight: int(padded[3]), Slots: float64(padded[4]) / 10}
	if len(l.demand) > maxRows {
		return malformedError("more than %d rows", maxRows)
	}
	return nil
}

func (d *decoder) applyReport(l *loadDecoder, now time.Time, v []int64) error {
	if n := len(v); n != 1 && n != 2 && n != 4 && n != 6 {
		return malformedError("report entry of %d values", n)
	}
	id, err := d.nameAt(v[0])
	if err != nil {
		return err
	}
	if err := checkCounts(v[1:]...); err != nil {
		return err
	}
	r := l.reports[v[0]]
	if len(v) == 1 {
		delete(l.reports, v[0])
		return nil
	}
	if r == nil {
		if len(v) != 6 || len(l.reports) >= maxEndpoints {
			return malformedError("report of unknown endpoint %q", id)
		}
		r = &receivedReport{EndpointReport: membership.EndpointReport{Endpoint: fleet.EndpointID(id)}}
		l.reports[v[0]] = r
	}
	r.Age, r.receivedAt = time.Duration(min(v[1], 1e10))*100*time.Millisecond, now
	if len(v) >= 4 {
		r.Running, r.Waiting = int(v[2]), int(v[3])
	}
	if len(v) == 6 {
		r.Slots, r.Leaving = int(v[4]), v[5] != 0
	}
	return nil
}

func (d *decoder) applyResidents(l *loadDecoder, v []int64) error {
	if len(v)%3 != 1 || l.reports[v[0]] == nil {
		return malformedError("residents entry of %d values", len(v))
	}
	residents := make([]membership.Resident, 0, len(v)/3)
	for triple := range slices.Chunk(v[1:], 3) {
		name, err := d.nameAt(triple[0])
		if err != nil {
			return err
		}
		version, err := d.nameAt(triple[1])
		if err != nil {
			return err
		}
		residents = append(residents, membership.Resident{Name: name, Version: version, Ready: triple[2] != 0})
	}
	l.reports[v[0]].Residents = residents
	return nil
}

// rowDemands returns the demand of all rows, in the order of their name indexes.
func (l *loadDecoder) rowDemands() []membership.RowDemand {
	out := make([]membership.RowDemand, 0, len(l.demand))
	for _, id := range slices.Sorted(maps.Keys(l.demand)) {
		out = append(out, l.demand[id])
	}
	return out
}

// endpointReports returns the reports in the order of their name indexes, with
// the time since they were received added to their age.
func (l *loadDecoder) endpointReports(now time.Time) []membership.EndpointReport {
	out := make([]membership.EndpointReport, 0, len(l.reports))
	for _, id := range slices.Sorted(maps.Keys(l.reports)) {
		r := l.reports[id]
		report := r.EndpointReport
		report.Age += now.Sub(r.receivedAt)
		out = append(out, report)
	}
	return out
}

// summaryDecoder holds the last summary received of one data centre.
type summaryDecoder struct {
	members map[string]membership.MemberSummary
	load    loadDecoder
}

// decodeSummary applies the change of a summary and returns the whole summary.
func (d *decoder) decodeSummary(now time.Time, w wireSummary) (membership.Summary, error) {
	dc, err := d.nameAt(w.DataCentre)
	if err != nil {
		return membership.Summary{}, err
	}
	relay, err := d.nameAt(w.Relay)
	if err != nil {
		return membership.Summary{}, err
	}
	s := d.summaries[w.DataCentre]
	if s == nil {
		if len(d.summaries) >= maxDataCentres {
			return membership.Summary{}, malformedError("more than %d data centres", maxDataCentres)
		}
		s = &summaryDecoder{members: make(map[string]membership.MemberSummary), load: newLoadDecoder()}
		d.summaries[w.DataCentre] = s
	}
	for _, m := range w.Members {
		s.members[m.Member.ID] = membership.MemberSummary{
			Member: instanceFromWire(m.Member), Leaving: m.Leaving, Suspect: m.Suspect, StoreStale: m.StoreStale, Leases: leasesFromWire(m.Leases),
		}
	}
	for _, i := range w.RemovedMembers {
		name, err := d.nameAt(i)
		if err != nil {
			return membership.Summary{}, err
		}
		delete(s.members, name)
	}
	if len(s.members) > maxMembers {
		return membership.Summary{}, malformedError("more than %d members", maxMembers)
	}
	if err := checkCounts(w.WantedLoads, w.Retries[0], w.Retries[1]); err != nil {
		return membership.Summary{}, err
	}
	if err := d.applyLoad(&s.load, now, w.Load); err != nil {
		return membership.Summary{}, err
	}
	sum := membership.Summary{
		DataCentre: fleet.DataCentre(dc), Relay: fleet.InstanceID(relay), RelayIncarnation: fleet.Incarnation(w.Incarnation),
		Sequence: w.Sequence, TableRevision: w.TableRevision, WantedLoads: int(w.WantedLoads),
		Retries: membership.RetryCounts{Requests: int(w.Retries[0]), Retries: int(w.Retries[1])},
		Demand:  s.load.rowDemands(), Reports: s.load.endpointReports(now),
	}
	for _, id := range slices.Sorted(maps.Keys(s.members)) {
		sum.Members = append(sum.Members, s.members[id])
	}
	return sum, nil
}
