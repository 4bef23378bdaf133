package controlplane

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/hyssophaven/hyssophaven/catalog"
	"github.com/hyssophaven/hyssophaven/dispatch"
	"github.com/hyssophaven/hyssophaven/residency"
)

// Guards against an instance whose memory grows with each name of a model or an adapter that
// callers ask for, here or at a peer of an earlier version.
func TestDemandForUndeclaredNamesIsNotKept(t *testing.T) {
	is := is.New(t)
	c := newTestCore(t)
	engine := &catalog.Engine{Models: []catalog.Model{{Name: "m", Adapters: []string{"a1"}}}}
	c.config = catalog.NewConfig(1, catalog.Limits{}, []*catalog.Service{{Name: "s", Engine: engine}}, nil)
	request := func(model, adapter string) {
		c.countDemand(&dispatch.Request{Route: &catalog.Route{}, Service: "s", Model: model, Adapter: adapter}, dispatch.Decision{Verdict: dispatch.Refuse})
	}
	for n := range 1000 {
		request(fmt.Sprint("unknown-", n), "")
		request("m", fmt.Sprint("unknown-", n))
	}
	request("m", "a1")
	is.Equal(len(c.demand), 1)
	is.Equal(c.demand["m"].requests, 1001)
	is.Equal(c.demand["m"].adapters, map[string]int{"a1": 1})

	is.Equal(len(c.drainDemand()), 1)
	is.Equal(len(c.demand), 0)

	peer := map[string]residency.Demand{"m": {Requests: 2, Adapters: map[string]int{"a1": 1, "unknown": 1}}, "unknown": {Requests: 1}}
	c.addDemand(epoch, peer)
	is.Equal(peer["m"].Adapters, map[string]int{"a1": 1})
}
