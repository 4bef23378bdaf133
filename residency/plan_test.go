package residency

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hyssophaven/hyssophaven/catalog"
)

// testPool is a State with replicas that have reported the models they hold.
// Each model takes a third of a replica's memory.
type testPool struct {
	state *State
	now   time.Time
}

func newTestPool(models int, held ...[]string) *testPool {
	e := &catalog.Engine{Slots: 8, WeightsMB: 90, AdapterSlots: 3, LoadsPerSecond: 20}
	for n := range models {
		e.Models = append(e.Models, catalog.Model{Name: "m" + strconv.Itoa(n), WeightsMB: 30, StoreLoadTime: time.Second})
	}
	e.IndexModels()
	p := &testPool{state: New(testLimits), now: startTime}
	p.state.SetConfig(catalog.NewConfig(1, catalog.Limits{}, []*catalog.Service{{Name: serviceName, Engine: e}}, nil))
	for i, names := range held {
		id := "r" + strconv.Itoa(i)
		info := &catalog.Replica{ID: id, Service: serviceName, Address: id + ":1", DataCentre: "z", Slots: 8, StartMillis: 1, OnDisk: []string{"m0", "m1", "m2"}}
		for _, name := range names {
			info.Models = append(info.Models, catalog.LoadedModel{Name: name})
		}
		p.state.SetReplica(p.now, id, info)
	}
	p.state.StartTerm(p.now)
	p.now = p.now.Add(10 * time.Second) // fills the token bucket of the weight store
	for id, r := range p.state.replicas {
		p.state.HandleReport(p.now, id, &Report{StartMillis: 1, Models: r.info.Models})
	}
	return p
}

// addDemand adds demand for a model that amounts to the given utilization of
// one copy.
func (p *testPool) addDemand(model string, utilization float64) {
	p.state.AddDemand(p.now, model, Demand{
		Requests: 10, Value: utilization * replicaValueRate * demandTimeConstant.Seconds(), PrefillWork: utilization * replicaPrefillRate * demandTimeConstant.Seconds(),
	})
}

// plan returns the number of load orders and of planned unloads, by model.
func (p *testPool) plan() (loads, unloading map[string]int) {
	loads, unloading = make(map[string]int), make(map[string]int)
	for _, a := range p.state.Plan(p.now) {
		if a.Order != nil && a.Order.Operation == Load {
			loads[a.Order.Model]++
		}
	}
	for _, models := range p.state.UnloadingModels() {
		for _, model := range models {
			unloading[model]++
		}
	}
	return loads, unloading
}

// Guards against replicas that become empty at the same moment and all load the
// same model because loads in progress are not counted.
func TestEmptyReplicasLoadDifferentModels(t *testing.T) {
	is := is.New(t)
	p := newTestPool(3, nil, nil, nil)
	loads, _ := p.plan()
	is.Equal(loads, map[string]int{"m0": 1, "m1": 1, "m2": 1})
}

// Guards against a model with high demand that gets its copies one after the
// other instead of concurrently.
func TestBusyModelGetsSeveralCopies(t *testing.T) {
	is := is.New(t)
	p := newTestPool(1, []string{"m0"}, []string{"m0"}, nil, nil, nil, nil)
	for _, r := range p.state.replicas {
		r.info.OnDisk = nil
	}
	p.addDemand("m0", 5)
	loads, _ := p.plan()
	is.Equal(loads, map[string]int{"m0": 4})
}

// Guards against replicas that keep models without demand while another model
// is overloaded, and against the eviction of models in demand.
func TestUnusedModelIsEvicted(t *testing.T) {
	is := is.New(t)
	p := newTestPool(6, []string{"m0", "m1", "m2"}, []string{"m3", "m4", "m5"})
	for n := range 5 {
		p.addDemand("m"+strconv.Itoa(n), 0.01)
	}
	p.addDemand("m0", 5)
	_, unloading := p.plan()
	is.Equal(unloading, map[string]int{"m5": 1})
}

// Guards against the eviction of a model in demand for a model without demand.
func TestUsedModelIsNotEvictedForUnused(t *testing.T) {
	is := is.New(t)
	p := newTestPool(4, []string{"m0", "m1", "m2"}, []string{"m0", "m1", "m2"})
	for n := range 3 {
		p.addDemand("m"+strconv.Itoa(n), 0.8)
	}
	loads, unloading := p.plan() // m3 has no copy and no demand
	is.Equal(loads["m3"], 0)
	is.Equal(len(unloading), 0)
}

// Guards against adapters that are requested but never served because the only
// replica with their model starts one model load after another (trouble-1 of
// petik-booking: 5 of 35 never served).
func TestRequestedAdapterLoadsBeforeModels(t *testing.T) {
	is := is.New(t)
	p := newTestPool(3, []string{"m0"}, nil)
	m := p.state.config.Services[serviceName].Engine.Model("m0")
	m.Adapters, m.AdapterMB = []string{"a1", "a2"}, 1
	r := p.state.replicas["r0"]
	r.info.OnDisk, p.state.replicas["r1"].info.OnDisk = nil, nil
	p.addDemand("m1", 5)
	p.state.AddAdapterDemand("m0", "a2", 4)
	orders := make(map[string]string)
	for _, a := range p.state.Plan(p.now) {
		if a.Order != nil {
			orders[a.Order.Replica] = a.Order.Model + "/" + a.Order.Adapter
		}
	}
	is.Equal(orders["r0"], "m0/a2")
	is.Equal(orders["r1"], "m1/")
}

// Guards against an estimate of the arrival time that ignores where the weights
// are, or the unload that has to come first.
func TestModelArrivals(t *testing.T) {
	is := is.New(t)
	p := newTestPool(4, nil, []string{"m1", "m2", "m0"})
	e := p.state.config.Services[serviceName].Engine
	for i := range e.Models {
		e.Models[i].StoreLoadTime, e.Models[i].DiskLoadTime = 8*time.Second, 2*time.Second
	}
	r := p.state.replicas["r0"]
	r.info.OnDisk = []string{"m0"}
	p.state.applyOrder(p.now, r, &Order{Operation: Load, Model: "m0"}, Accepted)
	other := p.state.replicas["r1"]
	other.move = &move{model: e.Model("m3"), evictions: []string{"m1"}, deadline: p.now.Add(moveTimeout)}
	arrivals := p.state.ModelArrivals(p.now.Add(500 * time.Millisecond))
	is.Equal(arrivals, map[string]time.Duration{"m0": 1500 * time.Millisecond, "m3": evictionNotice + 8*time.Second})
}

// newAdapterPool returns a pool of two replicas with the same model. The first
// has no free adapter slot.
func newAdapterPool() *testPool {
	p := newTestPool(1, []string{"m0"}, []string{"m0"})
	m := p.state.config.Services[serviceName].Engine.Model("m0")
	m.Adapters, m.AdapterMB = []string{"a1", "a2", "a3", "a4"}, 1
	for id, names := range map[string][]string{"r0": {"a1", "a2", "a3"}, "r1": {"a3"}} {
		for _, name := range names {
			p.state.replicas[id].adapters["m0/"+name] = &adapter{sizeMB: 1}
		}
	}
	return p
}

// unloadedAdapters returns the adapters of the unload orders among the actions,
// "" for a model.
func unloadedAdapters(actions []Action) (out []string) {
	for _, a := range actions {
		if a.Order != nil && a.Order.Operation == Unload {
			out = append(out, a.Order.Adapter)
		}
	}
	return out
}

// Guards against replicas that evict each other's adapters: with as many slots
// as adapters, the only copy of an adapter was evicted while an adapter with
// another copy stayed (TestEdgeServesThroughStoreFaults, seed 400).
func TestOnlyCopyOfAdapterIsEvictedLast(t *testing.T) {
	is := is.New(t)
	p := newAdapterPool()
	p.state.MarkAdapterUsed(p.now, "r0", "m0", "a3") // a3 is the most recently used
	p.now = p.now.Add(2 * adapterInUseWindow)
	is.Equal(unloadedAdapters(p.state.RequestAdapter(p.now, "r0", "m0", "a4")), []string{"a3"})
}

// Guards against the eviction of an adapter in demand for one that another
// replica holds, or, when prefetching, for one in equal demand.
func TestRequestedAdapterIsNotEvicted(t *testing.T) {
	is := is.New(t)
	p := newAdapterPool()
	delete(p.state.replicas["r1"].adapters, "m0/a3")
	p.state.replicas["r1"].adapters["m0/a4"] = &adapter{sizeMB: 1}
	for _, name := range []string{"a1", "a2", "a3", "a4"} {
		p.state.AddAdapterDemand("m0", name, 2)
	}
	actions := p.state.RequestAdapter(p.now, "r0", "m0", "a4")
	is.Equal(len(unloadedAdapters(actions)), 0)
	is.Equal(len(actions), 1)
	is.True(!actions[0].AdapterResult.OK) // the request goes to the other replica

	delete(p.state.replicas["r1"].adapters, "m0/a4")
	p.state.replicas["r1"].info.Leaving = true // a leaving replica loads no adapters
	is.Equal(len(unloadedAdapters(p.state.Plan(p.now))), 0)
	is.Equal(len(unloadedAdapters(p.state.RequestAdapter(p.now, "r0", "m0", "a4"))), 1)
}

// Guards against orders to a replica that wants none for a while, against a copy that
// waits for that replica although another has room, and against a replica that gets no
// orders afterwards.
func TestNoOrdersDuringBackoff(t *testing.T) {
	is := is.New(t)
	p := newTestPool(3, nil, nil)
	r := p.state.replicas["r0"]
	until := p.now.Add(time.Minute)
	r.move = &move{model: &p.state.config.Services[serviceName].Engine.Models[0], deadline: until}
	p.state.SetBackoff("r0", until)
	orders := func() map[string]int {
		out := make(map[string]int)
		for _, a := range p.state.Plan(p.now) {
			if a.Order != nil {
				out[a.Order.Replica]++
			}
		}
		return out
	}
	got := orders()
	is.Equal(got["r0"], 0)
	is.Equal(got["r1"], 1)
	is.True(r.move == nil)
	p.now = until
	is.Equal(orders()["r0"], 1)
}

// Guards against report requests to a replica that wants no requests for a while, by a
// holder of which several terms begin meanwhile or whose order the replica turned away,
// and against a replica that is not asked afterwards.
func TestNoReportRequestsDuringBackoff(t *testing.T) {
	is := is.New(t)
	p := newTestPool(1, nil)
	until := p.now.Add(time.Minute)
	p.state.SetBackoff("r0", until)
	reports := func(actions []Action) (n int) {
		for _, a := range actions {
			if a.ReportFrom != "" {
				n++
				p.state.HandleReport(p.now, a.ReportFrom, nil)
			}
		}
		return n
	}
	for range 3 {
		is.Equal(reports(p.state.StartTerm(p.now)), 0)
		p.now = p.now.Add(2 * retryDelay)
		is.Equal(reports(p.state.Plan(p.now)), 0)
	}
	order := &Order{Replica: "r0", Operation: Load, Model: "m0"}
	p.state.replicas["r0"].pendingOrder = order
	is.Equal(reports(p.state.HandleOutcome(p.now, order, Unknown)), 0)
	p.now = until
	is.Equal(reports(p.state.Plan(p.now)), 1)
}

// Guards against a copy that is loaded twice and that no request waits for, because the
// order to load it was carried out but not answered, and against taking another load for it.
func TestUnansweredLoadIsResumed(t *testing.T) {
	for _, c := range []struct {
		storeLoad time.Duration
		accepted  int64
		arrivals  map[string]time.Duration
	}{
		{9 * time.Second, 1, map[string]time.Duration{"m0": 9 * time.Second}},
		{9 * time.Second, 2, map[string]time.Duration{}},
		{planHorizon, 1, map[string]time.Duration{}},
	} {
		is := is.New(t)
		p := newTestPool(1, nil)
		p.state.config.Services[serviceName].Engine.Models[0].StoreLoadTime = c.storeLoad
		r := p.state.replicas["r0"]
		r.info.OnDisk = nil
		order := &Order{Replica: "r0", Operation: Load, Model: "m0", FromStore: true}
		r.pendingOrder = order
		p.state.HandleOutcome(p.now, order, Unknown)
		p.state.HandleReport(p.now, "r0", &Report{StartMillis: 1, Busy: true, AcceptedOrders: c.accepted})
		is.Equal(p.state.ModelArrivals(p.now), c.arrivals)
		is.True(!r.idle(p.now))
	}
}

// Guards against second copies of models without demand in a deployment with customers
// whose memory can't hold two copies of each, and against their absence elsewhere.
func TestNoSecondCopyWhereMemoryIsScarce(t *testing.T) {
	for _, c := range []struct {
		models    int
		customers bool
		want      int
	}{{4, true, 0}, {4, false, 2}, {3, true, 2}} {
		is := is.New(t)
		p := newTestPool(c.models, []string{"m0", "m1"}, []string{"m2", "m3"}[:c.models-2])
		if c.customers {
			p.state.config.SetCustomers([]*catalog.Customer{{Name: "c", Keys: []string{"k"}}})
		}
		loads, _ := p.plan()
		is.Equal(loads["m0"]+loads["m1"]+loads["m2"], c.want)
	}
}

// Guards against evicting copies of the models that are expected to be busy, before any
// request has come, for a model that nobody asked for.
func TestInitialCopiesStayUntilFirstRequestWhereMemoryIsScarce(t *testing.T) {
	for _, c := range []struct{ customers, requests, evicts bool }{{true, false, false}, {true, true, true}, {false, false, true}} {
		is := is.New(t)
		p := newTestPool(6, []string{"m0", "m1", "m2"}, []string{"m0", "m3", "m4"})
		if c.customers {
			p.state.config.SetCustomers([]*catalog.Customer{{Name: "c", Keys: []string{"k"}}})
		}
		if c.requests {
			p.addDemand("m1", 0.1)
		}
		_, unloading := p.plan()
		is.Equal(unloading["m0"] > 0, c.evicts) // makes room for m5, which has no copy
	}
}

// Guards against a busy model that gets no further copy at a load at which prompts already
// delay the events of streams beyond their target.
func TestMissRateRisesEarlierWhereMemoryIsScarce(t *testing.T) {
	is := is.New(t)
	is.Equal(poolTraits{}.missRate(0.3), 0.0)
	is.True(poolTraits{scarce: true}.missRate(0.3) > 0.05)
	is.True(poolTraits{scarce: true}.missRate(0.47) > 3*poolTraits{}.missRate(0.47))
}
