package capacity

import (
	"context"
	"time"

	"github.com/hyssophaven/hyssophaven/burn"
	"github.com/hyssophaven/hyssophaven/fleet"
	"github.com/hyssophaven/hyssophaven/ledger"
	"github.com/hyssophaven/hyssophaven/membership"
	"github.com/hyssophaven/hyssophaven/quarantine"
	"github.com/hyssophaven/hyssophaven/table"
)

// measureDecisions measures the decision packages of the control state one by one.
func measureDecisions(_ context.Context, o Options) ([]Line, error) {
	nodes := o.sizes(52, 105, 210, 420)
	lines := []Line{
		measureSeries(Line{
			Name: "membership: heartbeat of a mate", SizeUnit: "nodes", CostUnit: "µs", DesignSize: designNodes,
			Budget: Processor, BudgetFactor: heartbeatsPerSec * (nodesPerDataCentre - 1) / 1e3, Explanation: "34 mates, 2/s each", IsPart: true,
		}, nodes, func(n int) float64 { return heartbeatCost(o, n, false) }),
		measureSeries(Line{
			Name: "membership: heartbeat of a relay with summaries", SizeUnit: "nodes", CostUnit: "µs", DesignSize: designNodes,
			Budget: Processor, BudgetFactor: 1.0 / 1e3, Explanation: "1 summary/s", IsPart: true,
		}, nodes, func(n int) float64 { return heartbeatCost(o, n, true) }),
		measureSeries(Line{
			Name: "membership: tick of an instance that is no relay", SizeUnit: "nodes", CostUnit: "µs", DesignSize: designNodes,
			Budget: Processor, BudgetFactor: heartbeatsPerSec / 1e3, Explanation: "2 ticks/s", IsPart: true,
		}, nodes, func(n int) float64 { return membershipTickCost(o, n, false) }),
		measureSeries(Line{
			Name: "membership: tick of a relay", SizeUnit: "nodes", CostUnit: "µs", DesignSize: designNodes,
			Explanation: "2 ticks/s on 2 of 35 instances",
		}, nodes, func(n int) float64 { return membershipTickCost(o, n, true) }),
	}
	lines = append(lines, measureLeases(o)...)
	lines = append(lines,
		measureSeries(Line{
			Name: "ledger: tick of the owned replicas", SizeUnit: "owned replicas", CostUnit: "µs", DesignSize: designReplicas / designNodes,
			Budget: Processor, BudgetFactor: ticksPerSec / 1e3, Explanation: "10 ticks/s", IsPart: true,
		}, o.sizes(6, 12, 24, 48), func(n int) float64 { return ledgerTickCost(o, n) }),
		measureSeries(Line{
			Name: "table: snapshot adopted", SizeUnit: "rows", CostUnit: "µs", DesignSize: designModels + designAdapters,
			Budget: Processor, BudgetFactor: designEditsPerDay / 86400.0 / 1e3, Explanation: "8,200 edits a day, not decoded", IsPart: true,
		}, o.sizes(220, 440, 880, 1760), func(n int) float64 { return tableAdoptionCost(o, n) }),
		measureSeries(Line{
			Name: "quarantine: tick", SizeUnit: "suspects", CostUnit: "µs", DesignSize: 100,
			Budget: Processor, BudgetFactor: ticksPerSec / 1e3, Explanation: "10 ticks/s, 100 suspects assumed", IsPart: true,
		}, o.sizes(25, 50, 100, 200), func(n int) float64 { return quarantineTickCost(o, n) }),
		measureSeries(Line{
			Name: "burn: count of a request", SizeUnit: "rows", CostUnit: "µs", DesignSize: designModels,
			Budget: RequestTime, BudgetFactor: 1, Explanation: "1 per request",
		}, o.sizes(55, 110, 220, 440), func(n int) float64 { return burnCountCost(o, n) }),
	)
	return lines, nil
}

// populatedMembership returns the membership of a node of the first data centre
// that has received a heartbeat of each node in its data centre and summaries of
// all other data centres.
func populatedMembership(s *syntheticFleet, self int, now time.Time) *membership.State {
	// With these intervals every tick sends, although virtual time advances by
	// only a microsecond.
	m := membership.New(membership.Config{Self: s.instance(self), HeartbeatInterval: 1, SummaryInterval: 2 * time.Microsecond}, now)
	m.Step(now, membership.ListingRead{Instances: s.listing().Instances})
	peers := s.dataCentrePeers(self)
	for _, node := range peers {
		m.Step(now, membership.HeartbeatReceived{Heartbeat: s.heartbeat(node, 1)})
	}
	if len(peers) > 0 {
		h := s.heartbeat(peers[0], 2)
		h.Summaries = s.remoteSummaries(1)
		m.Step(now, membership.HeartbeatReceived{Heartbeat: h})
	}
	return m
}

func heartbeatCost(o Options, nodes int, summaries bool) float64 {
	s := scaledFleet(nodes, designModels)
	m := populatedMembership(s, 0, epoch)
	peers := s.dataCentrePeers(0)
	heartbeats := make([]membership.Heartbeat, len(peers))
	for i, node := range peers {
		heartbeats[i] = s.heartbeat(node, 0)
	}
	remote := s.remoteSummaries(0)
	return o.callMicros(func(n int) {
		h := heartbeats[n%len(heartbeats)]
		h.Sequence = uint64(n + 3)
		if summaries {
			h.Summaries = remote
			for i := range remote {
				remote[i].Sequence = uint64(n + 3)
			}
		}
		m.Step(epoch, membership.HeartbeatReceived{Heartbeat: h})
	})
}

// membershipTickCost returns the microseconds of a tick that sends heartbeats. The
// parameter relay selects whether the measured instance is a relay.
func membershipTickCost(o Options, nodes int, relay bool) float64 {
	s := scaledFleet(nodes, designModels)
	self := 0
	m := populatedMembership(s, self, epoch)
	for m.IsRelay() != relay && self+s.dataCentres < nodes {
		self += s.dataCentres
		m = populatedMembership(s, self, epoch)
	}
	own := s.heartbeat(self, 0)
	now := epoch
	return o.callMicros(func(int) {
		now = now.Add(time.Microsecond)
		m.Step(now, membership.Tick{Own: own})
	})
}

func ledgerTickCost(o Options, replicas int) float64 {
	s := newSyntheticFleet(1, replicas, designModels)
	now := epoch
	ledgers := make([]*ledger.Replica, replicas)
	for i := range ledgers {
		ledgers[i] = steadyLedger(s, i, now)
	}
	return o.callMicros(func(int) {
		now = now.Add(time.Millisecond)
		for i, l := range ledgers {
			l.Step(now, ledger.LeaseRenewed{Until: now.Add(time.Minute)})
			executeActions(s, l, i, now, l.Step(now, ledger.Tick{}))
		}
	})
}

// steadyLedger returns a ledger whose lease this node holds and whose entries match
// its target.
func steadyLedger(s *syntheticFleet, replica int, now time.Time) *ledger.Replica {
	l := ledger.NewReplica(ledger.Settings{Replica: replicaID(replica), CapacityMB: replicaMemoryMB, ChecksTokens: true})
	self := ledger.Sender{Instance: "entry-0", Incarnation: 1, Epoch: 2}
	var target []ledger.Item
	for _, e := range s.ledgerEntries(replica) {
		target = append(target, ledger.Item{Name: e.Name, Base: e.Base, Version: e.Version, MemoryMB: e.MemoryMB})
	}
	for _, ev := range []ledger.Event{
		ledger.LeaseAcquired{Record: s.ledgerRecord(replica), Version: 1, Self: self, Until: now.Add(time.Hour)}, ledger.TargetChanged{Target: target}, ledger.Tick{},
	} {
		executeActions(s, l, replica, now, l.Step(now, ev))
	}
	return l
}

// executeActions stands in for the engine and the store until the ledger returns
// no more actions.
func executeActions(s *syntheticFleet, l *ledger.Replica, replica int, now time.Time, actions []ledger.Action) {
	for len(actions) > 0 {
		a := actions[0]
		actions = actions[1:]
		switch a := a.(type) {
		case ledger.Persist:
			ev := ledger.Persisted{Write: a.Record.Write, Epoch: a.Record.Holder.Epoch, Version: a.Expected + 1}
			actions = append(actions, l.Step(now, ev)...)
		case ledger.ReadState:
			ev := ledger.StateRead{ReadID: a.ID, State: engineState(s, replica)}
			actions = append(actions, l.Step(now, ev)...)
		}
	}
}

func tableAdoptionCost(o Options, rows int) float64 {
	all := newSyntheticFleet(1, 1, max(1, rows/(1+adaptersOnModel))).rows()
	var r table.LocalCopy
	return o.callMicros(func(n int) { r.Adopt(table.NewSnapshot(uint64(n+1), all)) })
}

func quarantineTickCost(o Options, suspects int) float64 {
	q := quarantine.New(quarantine.Config{Self: "entry-0", Incarnation: 1})
	q.Step(epoch, quarantine.MembersChanged{Alive: map[fleet.InstanceID]fleet.Incarnation{"entry-0": 1}})
	for i := range suspects {
		q.Step(epoch, quarantine.NoticesReceived{From: "entry-1", Notices: []quarantine.Notice{{
			Fingerprint: quarantine.Fingerprint(i + 1), LastUsed: epoch,
			Losses: []quarantine.Loss{{Endpoint: replicaID(i), BootID: "boot-1"}},
		}}})
	}
	now := epoch
	return o.callMicros(func(int) {
		now = now.Add(time.Millisecond)
		q.Step(now, quarantine.Tick{})
	})
}

func burnCountCost(o Options, rows int) float64 {
	s := burn.NewState(burn.Source{}, time.Hour, epoch)
	names := make([]string, rows)
	for i := range names {
		names[i] = modelName(i)
	}
	return o.callMicros(func(n int) {
		s.Step(epoch, burn.Ended{Sample: burn.Sample{Row: names[n%rows], Rank: fleet.Rank(n % 3), Duration: time.Second}})
	})
}
