package membership

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/hyssophaven/hyssophaven/fleet"
	"github.com/hyssophaven/hyssophaven/rendezvous"
)

// sendDue emits this instance's heartbeat if it is due.
func (s *State) sendDue(now time.Time) {
	if now.Before(s.nextSend) {
		return
	}
	s.nextSend = now.Add(s.cfg.HeartbeatEvery)
	s.sequence++
	h := s.own
	h.Member, h.Sequence, h.Leaving, h.Summaries = s.cfg.Self, s.sequence, s.leaving, nil
	s.own = h
	t := s.targets()
	if !t.relay {
		s.send(t.plain, h)
		return
	}
	if !now.Before(s.nextSummary) {
		s.nextSummary = now.Add(s.cfg.SummaryEvery)
		s.summarySeq++
		s.ownSummary = s.summarise(now)
	}
	s.send(t.plain, h)
	withForeign := h
	for _, dc := range slices.Sorted(maps.Keys(s.foreign)) {
		if now.Sub(s.summariesAt[dc]) < s.cfg.DeadAfter {
			withForeign.Summaries = append(withForeign.Summaries, s.foreign[dc])
		}
	}
	s.send(t.served, withForeign)
	withOwn := h
	withOwn.Summaries = []Summary{s.ownSummary}
	s.send(t.foreignRelays, withOwn)
}

func (s *State) send(to []fleet.Instance, h Heartbeat) {
	if len(to) > 0 {
		s.emit(SendHeartbeat{To: to, Heartbeat: h})
	}
}

// targetSets are the receivers of this instance's heartbeat.
type targetSets struct {
	relay         bool             // this instance is a relay of its data centre
	plain         []fleet.Instance // get the heartbeat alone
	served        []fleet.Instance // also get the summaries of other data centres
	foreignRelays []fleet.Instance // also get the summary of this data centre
}

// Targets returns every instance that gets this instance's heartbeat now,
// ordered by name.
func (s *State) Targets() []fleet.Instance {
	t := s.targets()
	all := slices.Concat(t.plain, t.served, t.foreignRelays)
	slices.SortFunc(all, compareInstances)
	return all
}

// IsRelay reports whether this instance forwards summaries between data centres.
func (s *State) IsRelay() bool { return s.targets().relay }

// reachable reports whether heartbeats are worth sending. A dead member that
// is still listed gets them, since otherwise two sides of a cut would never
// meet again.
func (m *member) reachable() bool {
	return m.Instance.PeerAddress != "" && (m.Status != Dead || m.InList)
}

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
	if count <= s.cfg.MeshLimit {
		for _, dc := range slices.Sorted(maps.Keys(byDC)) {
			for _, m := range byDC[dc] {
				t.plain = append(t.plain, m.Instance)
			}
		}
		return t
	}
	relays := s.ownRelays(byDC[own])
	t.relay = slices.Contains(relays, string(s.cfg.Self.ID))
	relaySet := rendezvous.NewSet(relays)
	for _, m := range byDC[own] {
		if t.relay && relaySet.First("served/"+string(m.Instance.ID)) == string(s.cfg.Self.ID) {
			t.served = append(t.served, m.Instance)
		} else {
			t.plain = append(t.plain, m.Instance)
		}
	}
	if !t.relay {
		return t
	}
	for _, dc := range slices.Sorted(maps.Keys(byDC)) {
		if dc != own {
			t.foreignRelays = append(t.foreignRelays, s.relaysOf(dc, byDC[dc])...)
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
	return rendezvous.NewSet(names).Top("relay/"+string(s.cfg.Self.DataCentre), s.cfg.Relays)
}

// relaysOf returns the relays of another data centre. If none of its members
// is known to be alive, they are chosen among all that are listed.
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
	for _, name := range rendezvous.NewSet(live).Top("relay/"+string(dc), s.cfg.Relays) {
		out = append(out, byName[name])
	}
	return out
}

// summarise returns the summary of this data centre.
func (s *State) summarise(now time.Time) Summary {
	sum := Summary{
		DataCentre: s.cfg.Self.DataCentre, Relay: s.cfg.Self.ID,
		RelayIncarnation: s.cfg.Self.Incarnation, Sequence: s.summarySeq,
	}
	demand := make(map[string]RowDemand)
	add := func(h *Heartbeat, suspect bool) {
		sum.Members = append(sum.Members, MemberDigest{
			Member: h.Member, Leaving: h.Leaving, Suspect: suspect,
			StoreStale: h.TableAge >= s.cfg.StoreStaleAfter, Leases: h.Leases,
		})
		sum.TableRevision = max(sum.TableRevision, h.TableRevision)
		sum.WantedLoads += h.WantedLoads
		sum.Retries.Requests += h.Retries.Requests
		sum.Retries.Retries += h.Retries.Retries
		addDemand(demand, h.Demand)
	}
	add(&s.own, false)
	reports := newestReports{}
	reports.add(s.own.Reports, 0)
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
		sum.Demand[i].ArrivalRate = twoDigits(sum.Demand[i].ArrivalRate)
	}
	sum.Reports = reports.sorted()
	for i := range sum.Reports {
		sum.Reports[i] = coarse(sum.Reports[i])
	}
	return sum
}

// coarse rounds the load of a report up to quarters of the slots and its age
// to seconds. Other data centres need it only to choose where to overflow,
// and a coarse load rarely changes, so it costs nothing in most heartbeats.
func coarse(r EndpointReport) EndpointReport {
	quarter := max(1, r.Slots/4)
	r.Running = (r.Running + quarter - 1) / quarter * quarter
	r.Waiting = (r.Waiting + quarter - 1) / quarter * quarter
	r.Age = r.Age.Round(time.Second)
	return r
}

// twoDigits rounds to two significant digits.
func twoDigits(x float64) float64 {
	if x <= 0 {
		return 0
	}
	unit := math.Pow(10, math.Floor(math.Log10(x))-1)
	return math.Round(x/unit) * unit
}
