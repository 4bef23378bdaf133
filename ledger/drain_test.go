package ledger

import (
	"testing"
	"time"

	"github.com/hyssophaven/hyssophaven/engine"
	"github.com/matryer/is"
)

// Guards against an unload while instances still send requests, or while
// requests run, however long they take.
func TestUnloadWaitsForDrain(t *testing.T) {
	is := is.New(t)
	w := loaded(true, true)
	r := w.current()
	r.set.DrainNotice, r.set.DrainDeadline = tick, tick
	is.True(w.pick("request starts on b"))
	w.retarget(targetAC...)
	is.Equal(r.find(Key{"b", "1"}).State, Draining)
	is.True(!r.Servable("b"))
	w.pass(4)
	is.Equal(r.find(Key{"b", "1"}).State, Draining)
	is.True(r.Entries()[1].Postponed > 0) // the deadline only postpones
	is.True(w.pick("request ends on b"))
	w.settle()
	is.True(r.Servable("c"))
	is.Equal(w.bad, "")

	w.retarget(targetAB...) // without requests, the notice still has to pass
	is.Equal(r.find(Key{"c", "1"}).State, Draining)
	w.pass(1)
	is.True(r.Servable("b"))
}

// Guards against a model that stays out of service although its removal was
// taken back before an unload order.
func TestDrainIsTakenBack(t *testing.T) {
	is := is.New(t)
	w := loaded(false, false)
	w.current().set.DrainNotice = tick
	w.retarget(targetAC...)
	is.True(!w.current().Servable("b"))
	w.retarget(targetAB...)
	is.True(w.current().Servable("b"))
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

// Guards against an adapter that instances load before its reservation is
// committed, and against a late load of a retired adapter.
func TestAdapterIsReservedAheadOfUse(t *testing.T) {
	is := is.New(t)
	w := loaded(true, true, func(c *config) { c.targets = [][]Item{adapterTargets("x")} })
	r := w.current()
	is.True(loadable(r.View(), "x"))
	r.Step(w.time(), Want{Target: adapterTargets("x", "y")})
	is.Equal(r.Counted(), 80)
	is.True(!loadable(r.View(), "y")) // the commit is on the way
	late := engine.Order{ID: "i1", Token: r.View().Token, Kind: engine.LoadAdapter, Name: "x", Base: "a", Version: "1", MemoryMB: 20}
	is.True(w.execute(late).Accepted)
	w = loaded(true, true, func(c *config) { c.targets = [][]Item{adapterTargets("x", "y")} })
	late.Token = w.current().View().Token
	w.retarget(adapterTargets("y", "z")...)
	is.True(loadable(w.current().View(), "z"))
	is.True(!w.execute(late).Accepted) // fenced by the unload of x
	is.Equal(w.bad, "")
}

// Guards against adapters that instances load on an engine that ignores
// tokens, where only the owner may.
func TestOwnerLoadsAdaptersWithoutTokens(t *testing.T) {
	is := is.New(t)
	w := loaded(false, false, func(c *config) { c.targets = [][]Item{adapterTargets("x")} })
	is.True(w.current().Servable("x"))
	is.True(!loadable(w.current().View(), "x"))
	w.retarget() // the base leaves after its adapter
	w.pass(netDelay + 1)
	is.Equal(w.current().Counted(), 0)
	is.Equal(w.bad, "")
}

// Guards against a record that lost its lease race and is written all the
// same, and against a lost store answer that is taken for a failure.
func TestUnknownCommitIsReadBack(t *testing.T) {
	is := is.New(t)
	r := NewReplica(Settings{CapacityMB: capacity})
	acts := r.Step(start, Adopt{Self: self(0, 1), Until: start.Add(time.Hour)})
	r.Step(start, Want{Target: targetAB})
	acts = r.Step(start, Observed{Query: acts[0].(Query).ID, State: engine.State{BootID: "b"}})
	p := acts[0].(Persist)
	acts = r.Step(start, PersistUnknown{Write: 1, Epoch: 1})
	is.Equal(acts, []Action{ReadRecord{}})
	mine := r.Step(start, RecordRead{Record: p.Record, Version: 1})
	_, sent := mine[0].(Send)
	is.True(sent || p.Record.Entries[0].State == Reserved)

	r = NewReplica(Settings{CapacityMB: capacity})
	acts = r.Step(start, Adopt{Self: self(0, 1), Until: start.Add(time.Hour)})
	r.Step(start, Want{Target: targetAB})
	r.Step(start, Observed{Query: acts[0].(Query).ID, State: engine.State{BootID: "b"}})
	r.Step(start, PersistConflict{Write: 1, Epoch: 1})
	is.Equal(len(r.Step(start, RecordRead{Record: Record{Holder: self(1, 2)}, Version: 5})), 0)
	is.True(!r.Holding()) // another holder has written
}
