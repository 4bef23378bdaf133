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

// measureDecisions measures the decision packages of the control state.
func measureDecisions(_ context.Context, o Options) ([]Line, error) {
	nodes := o.sizes(52, 105, 210, 420)
	lines := []Line{
		series(Line{
			Name: "membership: heartbeat of a mate", Varied: "nodes", Unit: "µs", Full: fullNodes,
			Budget: Processor, Rate: heartbeatsPerSec * (perDataCentre - 1) / 1e3, Why: "34 mates, 2/s each", Part: true,
		}, nodes, func(n int) float64 { return heartbeatCost(o, n, false) }),
		series(Line{
			Name: "membership: heartbeat of a relay with summaries", Varied: "nodes", Unit: "µs", Full: fullNodes,
			Budget: Processor, Rate: 1.0 / 1e3, Why: "1 summary/s", Part: true,
		}, nodes, func(n int) float64 { return heartbeatCost(o, n, true) }),
		series(Line{
			Name: "membership: tick of an instance that is no relay", Varied: "nodes", Unit: "µs", Full: fullNodes,
			Budget: Processor, Rate: heartbeatsPerSec / 1e3, Why: "2 ticks/s", Part: true,
		}, nodes, func(n int) float64 { return membershipTick(o, n, false) }),
		series(Line{
			Name: "membership: tick of a relay", Varied: "nodes", Unit: "µs", Full: fullNodes,
			Why: "2 ticks/s on 2 of 35 instances",
		}, nodes, func(n int) float64 { return membershipTick(o, n, true) }),
	}
	lines = append(lines, measureLeases(o)...)
	lines = append(lines,
		series(Line{
			Name: "ledger: tick of the owned replicas", Varied: "owned replicas", Unit: "µs", Full: fullReplicas / fullNodes,
			Budget: Processor, Rate: ticksPerSec / 1e3, Why: "10 ticks/s", Part: true,
		}, o.sizes(6, 12, 24, 48), func(n int) float64 { return ledgerTick(o, n) }),
		series(Line{
			Name: "table: snapshot adopted", Varied: "rows", Unit: "µs", Full: fullModels + fullAdapters,
			Budget: Processor, Rate: fullEdits / 86400.0 / 1e3, Why: "8,200 edits a day, not decoded", Part: true,
		}, o.sizes(220, 440, 880, 1760), func(n int) float64 { return tableAdoption(o, n) }),
		series(Line{
			Name: "quarantine: tick", Varied: "suspects", Unit: "µs", Full: 100,
			Budget: Processor, Rate: ticksPerSec / 1e3, Why: "10 ticks/s, 100 suspects assumed", Part: true,
		}, o.sizes(25, 50, 100, 200), func(n int) float64 { return quarantineTick(o, n) }),
		series(Line{
			Name: "burn: count of a request", Varied: "rows", Unit: "µs", Full: fullModels,
			Budget: RequestTime, Rate: 1, Why: "1 per request",
		}, o.sizes(55, 110, 220, 440), func(n int) float64 { return burnCount(o, n) }),
	)
	return lines, nil
}

// populated returns the membership of a node of the first data centre after
// it heard of all others.
func populated(s *synthetic, self int, now time.Time) *membership.State {
	// With periods that short every tick sends, and time hardly moves.
	m := membership.New(membership.Config{Self: s.instance(self), HeartbeatInterval: 1, SummaryInterval: 2 * time.Microsecond}, now)
	m.Step(now, membership.ListingRead{Instances: s.listing().Instances})
	mates := s.mates(self)
	for _, node := range mates {
		m.Step(now, membership.HeartbeatReceived{Heartbeat: s.heartbeat(node, 1)})
	}
	if len(mates) > 0 {
		h := s.heartbeat(mates[0], 2)
		h.Summaries = s.foreign(1)
		m.Step(now, membership.HeartbeatReceived{Heartbeat: h})
	}
	return m
}

func heartbeatCost(o Options, nodes int, summaries bool) float64 {
	s := scaled(nodes, fullModels)
	m := populated(s, 0, epoch)
	mates := s.mates(0)
	heartbeats := make([]membership.Heartbeat, len(mates))
	for i, node := range mates {
		heartbeats[i] = s.heartbeat(node, 0)
	}
	foreign := s.foreign(0)
	return o.microseconds(func(n int) {
		h := heartbeats[n%len(heartbeats)]
		h.Sequence = uint64(n + 3)
		if summaries {
			h.Summaries = foreign
			for i := range foreign {
				foreign[i].Sequence = uint64(n + 3)
			}
		}
		m.Step(epoch, membership.HeartbeatReceived{Heartbeat: h})
	})
}

// membershipTick measures a tick that sends, on an instance that is a relay or not.
func membershipTick(o Options, nodes int, relay bool) float64 {
	s := scaled(nodes, fullModels)
	self := 0
	m := populated(s, self, epoch)
	for m.IsRelay() != relay && self+s.dataCentres < nodes {
		self += s.dataCentres
		m = populated(s, self, epoch)
	}
	own := s.heartbeat(self, 0)
	now := epoch
	return o.microseconds(func(int) {
		now = now.Add(time.Microsecond)
		m.Step(now, membership.Tick{Own: own})
	})
}

func ledgerTick(o Options, replicas int) float64 {
	s := newSynthetic(1, replicas, fullModels)
	now := epoch
	ledgers := make([]*ledger.Replica, replicas)
	for i := range ledgers {
		ledgers[i] = steadyLedger(s, i, now)
	}
	return o.microseconds(func(int) {
		now = now.Add(time.Millisecond)
		for i, l := range ledgers {
			l.Step(now, ledger.LeaseRenewed{Until: now.Add(time.Minute)})
			answer(s, l, i, now, l.Step(now, ledger.Tick{}))
		}
	})
}

// steadyLedger returns an owned ledger that holds what it should.
func steadyLedger(s *synthetic, replica int, now time.Time) *ledger.Replica {
	l := ledger.NewReplica(ledger.Settings{Replica: replicaID(replica), CapacityMB: replicaMemoryMB, ChecksTokens: true})
	self := ledger.Sender{Instance: "entry-0", Incarnation: 1, Epoch: 2}
	var target []ledger.Item
	for _, e := range s.held(replica) {
		target = append(target, ledger.Item{Name: e.Name, Base: e.Base, Version: e.Version, MemoryMB: e.MemoryMB})
	}
	for _, ev := range []ledger.Event{
		ledger.LeaseAcquired{Record: s.record(replica), Version: 1, Self: self, Until: now.Add(time.Hour)}, ledger.TargetChanged{Target: target}, ledger.Tick{},
	} {
		answer(s, l, replica, now, l.Step(now, ev))
	}
	return l
}

// answer plays the engine and the store until the ledger asks for nothing.
func answer(s *synthetic, l *ledger.Replica, replica int, now time.Time, actions []ledger.Action) {
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

func tableAdoption(o Options, rows int) float64 {
	all := newSynthetic(1, 1, max(1, rows/(1+adaptersOnModel))).rows()
	var r table.LocalCopy
	return o.microseconds(func(n int) { r.Adopt(table.NewSnapshot(uint64(n+1), all)) })
}

func quarantineTick(o Options, suspects int) float64 {
	q := quarantine.New(quarantine.Config{Self: "entry-0", Incarnation: 1})
	q.Step(epoch, quarantine.MembersChanged{Alive: map[fleet.InstanceID]fleet.Incarnation{"entry-0": 1}})
	for i := range suspects {
		q.Step(epoch, quarantine.NoticesReceived{From: "entry-1", Notices: []quarantine.Notice{{
			Fingerprint: quarantine.Fingerprint(i + 1), LastUsed: epoch,
			Losses: []quarantine.Loss{{Endpoint: replicaID(i), BootID: "boot-1"}},
		}}})
	}
	now := epoch
	return o.microseconds(func(int) {
		now = now.Add(time.Millisecond)
		q.Step(now, quarantine.Tick{})
	})
}

func burnCount(o Options, rows int) float64 {
	s := burn.NewState(burn.Source{}, time.Hour, epoch)
	names := make([]string, rows)
	for i := range names {
		names[i] = modelName(i)
	}
	return o.microseconds(func(n int) {
		s.Step(epoch, burn.Ended{Sample: burn.Sample{Row: names[n%rows], Rank: fleet.Rank(n % 3), Duration: time.Second}})
	})
}
