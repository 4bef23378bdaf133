//go:build linux

package integration

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against a deployment of real processes that can't serve at all, and
// against keyed bookings that run twice when repeated through every instance.
func TestEveryRowIsServedThroughEveryInstance(t *testing.T) {
	is := is.New(t)
	d := startDeployment(t, options{})
	var told []booking
	for _, i := range d.members() {
		told = append(told, book(t.Context(), i, "first", "key-first"))
	}
	for _, b := range told {
		is.Equal(b.status, 201)
		is.Equal(b.executed, "yes")
	}
	checkBookings(t, told, d.executions())
	d.checkMemory()
}

// Guards against planned stops that cut requests in flight (I7), lose accepted
// work or repeat bookings (I5): every instance is replaced one after another
// under load, and then all of them within one drain.
func TestEveryInstanceIsReplacedUnderLoad(t *testing.T) {
	d := startDeployment(t, options{})
	l := d.startLoad(1)
	for _, old := range d.members() {
		d.replace(old)
	}
	d.replace(d.members()...)
	o := l.end()
	d.checkSafety(o)
	checkNothingCut(t, o)
	d.waitReachable()
}

// longStream is a request that outlasts the time in which a balancer notices a stop.
const longStream = 500 // tokens, at 5 ms or more each

// replace starts new instances and then stops the old ones gracefully. A
// stream on each old instance spans its stop.
func (d *deployment) replace(old ...*instance) {
	d.t.Helper()
	var fresh []*instance
	for range old {
		fresh = append(fresh, d.startInstance())
	}
	for _, i := range fresh {
		waitFor(d.t, i.id+" to be ready", i.ready)
	}
	ends := make(chan error, len(old))
	for n, i := range old {
		begun := make(chan struct{})
		go func() {
			_, err := stream(d.ctx, i, modelName(n%modelCount), newText("long"), longStream, func() { close(begun) })
			ends <- err
		}()
		<-begun
	}
	for _, i := range old {
		i.terminate()
	}
	for range old {
		if err := <-ends; err != nil {
			d.t.Errorf("stream over a planned stop: %v", err)
		}
	}
	for _, i := range old {
		waitFor(d.t, i.id+" to end", i.ended)
		if code := i.cmd.ProcessState.ExitCode(); code != 0 {
			d.t.Errorf("%s ended with code %d", i.id, code)
		}
		d.remove(i)
	}
}

// Guards against new work on an endpoint that is marked as leaving (I6), in
// the platform's list or in its own report, and against its requests in flight
// being cut.
func TestLeavingEndpointsGetNoNewWork(t *testing.T) {
	is := is.New(t)
	d := startDeployment(t, options{})
	l := d.startLoad(2)
	listed := d.engines[0]
	listed.message.Leaving = true
	d.list(listed.message)
	d.waitLeaving(listed)
	d.checkNoNewWork(listed)
	listed.message.Leaving = false
	d.list(listed.message)
	d.waitReachable()

	reported := d.engines[1]
	is.NoErr(call("PUT", "http://"+reported.direct+"/leaving?value=true", nil, nil))
	d.waitLeaving(reported)
	d.checkNoNewWork(reported)
	o := l.end()
	d.checkSafety(o)
	for _, err := range o.failed {
		t.Error(err)
	}
}

// waitLeaving waits until every instance shows the endpoint as leaving.
func (d *deployment) waitLeaving(e *endpoint) {
	d.t.Helper()
	waitFor(d.t, "the leaving mark of "+e.message.ID, func() bool {
		for _, i := range d.members() {
			s, err := i.operator().Status(d.ctx)
			if err != nil {
				return false
			}
			for _, seen := range s.Endpoints {
				if seen.ID == e.message.ID && !seen.Leaving {
					return false
				}
			}
		}
		return true
	})
}

// checkNoNewWork lets the load go on and compares the engine's counts.
func (d *deployment) checkNoNewWork(e *endpoint) {
	d.t.Helper()
	// A request granted just before the mark may still be on its way: the next
	// answers of the load come after it.
	d.waitWork(20)
	before := d.counts(e).Total.Accepted
	d.waitWork(100)
	if after := d.counts(e).Total.Accepted; after != before {
		d.t.Errorf("%s accepted %d requests while leaving", e.message.ID, after-before)
	}
}

// waitWork waits until the engines have finished n more requests.
func (d *deployment) waitWork(n int) {
	d.t.Helper()
	finished := func() int {
		sum := 0
		for _, e := range d.engines {
			sum += d.counts(e).Total.Finished
		}
		return sum
	}
	target := finished() + n
	waitFor(d.t, "more requests to finish", func() bool { return finished() >= target })
}
