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

// Members returns all known other instances, ordered by ID.
func (s *State) Members() []Member {
	out := make([]Member, 0, len(s.members))
	for _, m := range s.members {
		out = append(out, m.Member)
	}
	slices.SortFunc(out, func(a, b Member) int { return compareInstances(a.Instance, b.Instance) })
	return out
}

// Member returns the known state of another instance. The result is false if the
// instance is unknown.
func (s *State) Member(id fleet.InstanceID) (Member, bool) {
	m, ok := s.members[id]
	if !ok {
		return Member{}, false
	}
	return m.Member, true
}

// AliveIncarnations returns the incarnations of this instance and of all members
// that are alive or suspect.
func (s *State) AliveIncarnations() map[fleet.InstanceID]fleet.Incarnation {
	alive := map[fleet.InstanceID]fleet.Incarnation{s.cfg.Self.ID: s.cfg.Self.Incarnation}
	for id, m := range s.members {
		if m.Status == Alive || m.Status == Suspect {
			alive[id] = m.Instance.Incarnation
		}
	}
	return alive
}

// SenderGone reports whether an incarnation can no longer send anything: it is
// dead and the platform's list no longer contains its instance, or a newer
// incarnation was heard of. A silent member that is still listed is not gone. An
// instance that was never listed is gone only after it was missing from the list
// for MaxListLag, since the list can lag behind the start of an instance.
func (s *State) SenderGone(now time.Time, id fleet.InstanceID, incarnation fleet.Incarnation) bool {
	if id == s.cfg.Self.ID {
		return incarnation < s.cfg.Self.Incarnation
	}
	m, known := s.members[id]
	if known && incarnation < m.Instance.Incarnation {
		return true
	}
	if !s.listRead || now.Sub(s.lastListRead) >= s.cfg.MaxListLag {
		return false // the list is too old to prove absence
	}
	if !known {
		return s.lastListRead.Sub(s.firstListRead) >= s.cfg.MaxListLag
	}
	if m.InList || m.Status == Alive || m.Status == Suspect {
		return false
	}
	return m.everListed || s.lastListRead.Sub(m.firstHeard) >= s.cfg.MaxListLag
}

// refreshCandidates recomputes the cached candidate sets if they are stale.
func (s *State) refreshCandidates() {
	if !s.candidatesStale {
		return
	}
	s.candidatesStale = false
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
	s.ownerCandidates = rendezvous.NewSet(fresh)
	s.allReaders = rendezvous.NewSet(alive)
	s.readersByDC = make(map[fleet.DataCentre]rendezvous.Set, len(byDC))
	for dc, names := range byDC {
		s.readersByDC[dc] = rendezvous.NewSet(names)
	}
}

func (s *State) ownStoreFresh() bool { return s.ownHeartbeat.TableAge < s.cfg.StoreStaleAfter }

// PreferredOwner returns the instance that should own a shard, or "" if there is
// none. It is chosen by rendezvous hashing among alive and suspect instances that
// are not leaving and whose TableAge is below StoreStaleAfter; if there are none,
// the age is ignored. Suspect members are included, so that a short silence moves
// no shard.
func (s *State) PreferredOwner(shard string) fleet.InstanceID {
	s.refreshCandidates()
	return fleet.InstanceID(s.ownerCandidates.First("owner/" + shard))
}

// ReportReaders returns the instances that read the load report of an endpoint.
// They are chosen by rendezvous hashing among the alive instances in the
// endpoint's data centre dc that are not leaving, or in all data centres if
// there are none in dc.
func (s *State) ReportReaders(e fleet.EndpointID, dc fleet.DataCentre) []fleet.InstanceID {
	s.refreshCandidates()
	set := s.readersByDC[dc]
	if set.Len() == 0 {
		set = s.allReaders
	}
	var out []fleet.InstanceID
	for _, name := range set.Top("reader/"+string(e), s.cfg.ReadersPerEndpoint) {
		out = append(out, fleet.InstanceID(name))
	}
	return out
}

// ReadersVersion returns a number that changes whenever the results of
// ReportReaders can have changed.
func (s *State) ReadersVersion() uint64 {
	s.refreshCandidates()
	return s.readersVersion
}

// ReadsReport reports whether this instance reads the endpoint's load report.
func (s *State) ReadsReport(e fleet.EndpointID, dc fleet.DataCentre) bool {
	return slices.Contains(s.ReportReaders(e, dc), s.cfg.Self.ID)
}

// Demand returns the demand of the whole fleet per row, ordered by row. It
// excludes the demand of dead members.
func (s *State) Demand(now time.Time) []RowDemand {
	total := make(map[string]RowDemand)
	addDemand(total, s.ownHeartbeat.Demand)
	s.visitSources(now, func(h *Heartbeat) { addDemand(total, h.Demand) }, func(sum Summary) { addDemand(total, sum.Demand) })
	return sortedDemand(total)
}

func (s *State) summaryFresh(now time.Time, dc fleet.DataCentre) bool {
	at, ok := s.summaryReceivedAt[dc]
	return ok && now.Sub(at) < s.cfg.DeadAfter
}

// Retries returns the retry counts of the whole fleet.
func (s *State) Retries(now time.Time) RetryCounts {
	total := s.ownHeartbeat.Retries
	add := func(c RetryCounts) {
		total.Requests += c.Requests
		total.Retries += c.Retries
	}
	s.visitSources(now, func(h *Heartbeat) { add(h.Retries) }, func(sum Summary) { add(sum.Retries) })
	return total
}

// WantedLoads returns the number of pending and running loads from the weight store
// over all instances.
func (s *State) WantedLoads(now time.Time) int {
	total := s.ownHeartbeat.WantedLoads
	s.visitSources(now, func(h *Heartbeat) { total += h.WantedLoads }, func(sum Summary) { total += sum.WantedLoads })
	return total
}

// visitSources visits every other member that is not dead once, by its heartbeat
// or by the fresh summary of its data centre.
func (s *State) visitSources(now time.Time, heartbeat func(*Heartbeat), summary func(Summary)) {
	for _, m := range s.members {
		if m.Heartbeat == nil || m.Status == Dead {
			continue
		}
		if m.Instance.DataCentre == s.cfg.Self.DataCentre || !s.summaryFresh(now, m.Instance.DataCentre) {
			heartbeat(m.Heartbeat)
		}
	}
	for dc, sum := range s.remoteSummaries {
		if s.summaryFresh(now, dc) {
			summary(sum)
		}
	}
}

// Reports returns the newest known report of every endpoint, with its age at
// now, ordered by endpoint.
func (s *State) Reports(now time.Time) []EndpointReport {
	newest := newestReports{}
	for dc, sum := range s.remoteSummaries {
		newest.add(sum.Reports, now.Sub(s.summaryReceivedAt[dc]))
	}
	newest.add(s.ownHeartbeat.Reports, now.Sub(s.ownUpdatedAt))
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

// newestReports holds the newest report of every endpoint.
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
