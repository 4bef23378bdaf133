package capacity

import (
	"time"

	"github.com/hyssophaven/hyssophaven/engine"
	"github.com/hyssophaven/hyssophaven/fleet"
	"github.com/hyssophaven/hyssophaven/lease"
	"github.com/hyssophaven/hyssophaven/rendezvous"
)

func engineState(s *synthetic, replica int) engine.State {
	st := engine.State{BootID: "boot-1", HighestToken: fleet.Token{Epoch: 1, Sequence: 9}, MemoryMB: replicaMemoryMB}
	for _, e := range s.held(replica) {
		st.UsedMB += e.MemoryMB
		st.Residents = append(st.Residents, engine.Resident{Name: e.Name, Base: e.Base, Version: e.Version, MemoryMB: e.MemoryMB, Ready: true})
	}
	return st
}

// leaseFleet runs the lease state of many instances on one virtual store.
type leaseFleet struct {
	states   []*lease.State
	records  map[lease.Shard]lease.VersionedRecord
	reads    int // records
	writes   int // transactions
	refused  int // transactions with a conflict
	duration time.Duration
	used     time.Duration // processor time of the ticks
	ticks    int
}

func newLeaseFleet(nodes, shards int) *leaseFleet {
	f := &leaseFleet{records: make(map[lease.Shard]lease.VersionedRecord)}
	names := make([]string, nodes)
	for i := range names {
		names[i] = name("entry", i)
		f.states = append(f.states, lease.New(lease.Config{Self: fleet.InstanceID(names[i]), Incarnation: 1, Seed: uint64(i)}))
	}
	f.prefer(epoch, names, shards)
	return f
}

// prefer spreads the shards over the named instances.
func (f *leaseFleet) prefer(now time.Time, alive []string, shards int) {
	set := rendezvous.NewSet(alive)
	preferences := make([]lease.Preference, shards)
	for i := range preferences {
		shard := name("shard/", i)
		preferences[i] = lease.Preference{Shard: lease.Shard(shard), Owner: fleet.InstanceID(set.First("owner/" + shard))}
	}
	for _, s := range f.states {
		f.do(now, s, s.Step(now, lease.PreferencesChanged{Preferences: preferences}))
	}
}

// do plays the store and the owner.
func (f *leaseFleet) do(now time.Time, s *lease.State, actions []lease.Action) {
	for len(actions) > 0 {
		a := actions[0]
		actions = actions[1:]
		switch a := a.(type) {
		case lease.Read:
			f.reads += len(a.Shards)
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
	f.writes++
	for _, w := range a.Writes {
		if f.records[w.Shard].Version != w.IfVersion {
			f.refused++
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

// run lets time pass from start for d, in steps of half a second. The daemon's
// are shorter, which changes the cost of a tick but not of a second's calls.
func (f *leaseFleet) run(start time.Time, d time.Duration) {
	f.reads, f.writes, f.refused, f.duration, f.used, f.ticks = 0, 0, 0, d, 0, 0
	const step = time.Second / 2
	for at := time.Duration(0); at < d; at += step {
		now := start.Add(at)
		before := processorTime()
		for _, s := range f.states {
			f.ticks++
			f.do(now, s, s.Step(now, lease.Tick{}))
		}
		f.used += processorTime() - before
	}
}

// measureLeases runs the leases of a whole fleet under virtual time: first
// the start, then a steady half minute, then the loss of a tenth of the nodes.
func measureLeases(o Options) []Line {
	cost := Line{
		Name: "lease: tick", Varied: "nodes", Unit: "µs", Full: fullNodes,
		Budget: Processor, Rate: ticksPerSec / 1e3, Why: "10 ticks/s", Part: true,
	}
	reads := Line{Name: "lease: records read, steady", Varied: "nodes", Unit: "1/s", Full: fullNodes, Budget: StoreReads, Rate: 1, Why: "all nodes"}
	writes := Line{Name: "lease: transactions, steady", Varied: "nodes", Unit: "1/s", Full: fullNodes, Budget: StoreWrites, Rate: 1, Why: "all nodes"}
	lost := Line{Name: "lease: records read while a data centre is lost", Varied: "nodes", Unit: "1/s", Full: fullNodes, Why: "all nodes, 30 s after the loss of a twelfth of them"}
	const settle, steady = 12 * time.Second, 12 * time.Second
	for _, n := range o.sizes(52, 105, 210, 420) {
		f := newLeaseFleet(n, fullShards)
		f.run(epoch, settle)
		f.run(epoch.Add(settle), steady)
		at := float64(n)
		cost.Samples = append(cost.Samples, Sample{at, float64(f.used.Nanoseconds()) / 1e3 / float64(f.ticks)})
		reads.Samples = append(reads.Samples, Sample{at, float64(f.reads) / steady.Seconds()})
		writes.Samples = append(writes.Samples, Sample{at, float64(f.writes) / steady.Seconds()})
		f.states = f.states[n/fullDataCentres:]
		var alive []string
		for i := n / fullDataCentres; i < n; i++ {
			alive = append(alive, name("entry", i))
		}
		now := epoch.Add(settle + steady)
		f.prefer(now, alive, fullShards)
		f.run(now, 30*time.Second)
		lost.Samples = append(lost.Samples, Sample{at, float64(f.reads) / 30})
	}
	return []Line{cost, reads, writes, lost}
}
