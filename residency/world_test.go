package residency

import (
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/hyssophaven/hyssophaven/catalog"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const service = "llm"

var testLimits = Limits{Window: 5 * time.Second, Excess: 1.1}

func testConfig() *catalog.Config {
	e := &catalog.Engine{Slots: 8, WeightsMB: 200, AdapterSlots: 3, LoadsPerSec: 5}
	for n := range 6 {
		e.Models = append(e.Models, catalog.Model{
			Name: "m" + strconv.Itoa(n), WeightsMB: float64(60 + 10*(n%3)), LoadTime: time.Second,
			Adapters: []string{"a1", "a2", "a3"}, AdapterMB: 5,
		})
	}
	e.Index()
	return catalog.NewConfig(1, catalog.Limits{}, []*catalog.Service{{Name: service, Engine: e}}, nil)
}

// engine is a replica that carries orders out as the platform's replicas do. It
// fails the test if it is ordered beyond its memory or its adapter places.
type engine struct {
	id       string
	models   map[string]bool
	adapters map[string]bool
	inUse    map[string]bool
	orders   int64
	loading  string
	ready    time.Time
	late     []Order
	history  []Report // what it reported, oldest first, a step each
	shown    int      // the part of history that the list shows
	fail     func(format string, args ...any)
}

func (e *engine) used(c *catalog.Engine) float64 {
	mb := 0.0
	for m := range e.models {
		mb += c.Model(m).WeightsMB
	}
	if e.loading != "" {
		mb += c.Model(e.loading).WeightsMB
	}
	return mb + 5*float64(len(e.adapters))
}

// carryOut answers an order.
func (e *engine) carryOut(now time.Time, c *catalog.Engine, o Order) Outcome {
	if e.loading != "" || o.Expected != e.orders {
		return Busy
	}
	key := o.Model + "/" + o.Adapter
	switch {
	case o.Operation == Load && o.Adapter == "":
		if e.models[o.Model] {
			return AlreadyHolds
		}
		if e.used(c)+c.Model(o.Model).WeightsMB > c.WeightsMB {
			e.fail("replica %s is ordered to load %s on top of %v", e.id, o.Model, e.models)
		}
		e.loading, e.ready = o.Model, now.Add(time.Second)
	case o.Operation == Load:
		if !e.models[o.Model] {
			return OtherReplica
		}
		if e.adapters[key] {
			return AlreadyHolds
		}
		if len(e.adapters) >= c.AdapterSlots || e.used(c)+5 > c.WeightsMB {
			e.fail("replica %s is ordered to load %s on top of %v", e.id, key, e.adapters)
		}
		e.adapters[key] = true
	case o.Adapter != "":
		if !e.adapters[key] {
			return AlreadyHolds // and the order does not count
		}
		e.orders++
		if e.inUse[key] {
			return Accepted // it is dropped when its requests end
		}
		delete(e.adapters, key)
		return AlreadyHolds
	default:
		delete(e.models, o.Model)
		for a := range e.adapters {
			if a[:2] == o.Model {
				delete(e.adapters, a)
			}
		}
	}
	e.orders++
	return Accepted
}

func (e *engine) step(now time.Time) {
	if e.loading != "" && !now.Before(e.ready) {
		e.models[e.loading], e.loading = true, ""
	}
	e.history = append(e.history, Report{Models: e.residents(), Busy: e.loading != "", Orders: e.orders, Born: 1})
}

func (e *engine) residents() []catalog.Resident {
	var out []catalog.Resident
	for m := range e.models {
		r := catalog.Resident{Name: m}
		for a := range e.adapters {
			if a[:2] == m {
				r.Adapters = append(r.Adapters, a[3:])
			}
		}
		out = append(out, r)
	}
	return out
}

// world runs the plan against some engines, a step every 100 ms.
type world struct {
	state   *State
	config  *catalog.Engine
	engines map[string]*engine
	reports []pendingReport
	now     time.Time
}

type pendingReport struct {
	id string
	at time.Time
}

const stepTime = 100 * time.Millisecond

func newWorld(fail func(string, ...any), n int) *world {
	w := &world{state: New(testLimits), engines: make(map[string]*engine), now: epoch}
	c := testConfig()
	w.state.SetConfig(c)
	w.config = c.Services[service].Engine
	for k := range n {
		id := "r" + strconv.Itoa(k)
		w.engines[id] = &engine{
			id: id, models: map[string]bool{"m0": true, "m1": true}, adapters: map[string]bool{}, inUse: map[string]bool{}, fail: fail,
		}
		w.entry(id, 0)
	}
	return w
}

// entry shows the list's row of a replica, some steps old.
func (w *world) entry(id string, lag int) {
	e := w.engines[id]
	info := &catalog.Replica{ID: id, Service: service, Address: id + ":1", DataCentre: "z", Slots: 8, Born: 1, Models: e.residents()}
	// The list never goes back.
	e.shown = max(e.shown, len(e.history)-1-lag)
	if len(e.history) > 0 {
		info.Models = e.history[e.shown].Models
	}
	w.state.SetReplica(w.now, id, info)
}

// act carries out actions. fate says what becomes of an order: "", "lost", "late" or "unsent".
func (w *world) act(actions []Action, fate func() string) {
	for _, a := range actions {
		switch {
		case a.Report != "":
			w.reports = append(w.reports, pendingReport{a.Report, w.now.Add(a.Delay)})
		case a.Order != nil:
			w.order(a.Order, fate)
		}
	}
}

func (w *world) order(o *Order, fate func() string) {
	e := w.engines[o.Replica]
	switch fate() {
	case "lost":
		e.carryOut(w.now, w.config, *o)
		w.act(w.state.Answered(w.now, o, Unknown), fate)
	case "late":
		e.late = append(e.late, *o)
		w.act(w.state.Answered(w.now, o, Unknown), fate)
	case "unsent":
		w.act(w.state.Answered(w.now, o, Unsent), fate)
	default:
		w.act(w.state.Answered(w.now, o, e.carryOut(w.now, w.config, *o)), fate)
	}
}

// step moves time on and answers reports, which are reportAge steps old.
func (w *world) step(reportAge int, fate func() string) {
	w.now = w.now.Add(stepTime)
	for _, e := range w.engines {
		e.step(w.now)
	}
	due := w.reports
	w.reports = nil
	for _, p := range due {
		if w.now.Before(p.at) {
			w.reports = append(w.reports, p)
			continue
		}
		history := w.engines[p.id].history
		report := history[max(0, len(history)-1-reportAge)]
		w.act(w.state.Reported(w.now, p.id, &report), fate)
	}
	w.act(w.state.Plan(w.now), fate)
}

// Guards against replicas that are ordered beyond their memory or their places
// for adapters (LIMIT), whatever orders are lost or carried out late, with
// reports and list entries that show the past, adapters that stay in use, and
// changes of the holder.
func TestNoReplicaIsOverloaded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t.Fatalf, 3)
		good := func() string { return "" }
		w.act(w.state.Hold(w.now), good)
		ids := []string{"r0", "r1", "r2"}
		for range rapid.IntRange(50, 150).Draw(t, "steps") {
			id := rapid.SampledFrom(ids).Draw(t, "replica")
			model := "m" + strconv.Itoa(rapid.IntRange(0, 5).Draw(t, "model"))
			name := "a" + strconv.Itoa(rapid.IntRange(1, 3).Draw(t, "adapter"))
			fate := good
			switch rapid.IntRange(0, 11).Draw(t, "event") {
			case 0:
				bad := rapid.SampledFrom([]string{"lost", "late", "unsent"}).Draw(t, "fate")
				fate = func() string { return bad }
			case 1:
				e := w.engines[id]
				for _, o := range e.late {
					e.carryOut(w.now, w.config, o)
				}
				e.late = nil
			case 2:
				w.entry(id, rapid.IntRange(0, 20).Draw(t, "lag"))
			case 3:
				w.state.AddDemand(w.now, model, Demand{Requests: 20, Reading: 60_000, WaitShare: 2})
			case 4, 5:
				w.act(w.state.WantAdapter(w.now, id, model, name), fate)
			case 6:
				e := w.engines[id]
				if key := model + "/" + name; e.adapters[key] {
					e.inUse[key] = !e.inUse[key]
				}
			case 7:
				if rapid.IntRange(0, 5).Draw(t, "holder") == 0 {
					w.reports = nil
					fresh := New(testLimits) // another instance becomes the holder
					fresh.SetConfig(testConfig())
					w.state = fresh
					for _, other := range ids {
						w.entry(other, 0)
					}
					w.act(w.state.Hold(w.now), good)
				}
			}
			w.step(rapid.IntRange(0, 3).Draw(t, "age"), fate)
		}
	})
}

func quiet() string { return "" }

// Guards against an order count that is taken from the list of replicas, whose
// number counts heartbeats, and against a first order before a report.
func TestFirstOrderFollowsAReport(t *testing.T) {
	is := is.New(t)
	w := newWorld(t.Fatalf, 1)
	w.engines["r0"].orders = 7
	w.engines["r0"].step(w.now)
	actions := w.state.Hold(w.now)
	is.Equal(len(actions), 1)
	is.Equal(actions[0].Report, "r0")
	w.act(actions, quiet)
	for range 30 {
		w.step(0, quiet)
	}
	is.True(w.engines["r0"].orders > 7) // a missing model was loaded or room was made
}

// Guards against orders for a replica that works on another holder's order, of
// which the report does not show the model (LIMIT, fresh-9a1a).
func TestBusyReplicaIsLeftAlone(t *testing.T) {
	is := is.New(t)
	w := newWorld(t.Fatalf, 1)
	e := w.engines["r0"]
	e.loading, e.ready = "m2", w.now.Add(2*time.Second)
	w.act(w.state.Hold(w.now), quiet)
	for range 15 {
		w.step(0, quiet)
		is.Equal(e.orders, int64(0))
	}
}

// Guards against a model that is loaded where requests wait too long, while room
// made for it is taken by another (deploy/days/kinds-01).
func TestRoomIsKeptForItsModel(t *testing.T) {
	is := is.New(t)
	w := newWorld(t.Fatalf, 3)
	w.act(w.state.Hold(w.now), quiet)
	loads := 0
	for range 200 {
		w.step(0, quiet)
		for id, e := range w.engines {
			w.entry(id, 0)
			loads = max(loads, int(e.orders))
		}
	}
	for n := range 6 {
		held := 0
		for _, e := range w.engines {
			if e.models["m"+strconv.Itoa(n)] {
				held++
			}
		}
		is.True(held >= 1) // every model is reachable
	}
	is.True(loads < 12) // and replicas are not loaded and unloaded for ever
}

// Guards against second unloads and loads without notice: instances must hear
// of an unload of a model that is asked for before it is ordered.
func TestUnloadIsAnnounced(t *testing.T) {
	is := is.New(t)
	w := newWorld(t.Fatalf, 3)
	w.act(w.state.Hold(w.now), quiet)
	announced := make(map[string]time.Time)
	for range 60 {
		for _, m := range []string{"m0", "m1"} {
			w.state.AddDemand(w.now, m, Demand{Requests: 1, Reading: 100, Worth: 0.01})
		}
		before := make(map[string]map[string]bool)
		for id, e := range w.engines {
			before[id] = map[string]bool{}
			for m := range e.models {
				before[id][m] = true
			}
		}
		w.step(0, quiet)
		for id, e := range w.engines {
			for m := range before[id] {
				if !e.models[m] {
					at, ok := announced[id+m]
					is.True(ok)
					is.True(w.now.Sub(at) >= announceTime-stepTime)
				}
			}
			w.entry(id, 0)
		}
		for id, models := range w.state.Dropping() {
			for _, m := range models {
				if _, ok := announced[id+m]; !ok {
					announced[id+m] = w.now
				}
			}
		}
	}
	is.True(len(announced) > 0)
}

// Guards against an unload that waits although nobody asks for the model, and
// against one that is ordered while requests still run, which keeps the replica
// from taking any other order.
func TestUnloadWaitsForRuns(t *testing.T) {
	is := is.New(t)
	p := newPool(4, []string{"m0", "m1", "m2"})
	p.state.SetRunning(map[string]map[string]int{"r0": {"m0": 3, "m1": 3, "m2": 3}})
	for n := range 3 {
		p.demand("m"+strconv.Itoa(n), 0.001)
	}
	p.demand("m3", 5)
	is.Equal(len(unloads(p.state.Plan(p.now))), 0)
	is.Equal(len(p.state.Dropping()["r0"]), 1) // instances stop sending requests for it
	p.now = p.now.Add(announceTime + time.Second)
	is.Equal(len(unloads(p.state.Plan(p.now))), 0)
	p.state.SetRunning(nil)
	is.Equal(len(unloads(p.state.Plan(p.now))), 1)

	p = newPool(4, []string{"m0", "m1", "m2"})
	p.demand("m3", 5)
	is.Equal(len(unloads(p.state.Plan(p.now))), 1)
}

// Guards against more loads from the weight store than its rate allows, at small
// and at large deployments.
func TestLoadsStayWithinTheRate(t *testing.T) {
	for _, perSecond := range []float64{0.3, 1.5, 9, 60} {
		is := is.New(t)
		b := newBucket(epoch)
		var taken []time.Time
		for ms := 0; ms < 60_000; ms += 50 {
			now := epoch.Add(time.Duration(ms) * time.Millisecond)
			for b.take(now, perSecond, testLimits) {
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

// Guards against a request that is sent before its adapter has arrived: the
// replica turns it away (inc-879f, inc-c756).
func TestAdapterIsReadyAfterItsLoad(t *testing.T) {
	is := is.New(t)
	w := newWorld(t.Fatalf, 1)
	e := w.engines["r0"]
	e.step(w.now)
	w.state.Hold(w.now)
	w.state.Reported(w.now, "r0", &e.history[0])
	var ready *Action
	actions := w.state.WantAdapter(w.now, "r0", "m0", "a1")
	is.Equal(len(actions), 1)
	order := actions[0].Order
	for _, a := range w.state.Answered(w.now, order, e.carryOut(w.now, w.config, *order)) {
		if a.Ready != nil {
			ready = &a
		}
	}
	is.True(ready != nil && ready.Ready.OK)
	is.True(ready.Delay >= adapterBase)
}
