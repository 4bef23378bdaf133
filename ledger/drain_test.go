package ledger

import (
	"testing"
	"time"

	"github.com/hyssophaven/hyssophaven/engine"
	"github.com/matryer/is"
)

// Guards against an unload order before the drain notice has passed, or while
// requests run, even past the drain deadline.
func TestUnloadWaitsForDrain(t *testing.T) {
	is := is.New(t)
	w := newLoadedSimulation(true, true)
	r := w.holderReplica()
	r.settings.DrainNotice, r.settings.DrainDeadline = tick, tick
	is.True(w.performChoice("request starts on b"))
	w.setTarget(targetAC...)
	is.Equal(r.findEntry(Key{"b", "1"}).State, Draining)
	is.True(!r.Servable("b"))
	w.advanceTicks(4)
	is.Equal(r.findEntry(Key{"b", "1"}).State, Draining)
	is.True(r.Entries()[1].DrainOverruns > 0) // the deadline is reported and forces no unload
	is.True(w.performChoice("request ends on b"))
	w.runUntilIdle()
	is.True(r.Servable("c"))
	is.Equal(w.violation, "")

	w.setTarget(targetAB...) // the drain notice must pass even without requests
	is.Equal(r.findEntry(Key{"c", "1"}).State, Draining)
	w.advanceTicks(1)
	is.True(r.Servable("b"))
}

// Guards against a model that stays out of service after its removal was
// cancelled before an unload order was sent.
func TestDrainIsCancelled(t *testing.T) {
	is := is.New(t)
	w := newLoadedSimulation(false, false)
	w.holderReplica().settings.DrainNotice = tick
	w.setTarget(targetAC...)
	is.True(!w.holderReplica().Servable("b"))
	w.setTarget(targetAB...)
	is.True(w.holderReplica().Servable("b"))
}

func adapterTargets(names ...string) []Item {
	out := []Item{model("a")}
	for _, n := range names {
		out = append(out, Item{Name: n, Base: "a", Version: "1", MemoryMB: 20})
	}
	return out
}

func loadable(v View, name string) bool {
	for _, e := range v.Entries {
		if e.Name == name && e.Loadable {
			return true
		}
	}
	return false
}

// Guards against an adapter that is loadable before its reservation is committed,
// and against a late load order of an adapter that was removed.
func TestAdapterIsLoadableOnlyAfterReservation(t *testing.T) {
	is := is.New(t)
	w := newLoadedSimulation(true, true, func(c *config) { c.targets = [][]Item{adapterTargets("x")} })
	r := w.holderReplica()
	is.True(loadable(r.View(), "x"))
	r.Step(w.time(), TargetChanged{Target: adapterTargets("x", "y")})
	is.Equal(r.CountedMB(), 80)
	is.True(!loadable(r.View(), "y")) // not committed yet
	late := engine.Order{ID: "i1", Token: r.View().Token, Kind: engine.LoadAdapter, Name: "x", Base: "a", Version: "1", MemoryMB: 20}
	is.True(w.executeOrder(late).Accepted)
	w = newLoadedSimulation(true, true, func(c *config) { c.targets = [][]Item{adapterTargets("x", "y")} })
	late.Token = w.holderReplica().View().Token
	w.setTarget(adapterTargets("y", "z")...)
	is.True(loadable(w.holderReplica().View(), "z"))
	is.True(!w.executeOrder(late).Accepted) // fenced by the unload of x
	is.Equal(w.violation, "")
}

// Guards against loadable adapters on an engine that ignores tokens, where only
// the lease holder can load adapters.
func TestOwnerLoadsAdaptersWithoutTokens(t *testing.T) {
	is := is.New(t)
	w := newLoadedSimulation(false, false, func(c *config) { c.targets = [][]Item{adapterTargets("x")} })
	is.True(w.holderReplica().Servable("x"))
	is.True(!loadable(w.holderReplica().View(), "x"))
	w.setTarget() // the base is unloaded after its adapter
	w.advanceTicks(networkDelayTicks + 1)
	is.Equal(w.holderReplica().CountedMB(), 0)
	is.Equal(w.violation, "")
}

// Guards against a lost store answer that is treated as a failed write, and
// against a holder that continues after another holder wrote the record.
func TestUnknownCommitIsReadBack(t *testing.T) {
	is := is.New(t)
	r := NewReplica(Settings{CapacityMB: capacityMB})
	acts := r.Step(startTime, LeaseAcquired{Self: ownerSender(0, 1), Until: startTime.Add(time.Hour)})
	r.Step(startTime, TargetChanged{Target: targetAB})
	acts = r.Step(startTime, StateRead{ReadID: acts[0].(ReadState).ID, State: engine.State{BootID: "b"}})
	p := acts[0].(Persist)
	acts = r.Step(startTime, PersistUnknown{Write: 1, Epoch: 1})
	is.Equal(acts, []Action{ReadRecord{}})
	mine := r.Step(startTime, RecordRead{Record: p.Record, Version: 1})
	_, sent := mine[0].(EngineOrder)
	is.True(sent || p.Record.Entries[0].State == Reserved)

	r = NewReplica(Settings{CapacityMB: capacityMB})
	acts = r.Step(startTime, LeaseAcquired{Self: ownerSender(0, 1), Until: startTime.Add(time.Hour)})
	r.Step(startTime, TargetChanged{Target: targetAB})
	r.Step(startTime, StateRead{ReadID: acts[0].(ReadState).ID, State: engine.State{BootID: "b"}})
	r.Step(startTime, PersistConflict{Write: 1, Epoch: 1})
	is.Equal(len(r.Step(startTime, RecordRead{Record: Record{Holder: ownerSender(1, 2)}, Version: 5})), 0)
	is.True(!r.HoldsLease()) // another holder wrote the record
}
