package membership

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/hyssophaven/hyssophaven/fleet"
	"github.com/hyssophaven/hyssophaven/rendezvous"
)

func compareInstances(a, b fleet.Instance) int { return strings.Compare(string(a.ID), string(b.ID)) }

// Members returns all known other instances, ordered by name.
func (s *State) Members() []Member {
	out := make([]Member, 0, len(s.members))
	for _, m := range s.members {
		out = append(out, m.Member)
	}
	slices.SortFunc(out, func(a, b Member) int { return compareInstances(a.Instance, b.Instance) })
	return out
}

// Member returns what is known of another instance.
func (s *State) Member(id fleet.InstanceID) (Member, bool) {
	m, ok := s.members[id]
	if !ok {
		return Member{}, false
	}
	return m.Member, true
}

// AliveIncarnations returns the incarnation of this instance and of every
// other one that is not dead.
func (s *State) AliveIncarnations() map[fleet.InstanceID]fleet.Incarnation {
	alive := map[fleet.InstanceID]fleet.Incarnation{s.cfg.Self.ID: s.cfg.Self.Incarnation}
	for id, m := range s.members {
		if m.Status == Alive || m.Status == Suspect {
			alive[id] = m.Instance.Incarnation
		}
	}
	return alive
}

// SenderGone reports whether an incarnation can send nothing any more: the
// platform's list no longer names its instance, or a newer incarnation of it
// has announced itself. A silent member that is still listed is not gone. An
// instance that was never listed is gone only when lists without it were read
// for ListLag, since the list may not name a new instance yet.
func (s *State) SenderGone(now time.Time, id fleet.InstanceID, incarnation fleet.Incarnation) bool {
	if id == s.cfg.Self.ID {
		return incarnation < s.cfg.Self.Incarnation
	}
	m, known := s.members[id]
	if known && incarnation < m.Instance.Incarnation {
		return true
	}
	if !s.listed || now.Sub(s.lastList) >= s.cfg.ListLag {
		return false // the list is too old to tell
	}
	if !known {
		return s.lastList.Sub(s.firstList) >= s.cfg.ListLag
	}
	if m.InList || m.Status == Alive || m.Status == Suspect {
		return false
	}
	return m.everInList || s.lastList.Sub(m.firstHeard) >= s.cfg.ListLag
}

// refresh recomputes the cached rendezvous sets.
func (s *State) refresh() {
	if !s.stale {
		return
	}
	s.stale = false
	s.readersVersion++
	self := string(s.cfg.Self.ID)
	var live, fresh, alive []string
	byDC := make(map[fleet.DataCentre][]string)
	if !s.leaving {
		alive = append(alive, self)
		byDC[s.cfg.Self.DataCentre] = append(byDC[s.cfg.Self.DataCentre], self)
		live = append(live, self)
		if s.ownStoreFresh() {
			fresh = append(fresh, self)
		}
	}
	for id, m := range s.members {
		if m.Leaving || m.Status != Alive && m.Status != Suspect {
			continue
		}
		live = append(live, string(id))
		if m.storeFresh {
			fresh = append(fresh, string(id))
		}
		if m.Status == Alive {
			alive = append(alive, string(id))
			byDC[m.Instance.DataCentre] = append(byDC[m.Instance.DataCentre], string(id))
		}
	}
	if len(fresh) == 0 {
		fresh = live
	}
	s.owners = rendezvous.NewSet(fresh)
	s.allReaders = rendezvous.NewSet(alive)
	s.readers = make(map[fleet.DataCentre]rendezvous.Set, len(byDC))
	for dc, names := range byDC {
		s.readers[dc] = rendezvous.NewSet(names)
	}
}

func (s *State) ownStoreFresh() bool { return s.own.TableAge < s.cfg.StoreStaleAfter }

// PreferredOwner returns the instance that should own a shard: the first
// choice among members that are not leaving or dead and have reached the
// store lately, or "" if there is none. Suspect members count, so that a
// short silence moves no shard.
func (s *State) PreferredOwner(shard string) fleet.InstanceID {
	s.refresh()
	return fleet.InstanceID(s.owners.First("owner/" + shard))
}

// ReportReaders returns the instances that read the load report of an
// endpoint, chosen among live members that are not leaving. Members of the
// endpoint's own data centre are chosen if there are any.
func (s *State) ReportReaders(e fleet.EndpointID, dc fleet.DataCentre) []fleet.InstanceID {
	s.refresh()
	set := s.readers[dc]
	if set.Len() == 0 {
		set = s.allReaders
	}
	var out []fleet.InstanceID
	for _, name := range set.Top("reader/"+string(e), s.cfg.ReportReaders) {
		out = append(out, fleet.InstanceID(name))
	}
	return out
}

// ReadersVersion changes whenever the answers of ReportReaders may have changed.
func (s *State) ReadersVersion() uint64 {
	s.refresh()
	return s.readersVersion
}

// ReadsReport reports whether this instance reads the endpoint's load report.
func (s *State) ReadsReport(e fleet.EndpointID, dc fleet.DataCentre) bool {
	return slices.Contains(s.ReportReaders(e, dc), s.cfg.Self.ID)
}

// Demand returns the demand of the whole fleet per row, ordered by row. The
// demand of dead members is left out.
func (s *State) Demand(now time.Time) []RowDemand {
	total := make(map[string]RowDemand)
	addDemand(total, s.own.Demand)
	s.eachSource(now, func(h *Heartbeat) { addDemand(total, h.Demand) }, func(sum Summary) { addDemand(total, sum.Demand) })
	return sortedDemand(total)
}

func (s *State) summaryFresh(now time.Time, dc fleet.DataCentre) bool {
	at, ok := s.summariesAt[dc]
	return ok && now.Sub(at) < s.cfg.DeadAfter
}

// Retries returns the retry counts of the whole fleet.
func (s *State) Retries(now time.Time) RetryCounts {
	total := s.own.Retries
	add := func(c RetryCounts) {
		total.Requests += c.Requests
		total.Retries += c.Retries
	}
	s.eachSource(now, func(h *Heartbeat) { add(h.Retries) }, func(sum Summary) { add(sum.Retries) })
	return total
}

// WantedLoads returns the loads that all instances want from the weight store.
func (s *State) WantedLoads(now time.Time) int {
	total := s.own.WantedLoads
	s.eachSource(now, func(h *Heartbeat) { total += h.WantedLoads }, func(sum Summary) { total += sum.WantedLoads })
	return total
}

// eachSource visits every other live member once, by its heartbeat or by the
// fresh summary of its data centre.
func (s *State) eachSource(now time.Time, heartbeat func(*Heartbeat), summary func(Summary)) {
	for _, m := range s.members {
		if m.Heartbeat == nil || m.Status == Dead {
			continue
		}
		if m.Instance.DataCentre == s.cfg.Self.DataCentre || !s.summaryFresh(now, m.Instance.DataCentre) {
			heartbeat(m.Heartbeat)
		}
	}
	for dc, sum := range s.foreign {
		if s.summaryFresh(now, dc) {
			summary(sum)
		}
	}
}

// Reports returns the newest known report of every endpoint, with its age at
// now, ordered by endpoint.
func (s *State) Reports(now time.Time) []EndpointReport {
	newest := newestReports{}
	for dc, sum := range s.foreign {
		newest.add(sum.Reports, now.Sub(s.summariesAt[dc]))
	}
	newest.add(s.own.Reports, now.Sub(s.ownAt))
	for _, m := range s.members {
		if m.Heartbeat != nil {
			newest.add(m.Heartbeat.Reports, now.Sub(m.HeartbeatAt))
		}
	}
	return newest.sorted()
}

func addDemand(total map[string]RowDemand, rows []RowDemand) {
	for _, r := range rows {
		sum := total[r.Row]
		sum.Row = r.Row
		sum.ArrivalRate += r.ArrivalRate
		sum.Queued += r.Queued
		sum.Slots += r.Slots
		sum.InFlight += r.InFlight
		total[r.Row] = sum
	}
}

func sortedDemand(total map[string]RowDemand) []RowDemand {
	out := make([]RowDemand, 0, len(total))
	for _, name := range slices.Sorted(maps.Keys(total)) {
		out = append(out, total[name])
	}
	return out
}

// newestReports keeps the youngest report of every endpoint.
type newestReports map[fleet.EndpointID]EndpointReport

func (n newestReports) add(reports []EndpointReport, elapsed time.Duration) {
	for _, r := range reports {
		r.Age += elapsed
		if old, ok := n[r.Endpoint]; !ok || r.Age < old.Age {
			n[r.Endpoint] = r
		}
	}
}

func (n newestReports) sorted() []EndpointReport {
	return slices.SortedFunc(maps.Values(n), func(a, b EndpointReport) int {
		return cmp.Compare(a.Endpoint, b.Endpoint)
	})
}
