package edge

import (
	"fmt"
	"net/http"
	"strconv"
	"testing"
	"time"

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
	d.eventually("engines reported", func() bool {
		return d.do(0, request{Method: "POST", Path: "/chat/x", Model: "m1/a1"}).Status == http.StatusOK
	})
	arrivals := 0
	for _, e := range d.Engines {
		e.SetLeaving(true)
		arrivals += e.Arrivals()
	}
	d.eventually("both engines state it in answers to orders", func() bool {
		d.do(0, request{Method: "POST", Path: "/chat/x", Model: "m1/a2"})
		return d.logged("replica leaves", "replica=engine-0") && d.logged("replica leaves", "replica=engine-1")
	})
	is.Equal(d.Engines[0].Arrivals()+d.Engines[1].Arrivals(), arrivals)
}

// Guards against requests to a replica that has refused one with a Retry-After, before
// that time is over, and against one that gets none afterwards.
func TestReplicaThatBacksOffGetsNoRequests(t *testing.T) {
	is := is.New(t)
	d := startDeployment(t, 1)
	app, look := d.Apps[0], request{Method: "GET", Path: "/look/x"}
	const pause = 1500 * time.Millisecond
	app.SetShedding("1.5")
	started := time.Now()
	d.sendUntilArrival(app, look)
	app.SetShedding("")
	before := app.Arrivals()
	for time.Since(started) < pause-200*time.Millisecond {
		is.Equal(d.do(0, look).Status, http.StatusOK)
		time.Sleep(10 * time.Millisecond)
	}
	if arrivals := app.Arrivals(); time.Since(started) < pause { // otherwise the machine stalled
		is.Equal(arrivals, before)
	}
	d.sendUntilArrival(app, look)
	is.True(time.Since(started) > pause)
}

// Guards against requests that wait, or are sent, while all replicas back off, and
// against a refusal that does not state when the first of them accepts requests again.
func TestAllReplicasBackOff(t *testing.T) {
	is := is.New(t)
	d := startDeployment(t, 1)
	d.Apps[0].SetShedding("5")
	d.Apps[1].SetShedding("30")
	book := request{Method: "POST", Path: "/book/x", Body: "b"}
	d.eventually("both replicas back off", func() bool {
		d.do(0, book)
		return d.logged("replica backs off", "replica=app-0") && d.logged("replica backs off", "replica=app-1")
	})
	arrivals := d.Apps[0].Arrivals() + d.Apps[1].Arrivals()
	for range 10 {
		got := d.do(0, book)
		is.NoErr(got.Err)
		is.Equal(got.Status, http.StatusServiceUnavailable)
		is.Equal(got.Body, "replicas-paused\n")
		seconds, err := strconv.ParseFloat(got.Header.Get("Retry-After"), 64)
		is.NoErr(err)
		is.True(seconds > 0 && seconds <= 5)
	}
	is.Equal(d.Apps[0].Arrivals()+d.Apps[1].Arrivals(), arrivals)
}

// Guards against a malformed Retry-After that keeps requests away from a replica, or
// that leaves no trace in the log.
func TestMalformedRetryAfterIsIgnored(t *testing.T) {
	d := startDeployment(t, 1)
	app, look := d.Apps[0], request{Method: "GET", Path: "/look/x"}
	for _, value := range []string{"-3", "soon", "NaN"} {
		app.SetShedding(value)
		d.sendUntilArrival(app, look)
		d.sendUntilArrival(app, look)
		d.eventually(value+" is logged", func() bool { return d.logged("answer header ignored", "replica="+app.ID, value) })
	}
}
