package ledger

import (
	"slices"
	"testing"
	"time"

	"github.com/hyssophaven/hyssophaven/engine"
	"github.com/matryer/is"
)

// performChoice performs the first choice whose name starts with one of the given
// prefixes, and reports whether there was one.
func (w *simulation) performChoice(names ...string) bool {
	for _, ch := range w.choices() {
		for _, n := range names {
			if len(ch.name) >= len(n) && ch.name[:len(n)] == n {
				ch.do(w)
				return true
			}
		}
	}
	return false
}

// runUntilIdle answers the holder's actions at once until its state no longer
// changes. Messages whose answer no owner waits for stay in the network.
func (w *simulation) runUntilIdle() {
	for idleReads := 0; idleReads < 2; { // the first read may have been requested before the last change
		i := w.holder
		if len(w.owners[i].outbox) > 0 {
			a := w.owners[i].outbox[0]
			w.owners[i].outbox = slices.Clone(w.owners[i].outbox[1:])
			switch a := a.(type) {
			case Persist:
				w.commitRecord(i, a, true, true)
			case ReadRecord:
				w.step(i, RecordRead{Record: w.record, Version: w.version})
			case ReadState:
				w.step(i, StateRead{ReadID: a.ID, State: w.engineState()})
				idleReads++
				if !w.onlyPolls(i) {
					idleReads = 0
				}
			case EngineOrder:
				w.step(i, OrderAnswered{ID: a.Order.ID, Result: w.executeOrder(a.Order)})
				w.performChoice("engine releases")
			}
		}
	}
}

// onlyPolls reports whether owner i has nothing left to do but read the engine's
// state.
func (w *simulation) onlyPolls(i int) bool {
	return w.owners[i].r.readGeneration == w.owners[i].r.generation && !slices.ContainsFunc(w.owners[i].outbox, func(a Action) bool {
		_, read := a.(ReadState)
		return !read
	})
}

// advanceTicks advances the time while the holder renews its lease.
func (w *simulation) advanceTicks(ticks int) {
	for range ticks {
		w.performChoice("time passes, renewed true")
		w.runUntilIdle()
	}
}

func (w *simulation) holderReplica() *Replica { return w.owners[w.holder].r }

func (w *simulation) setTarget(items ...Item) {
	w.step(w.holder, TargetChanged{Target: items})
	w.runUntilIdle()
}

// newLoadedSimulation returns a simulation in which the models of the first target
// are loaded, unless setup sets config.startWhen.
func newLoadedSimulation(checks, survive bool, setup ...func(*config)) *simulation {
	c := &config{checksTokens: checks, tokensSurvive: survive, targets: [][]Item{targetAB},
		budget: budget{ticks: 20, takeovers: 5, duplicates: 5, timeouts: 5, lateSends: 5, restarts: 5, requests: 5, instanceLoads: 5}}
	for _, s := range setup {
		s(c)
	}
	w := newSimulation(c)
	if c.startWhen == nil {
		w.runUntilIdle()
	}
	return w
}

// Guards against memory that is reused after an unload while an earlier load order
// of the same model can still arrive.
func TestLateLoadAfterUnload(t *testing.T) {
	is := is.New(t)
	w := newLoadedSimulation(false, false)
	b := w.owners[0].r.findEntry(Key{"b", "1"})
	w.network = []message{{engine.Order{ID: "late", Kind: engine.LoadModel, Name: "b", Version: "1", MemoryMB: modelSizeMB}, w.now + networkDelayTicks, -1}}
	w.setTarget(targetAC...)
	is.Equal(b.State, Settling)                         // the engine no longer holds b
	is.Equal(w.holderReplica().CountedMB(), capacityMB) // but b still counts
	is.True(w.performChoice("order b"))
	w.runUntilIdle()
	is.Equal(w.violation, "")
	w.advanceTicks(networkDelayTicks + 1)
	is.True(w.holderReplica().Servable("c"))
	is.Equal(w.violation, "")
}

// Guards against an unload order that arrives after the model was loaded again and
// aborts its running requests.
func TestLateUnloadAfterReload(t *testing.T) {
	for _, checks := range []bool{true, false} {
		is := is.New(t)
		w := newLoadedSimulation(checks, false)
		w.advanceTicks(networkDelayTicks + 1) // the load orders are closed
		w.step(0, TargetChanged{Target: targetAC})
		for !w.performChoice("owner 0: ledger.EngineOrder b kind 1") {
			is.True(w.performChoice("owner 0: ledger.Persist", "owner 0: ledger.ReadState"))
		}
		is.True(w.performChoice("order b kind 1 {1 3} timed out")) // the order is still in transit
		w.setTarget(targetAB...)
		is.Equal(w.holderReplica().Servable("b"), checks) // only an engine that checks tokens rejects the late order
		if checks {
			is.True(w.performChoice("request starts on b"))
		}
		is.True(w.performChoice("order b kind 1"))
		w.runUntilIdle()
		is.Equal(w.violation, "")
		w.advanceTicks(networkDelayTicks + 1)
		is.True(w.holderReplica().Servable("b"))
	}
}

// Guards against memory that is reused after the engine acknowledged an unload and
// before it released the memory.
func TestAcknowledgedUnloadFreesNothing(t *testing.T) {
	is := is.New(t)
	w := newLoadedSimulation(true, true)
	w.step(0, TargetChanged{Target: targetAC})
	for !w.performChoice("order b kind 1") {
		is.True(w.performChoice("owner 0: ledger"))
	}
	for range 20 {
		w.performChoice("owner 0: ledger")
	}
	is.Equal(w.holderReplica().CountedMB(), capacityMB)
	is.True(w.holderReplica().findEntry(Key{"c", "1"}) == nil)
	is.True(w.performChoice("engine releases b"))
	w.runUntilIdle()
	is.True(w.holderReplica().Servable("c"))
	is.Equal(w.violation, "")
}

// Guards against overcommitted memory on an engine that ignores tokens: the first
// owner pauses before it sends a load order, resumes after its lease has ended and
// sends it, so its successor must not reuse that memory.
func TestPausedHolderOfEngineWithoutTokens(t *testing.T) {
	is := is.New(t)
	w := newLoadedSimulation(false, false, func(c *config) { c.startWhen = secondLoadDecided })
	for !secondLoadDecided(w) {
		is.True(w.performChoice("owner 0", "order"))
	}
	is.True(w.performChoice("time passes, renewed false"))
	is.True(w.performChoice("takeover"))
	w.setTarget(targetAC...)
	w.advanceTicks(3 * networkDelayTicks)
	is.Equal(w.holderReplica().CountedMB(), capacityMB) // the paused holder can still send
	is.True(!w.holderReplica().Servable("c"))
	is.True(w.performChoice("owner 0: ledger.EngineOrder b kind 0 {1 2} late"))
	is.True(w.performChoice("order b kind 0 {1 2} executed"))
	w.step(0, LeaseLost{})
	w.step(1, SenderFinished{ownerSender(0, 1)})
	w.runUntilIdle()
	is.True(!w.holderReplica().Servable("c")) // delayed copies can still arrive
	w.advanceTicks(networkDelayTicks + 1)
	is.True(w.holderReplica().Servable("c"))
	is.Equal(w.violation, "")
}

// Guards against orders that are sent after the lease ended: a commit that arrives
// at the end of the lease must not release its order.
func TestNothingIsSentAfterTheLease(t *testing.T) {
	is := is.New(t)
	r := NewReplica(Settings{CapacityMB: capacityMB})
	until := startTime.Add(15 * time.Second)
	acts := r.Step(startTime, LeaseAcquired{Self: ownerSender(0, 1), Until: until})
	r.Step(startTime, TargetChanged{Target: targetAB})
	r.Step(startTime, StateRead{ReadID: acts[0].(ReadState).ID, State: engine.State{BootID: "b"}})
	is.Equal(len(r.Step(until, Persisted{Write: 1, Epoch: 1, Version: 1})), 0)
	acts = r.Step(until, LeaseRenewed{Until: until.Add(time.Second)})
	is.True(len(acts) > 0)
	is.Equal(len(r.Step(until, LeaseLost{})), 0)
	is.Equal(len(r.Step(until, Tick{})), 0)
}

// Guards against overcommitted memory after an engine restarts empty with orders
// in transit: its models are loaded again with new tokens, and the memory of its
// former residents still counts.
func TestRestartWithOrdersInTransit(t *testing.T) {
	for _, e := range engineKinds {
		is := is.New(t)
		w := newLoadedSimulation(e.checks, e.survive)
		w.network = []message{{engine.Order{ID: "late", Token: w.holderReplica().findEntry(Key{"b", "1"}).LoadToken, Kind: engine.LoadModel, Name: "b", Version: "1", MemoryMB: modelSizeMB}, w.now + networkDelayTicks, -1}}
		w.step(0, TargetChanged{Target: targetAC})
		is.True(w.performChoice("engine restarts"))
		w.runUntilIdle()
		if !e.survive {
			is.True(w.holderReplica().findEntry(Key{"c", "1"}) == nil) // b can still arrive
		}
		is.True(w.performChoice("order b"))
		w.runUntilIdle()
		w.advanceTicks(networkDelayTicks + 1)
		is.True(w.holderReplica().Servable("a"))
		is.True(w.holderReplica().Servable("c"))
		is.Equal(w.violation, "")
	}
}

// Guards against a version change that overcommits memory, and against one that
// removes the old version too early although both versions fit.
func TestVersionChange(t *testing.T) {
	is := is.New(t)
	v := func(version string, size int) Item { return Item{Name: "a", Version: version, MemoryMB: size} }
	w := newLoadedSimulation(true, true, func(c *config) { c.targets = [][]Item{{v("1", 40)}} })
	w.step(0, TargetChanged{Target: []Item{v("2", 40)}})
	for !w.performChoice("owner 0: ledger.EngineOrder a kind 0") {
		is.True(w.holderReplica().Servable("a")) // the old version serves until the new one is ready
		is.True(w.performChoice("owner 0: ledger"))
	}
	is.True(w.holderReplica().Servable("a"))
	is.Equal(w.holderReplica().CountedMB(), 80)
	w.performChoice("order a")
	w.runUntilIdle()
	is.Equal(len(w.holderReplica().Entries()), 1)

	w.step(0, TargetChanged{Target: []Item{v("3", 60)}})
	is.Equal(w.holderReplica().CountedMB(), 40) // both versions do not fit
	w.runUntilIdle()
	is.True(w.holderReplica().Servable("a"))
	is.Equal(w.holderReplica().CountedMB(), 60)
	is.Equal(w.violation, "")
}

// Guards against a successor that loses reservations, senders or residents because
// it knows only the stored record.
func TestSuccessorKnowsOnlyTheRecord(t *testing.T) {
	is := is.New(t)
	w := newLoadedSimulation(false, false)
	w.owners[1].r = NewReplica(w.cfg.settings())
	w.performChoice("time passes, renewed false")
	is.True(w.performChoice("takeover"))
	is.Equal(w.holderReplica().CountedMB(), capacityMB)
	is.True(w.holderReplica().Servable("a"))
	w.setTarget(targetAC...)
	w.advanceTicks(networkDelayTicks + 1)
	is.Equal(w.holderReplica().CountedMB(), capacityMB) // the former holder can still send
	is.True(!w.holderReplica().Servable("c"))
	is.True(w.performChoice("former holder finished"))
	w.advanceTicks(networkDelayTicks + 1)
	is.True(w.holderReplica().Servable("c"))
	is.Equal(w.violation, "")
}

// Guards against uncounted memory of models that the engine loaded at its start
// and that are not in the record.
func TestUnknownResidentsCount(t *testing.T) {
	is := is.New(t)
	w := newLoadedSimulation(true, true, func(c *config) { c.startWhen = bothLoaded })
	w.engine.residents = []resident{{Item: model("x")}}
	w.runUntilIdle()
	is.Equal(w.violation, "")
	is.True(w.holderReplica().Servable("a"))
	is.True(w.holderReplica().Servable("b"))
	is.True(w.holderReplica().findEntry(Key{"x", "1"}) == nil)
}
