package membership

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/hyssophaven/hyssophaven/fleet"
	"github.com/hyssophaven/hyssophaven/rendezvous"
)

// sendIfDue emits this instance's heartbeat if the interval since the last one
// has passed.
func (s *State) sendIfDue(now time.Time) {
	if now.Before(s.nextSend) {
		return
	}
	s.nextSend = now.Add(s.cfg.HeartbeatInterval)
	s.sequence++
	h := s.ownHeartbeat
	h.Member, h.Sequence, h.Leaving, h.Summaries = s.cfg.Self, s.sequence, s.leaving, nil
	s.ownHeartbeat = h
	t := s.targets()
	if !t.relay {
		s.send(t.heartbeatOnly, h)
		return
	}
	if !now.Before(s.nextSummary) {
		s.nextSummary = now.Add(s.cfg.SummaryInterval)
		s.summarySeq++
		s.ownSummary = s.buildSummary(now)
	}
	s.send(t.heartbeatOnly, h)
	withRemote := h
	for _, dc := range slices.Sorted(maps.Keys(s.remoteSummaries)) {
		if now.Sub(s.summaryReceivedAt[dc]) < s.cfg.DeadAfter {
			withRemote.Summaries = append(withRemote.Summaries, s.remoteSummaries[dc])
		}
	}
	s.send(t.withRemoteSummaries, withRemote)
	withOwn := h
	withOwn.Summaries = []Summary{s.ownSummary}
	s.send(t.remoteRelays, withOwn)
}

func (s *State) send(to []fleet.Instance, h Heartbeat) {
	if len(to) > 0 {
		s.emit(SendHeartbeat{To: to, Heartbeat: h})
	}
}

// targetSets groups the receivers of this instance's heartbeat by the summaries
// that are sent with it.
type targetSets struct {
	relay               bool             // this instance is a relay of its data centre
	heartbeatOnly       []fleet.Instance // without summaries
	withRemoteSummaries []fleet.Instance // with the summaries of other data centres
	remoteRelays        []fleet.Instance // with the summary of this data centre
}

// Targets returns all current receivers of this instance's heartbeat, ordered by
// ID.
func (s *State) Targets() []fleet.Instance {
	t := s.targets()
	all := slices.Concat(t.heartbeatOnly, t.withRemoteSummaries, t.remoteRelays)
	slices.SortFunc(all, compareInstances)
	return all
}

// IsRelay reports whether this instance is a relay, which exchanges summaries
// with other data centres for the members of its own data centre.
func (s *State) IsRelay() bool { return s.targets().relay }

// reachable reports whether heartbeats are sent to the member. Dead members that
// are still listed are included, since otherwise the two sides of a network
// partition would never reconnect.
func (m *member) reachable() bool {
	return m.Instance.PeerAddress != "" && (m.Status != Dead || m.InList)
}

// targets returns the receivers of the next heartbeat. Up to MaxMeshSize instances
// form a full mesh. Beyond that, members send within their data centre, and its
// relays also exchange summaries with the relays of the others. Each member is
// assigned to one relay, which passes the remote summaries on to it.
func (s *State) targets() targetSets {
	var t targetSets
	byDC := make(map[fleet.DataCentre][]*member)
	count := 1
	for _, id := range slices.Sorted(maps.Keys(s.members)) {
		if m := s.members[id]; m.reachable() {
			byDC[m.Instance.DataCentre] = append(byDC[m.Instance.DataCentre], m)
			count++
		}
	}
	own := s.cfg.Self.DataCentre
	if count <= s.cfg.MaxMeshSize {
		for _, dc := range slices.Sorted(maps.Keys(byDC)) {
			for _, m := range byDC[dc] {
				t.heartbeatOnly = append(t.heartbeatOnly, m.Instance)
			}
		}
		return t
	}
	relays := s.ownRelays(byDC[own])
	t.relay = slices.Contains(relays, string(s.cfg.Self.ID))
	relaySet := rendezvous.NewSet(relays)
	for _, m := range byDC[own] {
		if t.relay && relaySet.First("served/"+string(m.Instance.ID)) == string(s.cfg.Self.ID) {
			t.withRemoteSummaries = append(t.withRemoteSummaries, m.Instance)
		} else {
			t.heartbeatOnly = append(t.heartbeatOnly, m.Instance)
		}
	}
	if !t.relay {
		return t
	}
	for _, dc := range slices.Sorted(maps.Keys(byDC)) {
		if dc != own {
			t.remoteRelays = append(t.remoteRelays, s.relaysOf(dc, byDC[dc])...)
		}
	}
	return t
}

// ownRelays returns the relays of this data centre.
func (s *State) ownRelays(members []*member) []string {
	var names []string
	for _, m := range members {
		if m.Status == Alive && !m.Leaving {
			names = append(names, string(m.Instance.ID))
		}
	}
	if !s.leaving || len(names) == 0 {
		names = append(names, string(s.cfg.Self.ID))
	}
	return rendezvous.NewSet(names).Top("relay/"+string(s.cfg.Self.DataCentre), s.cfg.RelaysPerDataCentre)
}

// relaysOf returns the relays of another data centre. If none of the given
// members is alive and not leaving, all of them are candidates.
func (s *State) relaysOf(dc fleet.DataCentre, members []*member) []fleet.Instance {
	byName := make(map[string]fleet.Instance, len(members))
	var live, all []string
	for _, m := range members {
		name := string(m.Instance.ID)
		byName[name] = m.Instance
		all = append(all, name)
		if m.Status == Alive && !m.Leaving {
			live = append(live, name)
		}
	}
	if len(live) == 0 {
		live = all
	}
	var out []fleet.Instance
	for _, name := range rendezvous.NewSet(live).Top("relay/"+string(dc), s.cfg.RelaysPerDataCentre) {
		out = append(out, byName[name])
	}
	return out
}

// buildSummary returns this relay's summary of its data centre.
func (s *State) buildSummary(now time.Time) Summary {
	sum := Summary{
		DataCentre: s.cfg.Self.DataCentre, Relay: s.cfg.Self.ID,
		RelayIncarnation: s.cfg.Self.Incarnation, Sequence: s.summarySeq,
	}
	demand := make(map[string]RowDemand)
	add := func(h *Heartbeat, suspect bool) {
		sum.Members = append(sum.Members, MemberSummary{
			Member: h.Member, Leaving: h.Leaving, Suspect: suspect,
			StoreStale: h.TableAge >= s.cfg.StoreStaleAfter, Leases: h.Leases,
		})
		sum.TableRevision = max(sum.TableRevision, h.TableRevision)
		sum.WantedLoads += h.WantedLoads
		sum.Retries.Requests += h.Retries.Requests
		sum.Retries.Retries += h.Retries.Retries
		addDemand(demand, h.Demand)
	}
	add(&s.ownHeartbeat, false)
	reports := newestReports{}
	reports.add(s.ownHeartbeat.Reports, 0)
	for _, id := range slices.Sorted(maps.Keys(s.members)) {
		m := s.members[id]
		if m.Heartbeat == nil || m.Status == Dead || m.Instance.DataCentre != s.cfg.Self.DataCentre {
			continue
		}
		add(m.Heartbeat, m.Status == Suspect)
		reports.add(m.Heartbeat.Reports, now.Sub(m.HeartbeatAt))
	}
	sum.Demand = sortedDemand(demand)
	for i := range sum.Demand {
		sum.Demand[i].ArrivalRate = roundToTwoDigits(sum.Demand[i].ArrivalRate)
	}
	sum.Reports = reports.sorted()
	for i := range sum.Reports {
		sum.Reports[i] = coarsenReport(sum.Reports[i])
	}
	return sum
}

// coarsenReport rounds the load of a report up to quarters of the slots and its
// age to seconds. Other data centres need the load only to choose where to
// overflow, and since a coarse load rarely changes, most heartbeats, which are
// sent as differences, omit it.
func coarsenReport(r EndpointReport) EndpointReport {
	quarter := max(1, r.Slots/4)
	r.Running = (r.Running + quarter - 1) / quarter * quarter
	r.Waiting = (r.Waiting + quarter - 1) / quarter * quarter
	r.Age = r.Age.Round(time.Second)
	return r
}

// roundToTwoDigits rounds x to two significant digits. It returns 0 if x
// is not positive.
func roundToTwoDigits(x float64) float64 {
	if x <= 0 {
		return 0
	}
	unit := math.Pow(10, math.Floor(math.Log10(x))-1)
	return math.Round(x/unit) * unit
}
