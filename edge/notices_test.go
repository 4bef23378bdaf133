package edge

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/hyssophaven/hyssophaven/platform/platformtest"
)

// sendUntilArrival sends requests until one of them reaches the replica.
func (d *deployment) sendUntilArrival(r *platformtest.Replica, next request) {
	d.t.Helper()
	before := r.Arrivals()
	d.eventually("a request reaches "+r.ID, func() bool {
		d.do(0, next)
		return r.Arrivals() > before
	})
}

// arrivalsDuring returns the number of requests that reach the replica while count
// requests are sent, all of which must be answered.
func (d *deployment) arrivalsDuring(r *platformtest.Replica, count int, next request) int {
	d.t.Helper()
	before := r.Arrivals()
	for range count {
		got := d.do(0, next)
		if got.Err != nil || got.Status != http.StatusOK {
			d.t.Fatalf("status %d, error %v", got.Status, got.Err)
		}
	}
	return r.Arrivals() - before
}

// applyEntry writes a row of the list of replicas and waits until the instance has
// applied it.
func (d *deployment) applyEntry(r *platformtest.Replica, row platformtest.ReplicaRow) {
	d.t.Helper()
	d.Store.Put("servers", r.ID, row)
	marker := fmt.Sprintf("marker-%d", requestNumber.Add(1))
	d.Store.Put("servers", marker, "not an entry") // rows are read in the order of writes
	d.eventually("the entry is applied", func() bool { return d.logged("replica entry is not usable", "replica="+marker) })
}

// Guards against requests to a replica that has stated in an answer that it leaves,
// while the list of replicas still has it in service.
func TestReplicaThatStatesItLeavesGetsNoRequests(t *testing.T) {
	for name, fault := range map[string]platformtest.Fault{
		"answered": platformtest.None, "failed": platformtest.Fail, "not-executed": platformtest.Shed,
		"misdirected": platformtest.Misdirect, "wrong-request-id": platformtest.WrongRequestID,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := startDeployment(t, 1)
			app, look := d.Apps[0], request{Method: "GET", Path: "/look/x"}
			app.SetLeaving(true)
			app.QueueFaults(fault)
			d.sendUntilArrival(app, look)
			is.Equal(d.arrivalsDuring(app, 20, look), 0)
			d.applyEntry(app, app.Row("app", "z1", "in_service"))
			is.Equal(d.arrivalsDuring(app, 20, look), 0) // the same process
			app.SetLeaving(false)
			restarted := app.Row("app", "z1", "in_service")
			restarted.Born++
			d.applyEntry(app, restarted)
			d.sendUntilArrival(app, look)
		})
	}
}

// Guards against requests to a replica that has stated at the head of a stream that it
// leaves.
func TestReplicaThatLeavesDuringStreamGetsNoRequests(t *testing.T) {
	is := is.New(t)
	d := startDeployment(t, 1)
	engine, chat := d.Engines[0], request{Method: "POST", Path: "/chat/x", Model: "m1"}
	engine.SetLeaving(true)
	d.sendUntilArrival(engine, chat)
	is.Equal(d.arrivalsDuring(engine, 20, chat), 0)
	got := d.do(0, chat)
	is.Equal(got.Header.Get("Server-Leaving"), "")
}

// Guards against requests to a replica that has stated that it leaves only in its
// answer to an order or to a request for a report.
func TestReplicaThatStatesItLeavesToOrdersGetsNoRequests(t *testing.T) {
	is := is.New(t)
	d := startDeployment(t, 0)
	d.Engines[0].SetLeaving(true)
	d.addInstance() // its first call to a replica asks for a report
	d.eventually("the report states it", func() bool { return d.logged("replica leaves", "replica="+d.Engines[0].ID) })
	is.Equal(d.arrivalsDuring(d.Engines[0], 20, request{Method: "POST", Path: "/chat/x", Model: "m1"}), 0)

	d = startDeployment(t, 1)
	engine := d.Engines[1]
	d.eventually("the instance gives orders", func() bool { return d.logged("order lease", "ordering=true") })
	d.eventually("engines reported", func() bool {
		return d.do(0, request{Method: "POST", Path: "/chat/x", Model: "m1/a1"}).Status == http.StatusOK
	})
	engine.SetLeaving(true)
	before := engine.Arrivals()
	for i := 2; !d.logged("replica leaves", "replica="+engine.ID); i++ {
		is.True(i <= 8) // Config declares 8 adapters
		d.do(0, request{Method: "POST", Path: "/chat/x", Model: fmt.Sprintf("m1/a%d", i)})
	}
	is.Equal(engine.Arrivals(), before)
	is.Equal(d.arrivalsDuring(engine, 20, request{Method: "POST", Path: "/chat/x", Model: "m1"}), 0)
}
