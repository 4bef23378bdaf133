package ledger

import (
	"slices"
	"testing"
	"time"

	"github.com/hyssophaven/hyssophaven/engine"
	"github.com/matryer/is"
)

// pick performs the first choice whose name starts with one of the prefixes
// and reports whether there was one.
func (w *world) pick(names ...string) bool {
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

// settle lets the holder work with a prompt store and network until nothing
// changes any more. Messages that nobody waits for stay in the network.
func (w *world) settle() {
	for quiet := 0; quiet < 2; { // the first read may have been sent earlier
		i := w.holder
		if len(w.own[i].outbox) > 0 {
			a := w.own[i].outbox[0]
			w.own[i].outbox = slices.Clone(w.own[i].outbox[1:])
			switch a := a.(type) {
			case Persist:
				w.persist(i, a, true, true)
			case ReadRecord:
				w.step(i, RecordRead{Record: w.rec, Version: w.version})
			case Query:
				w.step(i, Observed{Query: a.ID, State: w.state()})
				quiet++
				if !w.quiet(i) {
					quiet = 0
				}
			case Send:
				w.step(i, OrderAnswered{ID: a.Order.ID, Result: w.execute(a.Order)})
				w.pick("engine releases")
			}
		}
	}
}

// quiet reports whether the owner only reads the state.
func (w *world) quiet(i int) bool {
	return w.own[i].r.readAfter == w.own[i].r.generation && !slices.ContainsFunc(w.own[i].outbox, func(a Action) bool {
		_, read := a.(Query)
		return !read
	})
}

// pass lets ticks pass while the holder renews its lease.
func (w *world) pass(ticks int) {
	for range ticks {
		w.pick("time passes, renewed true")
		w.settle()
	}
}

func (w *world) current() *Replica { return w.own[w.holder].r }

func (w *world) retarget(items ...Item) {
	w.step(w.holder, Want{Target: items})
	w.settle()
}

func loaded(checks, survive bool, setup ...func(*config)) *world {
	c := &config{checks: checks, survive: survive, targets: [][]Item{targetAB},
		budget: budget{ticks: 20, takeovers: 5, dups: 5, timeouts: 5, late: 5, restarts: 5, requests: 5, instanceLoads: 5}}
	for _, s := range setup {
		s(c)
	}
	w := newWorld(c)
	if c.from == nil {
		w.settle()
	}
	return w
}

// Guards against memory that is reused while a load order can still arrive
// after the unload of the same model.
func TestLateLoadAfterUnload(t *testing.T) {
	is := is.New(t)
	w := loaded(false, false)
	b := w.own[0].r.find(Key{"b", "1"})
	w.net = []message{{engine.Order{ID: "late", Kind: engine.LoadModel, Name: "b", Version: "1", MemoryMB: modelSize}, w.now + netDelay, -1}}
	w.retarget(targetAC...)
	is.Equal(b.State, Settling)               // the engine does not hold b any more
	is.Equal(w.current().Counted(), capacity) // but b still counts
	is.True(w.pick("order b"))
	w.settle()
	is.Equal(w.bad, "")
	w.pass(netDelay + 1)
	is.True(w.current().Servable("c"))
	is.Equal(w.bad, "")
}

// Guards against an unload order that arrives after the model was loaded again
// and cuts the requests that run on it.
func TestLateUnloadAfterReload(t *testing.T) {
	for _, checks := range []bool{true, false} {
		is := is.New(t)
		w := loaded(checks, false)
		w.pass(netDelay + 1) // the load orders are closed
		w.step(0, Want{Target: targetAC})
		for !w.pick("owner 0: ledger.Send b kind 1") {
			is.True(w.pick("owner 0: ledger.Persist", "owner 0: ledger.Query"))
		}
		is.True(w.pick("order b kind 1 {1 3} timed out")) // it is still on the way
		w.retarget(targetAB...)
		is.Equal(w.current().Servable("b"), checks) // only a newer token makes the late order harmless
		if checks {
			is.True(w.pick("request starts on b"))
		}
		is.True(w.pick("order b kind 1"))
		w.settle()
		is.Equal(w.bad, "")
		w.pass(netDelay + 1)
		is.True(w.current().Servable("b"))
	}
}

// Guards against memory that is reused when the engine has acknowledged an
// unload and still holds the memory.
func TestAcknowledgedUnloadFreesNothing(t *testing.T) {
	is := is.New(t)
	w := loaded(true, true)
	w.step(0, Want{Target: targetAC})
	for !w.pick("order b kind 1") {
		is.True(w.pick("owner 0: ledger"))
	}
	for range 20 {
		w.pick("owner 0: ledger")
	}
	is.Equal(w.current().Counted(), capacity)
	is.True(w.current().find(Key{"c", "1"}) == nil)
	is.True(w.pick("engine releases b"))
	w.settle()
	is.True(w.current().Servable("c"))
	is.Equal(w.bad, "")
}

// Guards against a second owner, on an engine that ignores tokens, that reuses
// memory for which the first owner's order is still in the sender's hands, and
// against a holder that wakes after its lease ended and sends.
func TestPausedHolderOfEngineWithoutTokens(t *testing.T) {
	is := is.New(t)
	w := loaded(false, false, func(c *config) { c.from = secondDecided })
	for !secondDecided(w) {
		is.True(w.pick("owner 0", "order"))
	}
	is.True(w.pick("time passes, renewed false"))
	is.True(w.pick("takeover"))
	w.retarget(targetAC...)
	w.pass(3 * netDelay)
	is.Equal(w.current().Counted(), capacity) // the paused holder may still send
	is.True(!w.current().Servable("c"))
	is.True(w.pick("owner 0: ledger.Send b kind 0 {1 2} late"))
	is.True(w.pick("order b kind 0 {1 2} executed"))
	w.step(0, LeaseLost{})
	w.step(1, SenderFinished{self(0, 1)})
	w.settle()
	is.True(!w.current().Servable("c")) // delayed copies may still arrive
	w.pass(netDelay + 1)
	is.True(w.current().Servable("c"))
	is.Equal(w.bad, "")
}

// Guards against a holder that sends after its lease ended although it could
// have known: the order carries the time, and a late decision sends nothing.
func TestNothingIsSentAfterTheLease(t *testing.T) {
	is := is.New(t)
	r := NewReplica(Settings{CapacityMB: capacity})
	until := start.Add(15 * time.Second)
	acts := r.Step(start, Adopt{Self: self(0, 1), Until: until})
	r.Step(start, Want{Target: targetAB})
	r.Step(start, Observed{Query: acts[0].(Query).ID, State: engine.State{BootID: "b"}})
	is.Equal(len(r.Step(until, Persisted{Write: 1, Epoch: 1, Version: 1})), 0)
	acts = r.Step(until, LeaseRenewed{Until: until.Add(time.Second)})
	is.True(len(acts) > 0)
	is.Equal(len(r.Step(until, LeaseLost{})), 0)
	is.Equal(len(r.Step(until, Tick{})), 0)
}

// Guards against an engine that restarts empty while orders are on the way:
// its models are loaded again with new tokens, and what it held still counts.
func TestRestartWithOrdersOnTheWay(t *testing.T) {
	for _, e := range engines {
		is := is.New(t)
		w := loaded(e.checks, e.survive)
		w.net = []message{{engine.Order{ID: "late", Token: w.current().find(Key{"b", "1"}).LoadToken, Kind: engine.LoadModel, Name: "b", Version: "1", MemoryMB: modelSize}, w.now + netDelay, -1}}
		w.step(0, Want{Target: targetAC})
		is.True(w.pick("engine restarts"))
		w.settle()
		if !e.survive {
			is.True(w.current().find(Key{"c", "1"}) == nil) // b can still arrive
		}
		is.True(w.pick("order b"))
		w.settle()
		w.pass(netDelay + 1)
		is.True(w.current().Servable("a"))
		is.True(w.current().Servable("c"))
		is.Equal(w.bad, "")
	}
}

// Guards against a version change that overcommits memory, and against one
// that stops serving the old version although both fit.
func TestVersionChange(t *testing.T) {
	is := is.New(t)
	v := func(version string, size int) Item { return Item{Name: "a", Version: version, MemoryMB: size} }
	w := loaded(true, true, func(c *config) { c.targets = [][]Item{{v("1", 40)}} })
	w.step(0, Want{Target: []Item{v("2", 40)}})
	for !w.pick("owner 0: ledger.Send a kind 0") {
		is.True(w.current().Servable("a")) // the old version serves until the new one is ready
		is.True(w.pick("owner 0: ledger"))
	}
	is.True(w.current().Servable("a"))
	is.Equal(w.current().Counted(), 80)
	w.pick("order a")
	w.settle()
	is.Equal(len(w.current().Entries()), 1)

	w.step(0, Want{Target: []Item{v("3", 60)}})
	is.Equal(w.current().Counted(), 40) // both do not fit
	w.settle()
	is.True(w.current().Servable("a"))
	is.Equal(w.current().Counted(), 60)
	is.Equal(w.bad, "")
}

// Guards against a successor that loses reservations, senders or residents,
// because it knows only what the store holds.
func TestSuccessorKnowsOnlyTheRecord(t *testing.T) {
	is := is.New(t)
	w := loaded(false, false)
	w.own[1].r = NewReplica(w.cfg.settings())
	w.pick("time passes, renewed false")
	is.True(w.pick("takeover"))
	is.Equal(w.current().Counted(), capacity)
	is.True(w.current().Servable("a"))
	w.retarget(targetAC...)
	w.pass(netDelay + 1)
	is.Equal(w.current().Counted(), capacity) // nothing is known of the former holder
	is.True(!w.current().Servable("c"))
	is.True(w.pick("former holder finished"))
	w.pass(netDelay + 1)
	is.True(w.current().Servable("c"))
	is.Equal(w.bad, "")
}

// Guards against memory of models that the engine was started with and that no
// record names.
func TestUnknownResidentsCount(t *testing.T) {
	is := is.New(t)
	w := loaded(true, true, func(c *config) { c.from = bothLoaded })
	w.eng.residents = []resident{{Item: model("x")}}
	w.settle()
	is.Equal(w.bad, "")
	is.True(w.current().Servable("a"))
	is.True(w.current().Servable("b"))
	is.True(w.current().find(Key{"x", "1"}) == nil)
}
