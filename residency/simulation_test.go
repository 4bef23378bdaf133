package residency

import (
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/hyssophaven/hyssophaven/catalog"
)

var startTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const serviceName = "llm"

var testLimits = Limits{Window: 5 * time.Second, Excess: 1.1}

func testConfig() *catalog.Config {
	e := &catalog.Engine{Slots: 8, WeightsMB: 200, AdapterSlots: 3, LoadsPerSecond: 5}
	for n := range 6 {
		e.Models = append(e.Models, catalog.Model{
			Name: "m" + strconv.Itoa(n), WeightsMB: float64(60 + 10*(n%3)), StoreLoadTime: time.Second,
			Adapters: []string{"a1", "a2", "a3"}, AdapterMB: 5,
		})
	}
	e.IndexModels()
	return catalog.NewConfig(1, catalog.Limits{}, []*catalog.Service{{Name: serviceName, Engine: e}}, nil)
}

// fakeReplica carries out orders as the platform's replicas do. It fails the
// test if an order exceeds its memory or its adapter slots.
type fakeReplica struct {
	id             string
	models         map[string]bool
	adapters       map[string]bool
	inUse          map[string]bool
	orders         int64
	loading        string
	loadDone       time.Time
	delayedOrders  []Order
	history        []Report // its state after each step, oldest first
	publishedIndex int      // index of the entry in history that the list shows
	// local lists the models whose weights it has without the store, newest first.
	// Models are loaded in one second unless it is set.
	local []string
	fail  func(format string, args ...any)
}

// loadTime returns the time of a load, and records its weights as local.
func (f *fakeReplica) loadTime(c *catalog.Engine, model string) time.Duration {
	took := time.Second
	if i := slices.Index(f.local, model); f.local != nil {
		took = c.Model(model).StoreLoadTime
		switch {
		case i >= localMemory:
			took = c.Model(model).DiskLoadTime
		case i >= 0:
			took = c.Model(model).MemoryLoadTime
		}
		others := slices.DeleteFunc(slices.Clone(f.local), func(m string) bool { return m == model })
		f.local = append([]string{model}, others[:min(len(others), localModels-1)]...)
	}
	return took
}

func (f *fakeReplica) usedMB(c *catalog.Engine) float64 {
	mb := 0.0
	for m := range f.models {
		mb += c.Model(m).WeightsMB
	}
	if f.loading != "" {
		mb += c.Model(f.loading).WeightsMB
	}
	return mb + 5*float64(len(f.adapters))
}

// execute carries out an order and returns its outcome.
func (f *fakeReplica) execute(now time.Time, c *catalog.Engine, o Order) Outcome {
	if f.loading != "" || o.ExpectedOrders != f.orders {
		return Busy
	}
	key := o.Model + "/" + o.Adapter
	switch {
	case o.Operation == Load && o.Adapter == "":
		if f.models[o.Model] {
			return AlreadyApplied
		}
		if f.usedMB(c)+c.Model(o.Model).WeightsMB > c.WeightsMB {
			f.fail("replica %s is ordered to load %s on top of %v", f.id, o.Model, f.models)
		}
		f.loading, f.loadDone = o.Model, now.Add(f.loadTime(c, o.Model))
	case o.Operation == Load:
		if !f.models[o.Model] {
			return OtherReplica
		}
		if f.adapters[key] {
			return AlreadyApplied
		}
		if len(f.adapters) >= c.AdapterSlots || f.usedMB(c)+5 > c.WeightsMB {
			f.fail("replica %s is ordered to load %s on top of %v", f.id, key, f.adapters)
		}
		f.adapters[key] = true
	case o.Adapter != "":
		if !f.adapters[key] {
			return AlreadyApplied // the order is not counted
		}
		f.orders++
		if f.inUse[key] {
			return Accepted // it is unloaded when its requests end
		}
		delete(f.adapters, key)
		return AlreadyApplied
	default:
		delete(f.models, o.Model)
		for a := range f.adapters {
			if strings.HasPrefix(a, o.Model+"/") {
				delete(f.adapters, a)
			}
		}
	}
	f.orders++
	return Accepted
}

// recordStep finishes a load that is due and adds the replica's state to its
// history.
func (f *fakeReplica) recordStep(now time.Time) {
	if f.loading != "" && !now.Before(f.loadDone) {
		f.models[f.loading], f.loading = true, ""
	}
	f.history = append(f.history, Report{Models: f.loadedModels(), Busy: f.loading != "", AcceptedOrders: f.orders, StartMillis: 1})
}

func (f *fakeReplica) loadedModels() []catalog.LoadedModel {
	var out []catalog.LoadedModel
	for m := range f.models {
		r := catalog.LoadedModel{Name: m}
		for a := range f.adapters {
			if model, name, _ := strings.Cut(a, "/"); model == m {
				r.Adapters = append(r.Adapters, name)
			}
		}
		out = append(out, r)
	}
	return out
}

// simulation runs a State against fake replicas in steps of 100 ms.
type simulation struct {
	state          *State
	engine         *catalog.Engine
	replicas       map[string]*fakeReplica
	pendingReports []pendingReport
	now            time.Time
}

type pendingReport struct {
	id  string
	due time.Time
}

const stepInterval = 100 * time.Millisecond

func newSimulation(fail func(string, ...any), n int) *simulation {
	sim := &simulation{state: New(testLimits), replicas: make(map[string]*fakeReplica), now: startTime}
	c := testConfig()
	sim.state.SetConfig(c)
	sim.engine = c.Services[serviceName].Engine
	for k := range n {
		id := "r" + strconv.Itoa(k)
		sim.replicas[id] = &fakeReplica{
			id: id, models: map[string]bool{"m0": true, "m1": true}, adapters: map[string]bool{}, inUse: map[string]bool{}, fail: fail,
		}
		sim.publishEntry(id, 0)
	}
	return sim
}

// publishEntry updates the list's entry of a replica to its state lag steps
// ago.
func (sim *simulation) publishEntry(id string, lag int) {
	e := sim.replicas[id]
	info := &catalog.Replica{ID: id, Service: serviceName, Address: id + ":1", DataCentre: "z", Slots: 8, StartMillis: 1, Models: e.loadedModels(), InMemory: e.local[:min(len(e.local), localMemory)], OnDisk: e.local}
	// The list never returns to an older state.
	e.publishedIndex = max(e.publishedIndex, len(e.history)-1-lag)
	if len(e.history) > 0 {
		info.Models = e.history[e.publishedIndex].Models
	}
	sim.state.SetReplica(sim.now, id, info)
}

// perform carries out actions. nextFault returns the fault of an order: "",
// "lost", "late" or "unsent".
func (sim *simulation) perform(actions []Action, nextFault func() string) {
	for _, a := range actions {
		switch {
		case a.ReportFrom != "":
			sim.pendingReports = append(sim.pendingReports, pendingReport{a.ReportFrom, sim.now.Add(a.Delay)})
		case a.Order != nil:
			sim.deliver(a.Order, nextFault)
		}
	}
}

func (sim *simulation) deliver(o *Order, nextFault func() string) {
	e := sim.replicas[o.Replica]
	switch nextFault() {
	case "lost":
		e.execute(sim.now, sim.engine, *o)
		sim.perform(sim.state.HandleOutcome(sim.now, o, Unknown), nextFault)
	case "late":
		e.delayedOrders = append(e.delayedOrders, *o)
		sim.perform(sim.state.HandleOutcome(sim.now, o, Unknown), nextFault)
	case "unsent":
		sim.perform(sim.state.HandleOutcome(sim.now, o, Unsent), nextFault)
	default:
		sim.perform(sim.state.HandleOutcome(sim.now, o, e.execute(sim.now, sim.engine, *o)), nextFault)
	}
}

// advance runs one step and delivers the reports that are due, which are
// reportAge steps old.
func (sim *simulation) advance(reportAge int, nextFault func() string) {
	sim.now = sim.now.Add(stepInterval)
	for _, e := range sim.replicas {
		e.recordStep(sim.now)
	}
	due := sim.pendingReports
	sim.pendingReports = nil
	for _, p := range due {
		if sim.now.Before(p.due) {
			sim.pendingReports = append(sim.pendingReports, p)
			continue
		}
		history := sim.replicas[p.id].history
		report := history[max(0, len(history)-1-reportAge)]
		sim.perform(sim.state.HandleReport(sim.now, p.id, &report), nextFault)
	}
	sim.perform(sim.state.Plan(sim.now), nextFault)
}

// Guards against orders that exceed a replica's memory or adapter slots (LIMIT)
// when orders are lost or carried out late, reports and list entries are stale,
// adapters stay in use, or the lease holder changes.
func TestNoReplicaIsOverloaded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t.Fatalf, 3)
		noFault := func() string { return "" }
		sim.perform(sim.state.StartTerm(sim.now), noFault)
		ids := []string{"r0", "r1", "r2"}
		for range rapid.IntRange(50, 150).Draw(t, "steps") {
			id := rapid.SampledFrom(ids).Draw(t, "replica")
			model := "m" + strconv.Itoa(rapid.IntRange(0, 5).Draw(t, "model"))
			name := "a" + strconv.Itoa(rapid.IntRange(1, 3).Draw(t, "adapter"))
			nextFault := noFault
			switch rapid.IntRange(0, 11).Draw(t, "event") {
			case 0:
				fault := rapid.SampledFrom([]string{"lost", "late", "unsent"}).Draw(t, "fate")
				nextFault = func() string { return fault }
			case 1:
				e := sim.replicas[id]
				for _, o := range e.delayedOrders {
					e.execute(sim.now, sim.engine, o)
				}
				e.delayedOrders = nil
			case 2:
				sim.publishEntry(id, rapid.IntRange(0, 20).Draw(t, "lag"))
			case 3:
				sim.state.AddDemand(sim.now, model, Demand{Requests: 20, PrefillWork: 60_000, WaitRatio: 2})
			case 4, 5:
				sim.perform(sim.state.RequestAdapter(sim.now, id, model, name), nextFault)
			case 6:
				e := sim.replicas[id]
				if key := model + "/" + name; e.adapters[key] {
					e.inUse[key] = !e.inUse[key]
				}
			case 7:
				if rapid.IntRange(0, 5).Draw(t, "holder") == 0 {
					sim.pendingReports = nil
					fresh := New(testLimits) // another instance becomes the holder
					fresh.SetConfig(testConfig())
					sim.state = fresh
					for _, other := range ids {
						sim.publishEntry(other, 0)
					}
					sim.perform(sim.state.StartTerm(sim.now), noFault)
				}
			}
			sim.advance(rapid.IntRange(0, 3).Draw(t, "age"), nextFault)
		}
	})
}

func noFault() string { return "" }

// Guards against an order count taken from the list of replicas, where the number
// counts heartbeats instead, and against an order before the first report.
func TestFirstOrderFollowsAReport(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t.Fatalf, 1)
	sim.replicas["r0"].orders = 7
	sim.replicas["r0"].recordStep(sim.now)
	actions := sim.state.StartTerm(sim.now)
	is.Equal(len(actions), 1)
	is.Equal(actions[0].ReportFrom, "r0")
	sim.perform(actions, noFault)
	for range 30 {
		sim.advance(0, noFault)
	}
	is.True(sim.replicas["r0"].orders > 7) // a missing model was loaded or room was made
}

// Guards against orders for a replica that carries out an order of another
// holder, whose model the report does not show (LIMIT, fresh-9a1a).
func TestBusyReplicaGetsNoOrder(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t.Fatalf, 1)
	e := sim.replicas["r0"]
	e.loading, e.loadDone = "m2", sim.now.Add(2*time.Second)
	sim.perform(sim.state.StartTerm(sim.now), noFault)
	for range 15 {
		sim.advance(0, noFault)
		is.Equal(e.orders, int64(0))
	}
}

// Guards against a load for an overloaded model that takes the room made for
// another model (deploy/days/kinds-01).
func TestRoomIsKeptForItsModel(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t.Fatalf, 3)
	sim.perform(sim.state.StartTerm(sim.now), noFault)
	loads := 0
	for range 200 {
		sim.advance(0, noFault)
		for id, e := range sim.replicas {
			sim.publishEntry(id, 0)
			loads = max(loads, int(e.orders))
		}
	}
	for n := range 6 {
		held := 0
		for _, e := range sim.replicas {
			if e.models["m"+strconv.Itoa(n)] {
				held++
			}
		}
		is.True(held >= 1) // every model has a copy
	}
	is.True(loads < 12) // replicas do not load and unload endlessly
}

// Guards against unloads without notice, including the second unload of a move:
// instances must be notified before a model in demand is unloaded.
func TestUnloadIsAnnounced(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t.Fatalf, 3)
	sim.perform(sim.state.StartTerm(sim.now), noFault)
	announced := make(map[string]time.Time)
	for range 60 {
		for _, m := range []string{"m0", "m1"} {
			sim.state.AddDemand(sim.now, m, Demand{Requests: 1, PrefillWork: 100, Value: 0.01})
		}
		before := make(map[string]map[string]bool)
		for id, e := range sim.replicas {
			before[id] = map[string]bool{}
			for m := range e.models {
				before[id][m] = true
			}
		}
		sim.advance(0, noFault)
		for id, e := range sim.replicas {
			for m := range before[id] {
				if !e.models[m] {
					at, ok := announced[id+m]
					is.True(ok)
					is.True(sim.now.Sub(at) >= evictionNotice-stepInterval)
				}
			}
			sim.publishEntry(id, 0)
		}
		for id, models := range sim.state.UnloadingModels() {
			for _, m := range models {
				if _, ok := announced[id+m]; !ok {
					announced[id+m] = sim.now
				}
			}
		}
	}
	is.True(len(announced) > 0)
}

// Guards against an unload that is delayed although the model has no requests,
// and against one that is ordered while requests run, which keeps the replica
// from accepting any other order.
func TestUnloadWaitsForRunningRequests(t *testing.T) {
	is := is.New(t)
	p := newTestPool(4, []string{"m0", "m1", "m2"})
	p.state.SetRunning(map[string]map[string]int{"r0": {"m0": 3, "m1": 3, "m2": 3}})
	for n := range 3 {
		p.addDemand("m"+strconv.Itoa(n), 0.001)
	}
	p.addDemand("m3", 5)
	is.Equal(len(unloadedAdapters(p.state.Plan(p.now))), 0)
	is.Equal(len(p.state.UnloadingModels()["r0"]), 1) // instances stop sending requests for it
	p.now = p.now.Add(evictionNotice + time.Second)
	is.Equal(len(unloadedAdapters(p.state.Plan(p.now))), 0)
	p.state.SetRunning(nil)
	is.Equal(len(unloadedAdapters(p.state.Plan(p.now))), 1)

	p = newTestPool(4, []string{"m0", "m1", "m2"})
	p.addDemand("m3", 5)
	is.Equal(len(unloadedAdapters(p.state.Plan(p.now))), 1)
}

// Guards against more loads from the weight store than its rate allows, in
// small and in large deployments.
func TestStoreLoadsStayWithinRate(t *testing.T) {
	for _, perSecond := range []float64{0.3, 1.5, 9, 60} {
		is := is.New(t)
		b := newTokenBucket(startTime)
		var taken []time.Time
		for ms := 0; ms < 60_000; ms += 50 {
			now := startTime.Add(time.Duration(ms) * time.Millisecond)
			for b.takeToken(now, perSecond, testLimits) {
				taken = append(taken, now)
			}
		}
		for i, first := range taken {
			n := 0
			for _, at := range taken[i:] {
				if at.Sub(first) <= testLimits.Window {
					n++
				}
			}
			is.True(float64(n) <= perSecond*testLimits.Window.Seconds()*testLimits.Excess+3)
		}
		is.True(slices.IsSortedFunc(taken, time.Time.Compare))
	}
}

// Guards against a request that is sent before its adapter is loaded, which the
// replica rejects (inc-879f, inc-c756).
func TestAdapterIsReadyAfterItsLoad(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t.Fatalf, 1)
	e := sim.replicas["r0"]
	e.recordStep(sim.now)
	sim.state.StartTerm(sim.now)
	sim.state.HandleReport(sim.now, "r0", &e.history[0])
	var ready *Action
	actions := sim.state.RequestAdapter(sim.now, "r0", "m0", "a1")
	is.Equal(len(actions), 1)
	order := actions[0].Order
	for _, a := range sim.state.HandleOutcome(sim.now, order, e.execute(sim.now, sim.engine, *order)) {
		if a.AdapterResult != nil {
			ready = &a
		}
	}
	is.True(ready != nil && ready.AdapterResult.OK)
	is.True(ready.Delay >= adapterLoadBase)
}
