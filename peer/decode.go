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

// Bounds on what one connection may make its receiver keep.
const (
	maxNameBytes   = 512
	maxRows        = 20000
	maxEndpoints   = 20000
	maxDataCentres = 256
	maxMembers     = 4096 // of one data centre
	maxCount       = 1 << 40
)

var errMalformed = errors.New("peer: malformed heartbeat")

func malformed(format string, args ...any) error {
	return fmt.Errorf("%w: %s", errMalformed, fmt.Sprintf(format, args...))
}

// decoder restores heartbeats from differences. It belongs to one connection
// and must not be used after an error.
type decoder struct {
	member    fleet.Instance // authenticated by hello
	names     []string
	last      membership.Heartbeat
	load      loadDecoder
	summaries map[int64]*summaryDecoder
}

func newDecoder(member fleet.Instance) *decoder {
	return &decoder{member: member, load: newLoadDecoder(), summaries: make(map[int64]*summaryDecoder)}
}

func (d *decoder) name(i int64) (string, error) {
	if i < 0 || i >= int64(len(d.names)) {
		return "", malformed("name %d of %d", i, len(d.names))
	}
	return d.names[i], nil
}

func (d *decoder) addNames(names []string) error {
	if len(d.names)+len(names) > maxNames {
		return malformed("more than %d names", maxNames)
	}
	for _, n := range names {
		if len(n) > maxNameBytes {
			return malformed("name of %d bytes", len(n))
		}
	}
	d.names = append(d.names, names...)
	return nil
}

// decode returns the whole heartbeat after a difference.
func (d *decoder) decode(now time.Time, w wireHeartbeat) (membership.Heartbeat, error) {
	if err := d.addNames(w.Names); err != nil {
		return membership.Heartbeat{}, err
	}
	h := d.last
	h.Member = d.member
	h.Sequence++
	if w.Sequence != 0 {
		h.Sequence = w.Sequence
	}
	if w.Revision != 0 {
		h.TableRevision = w.Revision
	}
	if w.Age != nil {
		if *w.Age < 0 || *w.Age > maxCount {
			return h, malformed("table age %d", *w.Age)
		}
		h.TableAge = seconds(*w.Age)
	}
	h.Leaving = h.Leaving || w.Leaving
	if w.Leases != nil {
		h.Leases = leasesFromWire(*w.Leases)
	}
	if w.Wanted != nil {
		h.WantedLoads = int(*w.Wanted)
	}
	if w.Retries != nil {
		h.Retries = membership.RetryCounts{Requests: int(w.Retries[0]), Retries: int(w.Retries[1])}
	}
	if w.Suspects != nil {
		h.Suspects = noticesFromWire(*w.Suspects)
	}
	if err := validCounts(int64(h.WantedLoads), int64(h.Retries.Requests), int64(h.Retries.Retries)); err != nil {
		return h, err
	}
	if err := d.applyLoad(&d.load, now, w.Load); err != nil {
		return h, err
	}
	h.Demand, h.InFlight = d.load.rows(), d.load.counts()
	h.Reports, h.Summaries = d.load.endpoints(now), nil
	for _, sum := range w.Summaries {
		s, err := d.decodeSummary(now, sum)
		if err != nil {
			return h, err
		}
		h.Summaries = append(h.Summaries, s)
	}
	d.last = h
	return h, nil
}

// seconds converts without overflow.
func seconds(s int64) time.Duration { return time.Duration(min(s, 1e9)) * time.Second }

func validCounts(counts ...int64) error {
	for _, c := range counts {
		if c < 0 || c > maxCount {
			return malformed("count %d", c)
		}
	}
	return nil
}

// loadDecoder holds the rows and reports as sent so far.
type loadDecoder struct {
	demand   map[int64]membership.RowDemand
	inFlight map[int64]membership.EndpointInFlight
	reports  map[int64]*receivedReport
}

type receivedReport struct {
	membership.EndpointReport
	at time.Time // when Age was received
}

func newLoadDecoder() loadDecoder {
	return loadDecoder{demand: make(map[int64]membership.RowDemand), inFlight: make(map[int64]membership.EndpointInFlight), reports: make(map[int64]*receivedReport)}
}

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
	for _, v := range w.Boots {
		if len(v) != 2 || l.reports[v[0]] == nil {
			return malformed("boot entry %v", v)
		}
		boot, err := d.name(v[1])
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
		return malformed("in-flight entry of %d values", n)
	}
	endpoint, err := d.name(v[0])
	if err != nil {
		return err
	}
	if len(v) == 1 {
		delete(l.inFlight, v[0])
		return nil
	}
	if err := validCounts(v[1:]...); err != nil {
		return err
	}
	c := membership.EndpointInFlight{Endpoint: fleet.EndpointID(endpoint)}
	for r, n := range v[1:] {
		c.InFlight[r] = int(n)
	}
	l.inFlight[v[0]] = c
	if len(l.inFlight) > maxEndpoints {
		return malformed("more than %d endpoints in flight", maxEndpoints)
	}
	return nil
}

func (l *loadDecoder) counts() []membership.EndpointInFlight {
	var out []membership.EndpointInFlight
	for _, c := range l.inFlight {
		out = append(out, c)
	}
	slices.SortFunc(out, func(a, b membership.EndpointInFlight) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	return out
}

func (d *decoder) applyDemand(l *loadDecoder, v []int64) error {
	if len(v) == 0 || len(v) > 5 {
		return malformed("demand entry of %d values", len(v))
	}
	row, err := d.name(v[0])
	if err != nil {
		return err
	}
	if err := validCounts(v[1:]...); err != nil {
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
		return malformed("more than %d rows", maxRows)
	}
	return nil
}

func (d *decoder) applyReport(l *loadDecoder, now time.Time, v []int64) error {
	if n := len(v); n != 1 && n != 2 && n != 4 && n != 6 {
		return malformed("report entry of %d values", n)
	}
	id, err := d.name(v[0])
	if err != nil {
		return err
	}
	if err := validCounts(v[1:]...); err != nil {
		return err
	}
	r := l.reports[v[0]]
	if len(v) == 1 {
		delete(l.reports, v[0])
		return nil
	}
	if r == nil {
		if len(v) != 6 || len(l.reports) >= maxEndpoints {
			return malformed("report of unknown endpoint %q", id)
		}
		r = &receivedReport{EndpointReport: membership.EndpointReport{Endpoint: fleet.EndpointID(id)}}
		l.reports[v[0]] = r
	}
	r.Age, r.at = time.Duration(min(v[1], 1e10))*100*time.Millisecond, now
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
		return malformed("residents entry of %d values", len(v))
	}
	residents := make([]membership.Resident, 0, len(v)/3)
	for triple := range slices.Chunk(v[1:], 3) {
		name, err := d.name(triple[0])
		if err != nil {
			return err
		}
		version, err := d.name(triple[1])
		if err != nil {
			return err
		}
		residents = append(residents, membership.Resident{Name: name, Version: version, Ready: triple[2] != 0})
	}
	l.reports[v[0]].Residents = residents
	return nil
}

func (l *loadDecoder) rows() []membership.RowDemand {
	out := make([]membership.RowDemand, 0, len(l.demand))
	for _, id := range slices.Sorted(maps.Keys(l.demand)) {
		out = append(out, l.demand[id])
	}
	return out
}

func (l *loadDecoder) endpoints(now time.Time) []membership.EndpointReport {
	out := make([]membership.EndpointReport, 0, len(l.reports))
	for _, id := range slices.Sorted(maps.Keys(l.reports)) {
		r := l.reports[id]
		report := r.EndpointReport
		report.Age += now.Sub(r.at)
		out = append(out, report)
	}
	return out
}

type summaryDecoder struct {
	members map[string]membership.MemberDigest
	load    loadDecoder
}

func (d *decoder) decodeSummary(now time.Time, w wireSummary) (membership.Summary, error) {
	dc, err := d.name(w.DataCentre)
	if err != nil {
		return membership.Summary{}, err
	}
	relay, err := d.name(w.Relay)
	if err != nil {
		return membership.Summary{}, err
	}
	s := d.summaries[w.DataCentre]
	if s == nil {
		if len(d.summaries) >= maxDataCentres {
			return membership.Summary{}, malformed("more than %d data centres", maxDataCentres)
		}
		s = &summaryDecoder{members: make(map[string]membership.MemberDigest), load: newLoadDecoder()}
		d.summaries[w.DataCentre] = s
	}
	for _, m := range w.Members {
		s.members[m.Member.ID] = membership.MemberDigest{
			Member: instanceFromWire(m.Member), Leaving: m.Leaving, Suspect: m.Suspect, StoreStale: m.StoreStale, Leases: leasesFromWire(m.Leases),
		}
	}
	for _, i := range w.Gone {
		name, err := d.name(i)
		if err != nil {
			return membership.Summary{}, err
		}
		delete(s.members, name)
	}
	if len(s.members) > maxMembers {
		return membership.Summary{}, malformed("more than %d members", maxMembers)
	}
	if err := validCounts(w.Wanted, w.Retries[0], w.Retries[1]); err != nil {
		return membership.Summary{}, err
	}
	if err := d.applyLoad(&s.load, now, w.Load); err != nil {
		return membership.Summary{}, err
	}
	sum := membership.Summary{
		DataCentre: fleet.DataCentre(dc), Relay: fleet.InstanceID(relay), RelayIncarnation: fleet.Incarnation(w.Incarnation),
		Sequence: w.Sequence, TableRevision: w.Revision, WantedLoads: int(w.Wanted),
		Retries: membership.RetryCounts{Requests: int(w.Retries[0]), Retries: int(w.Retries[1])},
		Demand:  s.load.rows(), Reports: s.load.endpoints(now),
	}
	for _, id := range slices.Sorted(maps.Keys(s.members)) {
		sum.Members = append(sum.Members, s.members[id])
	}
	return sum, nil
}
