package capacity

import (
	"time"

	"github.com/hyssophaven/hyssophaven/engine"
	"github.com/hyssophaven/hyssophaven/fleet"
	"github.com/hyssophaven/hyssophaven/lease"
	"github.com/hyssophaven/hyssophaven/rendezvous"
)

func engineState(s *syntheticFleet, replica int) engine.State {
	st := engine.State{BootID: "boot-1", HighestToken: fleet.Token{Epoch: 1, Sequence: 9}, MemoryMB: replicaMemoryMB}
	for _, e := range s.ledgerEntries(replica) {
		st.UsedMB += e.MemoryMB
		st.Residents = append(st.Residents, engine.Resident{Name: e.Name, Base: e.Base, Version: e.Version, MemoryMB: e.MemoryMB, Ready: true})
	}
	return st
}

// leaseFleet runs the lease states of many instances against one simulated store.
type leaseFleet struct {
	states       []*lease.State
	records      map[lease.Shard]lease.VersionedRecord
	recordsRead  int // records read from the store
	transactions int // transactions of the store, refused ones included
	conflicts    int // transactions refused because of a conflict
	duration     time.Duration
	tickTime     time.Duration // processor time of all ticks
	ticks        int
}

func newLeaseFleet(nodes, shards int) *leaseFleet {
	f := &leaseFleet{records: make(map[lease.Shard]lease.VersionedRecord)}
	names := make([]string, nodes)
	for i := range names {
		names[i] = indexedName("entry", i)
		f.states = append(f.states, lease.New(lease.Config{Self: fleet.InstanceID(names[i]), Incarnation: 1, Seed: uint64(i)}))
	}
	f.assignShards(epoch, names, shards)
	return f
}

// assignShards sets the preferred owners of all shards by rendezvous hashing over
// the names in alive.
func (f *leaseFleet) assignShards(now time.Time, alive []string, shards int) {
	set := rendezvous.NewSet(alive)
	preferences := make([]lease.Preference, shards)
	for i := range preferences {
		shard := indexedName("shard/", i)
		preferences[i] = lease.Preference{Shard: lease.Shard(shard), Owner: fleet.InstanceID(set.First("owner/" + shard))}
	}
	for _, s := range f.states {
		f.execute(now, s, s.Step(now, lease.PreferencesChanged{Preferences: preferences}))
	}
}

// execute performs the actions of a state, in place of the store and of the
// service that closes orders before a hand-over.
func (f *leaseFleet) execute(now time.Time, s *lease.State, actions []lease.Action) {
	for len(actions) > 0 {
		a := actions[0]
		actions = actions[1:]
		switch a := a.(type) {
		case lease.Read:
			f.recordsRead += len(a.Shards)
			result := lease.ReadResult{ID: a.ID, OK: true}
			for _, shard := range a.Shards {
				if r, ok := f.records[shard]; ok {
					result.Records = append(result.Records, r)
				}
			}
			actions = append(actions, s.Step(now, result)...)
		case lease.Commit:
			actions = append(actions, s.Step(now, f.commit(a))...)
		case lease.HandOver:
			actions = append(actions, s.Step(now, lease.OrdersClosed(a))...)
		}
	}
}

func (f *leaseFleet) commit(a lease.Commit) lease.CommitResult {
	f.transactions++
	for _, w := range a.Writes {
		if f.records[w.Shard].Version != w.IfVersion {
			f.conflicts++
			return lease.CommitResult{ID: a.ID, Outcome: lease.Conflict}
		}
	}
	result := lease.CommitResult{ID: a.ID, Outcome: lease.Applied}
	for _, w := range a.Writes {
		v := lease.VersionedRecord{Shard: w.Shard, Record: w.Record, Version: w.IfVersion + 1}
		f.records[w.Shard] = v
		result.Versions = append(result.Versions, v.Version)
	}
	return result
}

// advance resets the counters and ticks all states for d of virtual time from
// start, in steps of half a second. The daemon ticks more often, which changes
// the cost of a tick but not the number of calls per second.
func (f *leaseFleet) advance(start time.Time, d time.Duration) {
	f.recordsRead, f.transactions, f.conflicts, f.duration, f.tickTime, f.ticks = 0, 0, 0, d, 0, 0
	const step = time.Second / 2
	for at := time.Duration(0); at < d; at += step {
		now := start.Add(at)
		before := processorTime()
		for _, s := range f.states {
			f.ticks++
			f.execute(now, s, s.Step(now, lease.Tick{}))
		}
		f.tickTime += processorTime() - before
	}
}

// measureLeases runs the leases of a whole fleet in virtual time: the start, a
// steady phase, and the loss of one data centre's share of the nodes.
func measureLeases(o Options) []Line {
	cost := Line{
		Name: "lease: tick", SizeUnit: "nodes", CostUnit: "µs", DesignSize: designNodes,
		Budget: Processor, BudgetFactor: ticksPerSec / 1e3, Explanation: "10 ticks/s", IsPart: true,
	}
	reads := Line{Name: "lease: records read, steady", SizeUnit: "nodes", CostUnit: "1/s", DesignSize: designNodes, Budget: StoreReads, BudgetFactor: 1, Explanation: "all nodes"}
	writes := Line{Name: "lease: transactions, steady", SizeUnit: "nodes", CostUnit: "1/s", DesignSize: designNodes, Budget: StoreWrites, BudgetFactor: 1, Explanation: "all nodes"}
	readsAfterLoss := Line{Name: "lease: records read while a data centre is lost", SizeUnit: "nodes", CostUnit: "1/s", DesignSize: designNodes, Explanation: "all nodes, 30 s after the loss of a twelfth of them"}
	const startPhase, steadyPhase = 12 * time.Second, 12 * time.Second
	for _, n := range o.sizes(52, 105, 210, 420) {
		f := newLeaseFleet(n, designShards)
		f.advance(epoch, startPhase)
		f.advance(epoch.Add(startPhase), steadyPhase)
		size := float64(n)
		cost.Samples = append(cost.Samples, Sample{size, float64(f.tickTime.Nanoseconds()) / 1e3 / float64(f.ticks)})
		reads.Samples = append(reads.Samples, Sample{size, float64(f.recordsRead) / steadyPhase.Seconds()})
		writes.Samples = append(writes.Samples, Sample{size, float64(f.transactions) / steadyPhase.Seconds()})
		f.states = f.states[n/designDataCentres:]
		var alive []string
		for i := n / designDataCentres; i < n; i++ {
			alive = append(alive, indexedName("entry", i))
		}
		now := epoch.Add(startPhase + steadyPhase)
		f.assignShards(now, alive, designShards)
		f.advance(now, 30*time.Second)
		readsAfterLoss.Samples = append(readsAfterLoss.Samples, Sample{size, float64(f.recordsRead) / 30})
	}
	return []Line{cost, reads, writes, readsAfterLoss}
}
