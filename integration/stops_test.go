//go:build linux

package integration

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against a deployment of real processes that does not serve at all, and
// against a booking that is executed twice when it is repeated under one idempotency
// key through every instance.
func TestEveryRowIsServedThroughEveryInstance(t *testing.T) {
	is := is.New(t)
	d := startDeployment(t, options{})
	var results []bookingResult
	for _, i := range d.members() {
		results = append(results, sendBooking(t.Context(), i, "first", "key-first"))
	}
	for _, b := range results {
		is.Equal(b.status, 201)
		is.Equal(b.executed, "yes")
	}
	checkBookings(t, results, d.bookingExecutions())
	d.checkMemory()
}

// Guards against planned stops that break off requests in flight (I7), lose accepted
// requests or execute bookings twice (I5). Under load, the instances are replaced one
// after another, and then all at once.
func TestEveryInstanceIsReplacedUnderLoad(t *testing.T) {
	d := startDeployment(t, options{})
	l := d.startLoad(1)
	for _, old := range d.members() {
		d.replaceInstances(old)
	}
	d.replaceInstances(d.members()...)
	o := l.stopAndWait()
	d.checkSafety(o)
	checkAllServed(t, o)
	d.waitReachable()
}

// longStreamTokens is the length of an answer. At 5 ms or more per token, the stream
// takes longer than a load balancer needs to detect a planned stop.
const longStreamTokens = 500

// replaceInstances starts new instances and then stops the old ones gracefully. Each
// old instance serves a stream that lasts beyond the start of its shutdown.
func (d *deployment) replaceInstances(old ...*instance) {
	d.t.Helper()
	var fresh []*instance
	for range old {
		fresh = append(fresh, d.startInstance())
	}
	for _, i := range fresh {
		waitFor(d.t, i.id+" to be ready", i.isReady)
	}
	ends := make(chan error, len(old))
	for n, i := range old {
		started := make(chan struct{})
		go func() {
			_, err := streamAnswer(d.ctx, i, modelName(n%modelCount), uniqueText("long"), longStreamTokens, func() { close(started) })
			ends <- err
		}()
		<-started
	}
	for _, i := range old {
		i.terminate()
	}
	for range old {
		if err := <-ends; err != nil {
			d.t.Errorf("stream during a planned stop: %v", err)
		}
	}
	for _, i := range old {
		waitFor(d.t, i.id+" to end", i.hasEnded)
		if code := i.cmd.ProcessState.ExitCode(); code != 0 {
			d.t.Errorf("%s exited with code %d", i.id, code)
		}
		d.removeInstance(i)
	}
}

// Guards against new requests to an endpoint that is marked as leaving in the
// platform's list or in its own report (I6), and against breaking off its requests in
// flight.
func TestLeavingEndpointsGetNoNewWork(t *testing.T) {
	is := is.New(t)
	d := startDeployment(t, options{})
	l := d.startLoad(2)
	listed := d.engines[0]
	listed.listEntry.Leaving = true
	d.listEndpoint(listed.listEntry)
	d.waitLeaving(listed)
	d.checkNoNewWork(listed)
	listed.listEntry.Leaving = false
	d.listEndpoint(listed.listEntry)
	d.waitReachable()

	reported := d.engines[1]
	is.NoErr(callStandin("PUT", "http://"+reported.directAddress+"/leaving?value=true", nil, nil))
	d.waitLeaving(reported)
	d.checkNoNewWork(reported)
	o := l.stopAndWait()
	d.checkSafety(o)
	for _, err := range o.failed {
		t.Error(err)
	}
}

// waitLeaving waits until the status of every instance shows the endpoint as leaving.
func (d *deployment) waitLeaving(e *endpoint) {
	d.t.Helper()
	waitFor(d.t, "the leaving mark of "+e.listEntry.ID, func() bool {
		for _, i := range d.members() {
			s, err := i.newOperatorClient().Status(d.ctx)
			if err != nil {
				return false
			}
			for _, seen := range s.Endpoints {
				if seen.ID == e.listEntry.ID && !seen.Leaving {
					return false
				}
			}
		}
		return true
	})
}

// checkNoNewWork asserts that the engine accepts no request while the load continues.
func (d *deployment) checkNoNewWork(e *endpoint) {
	d.t.Helper()
	// A request that was granted just before the endpoint was marked can still be in
	// transit. It arrives before the next requests of the load finish.
	d.waitRequestsFinished(20)
	before := d.readEngineCounts(e).Total.Accepted
	d.waitRequestsFinished(100)
	if after := d.readEngineCounts(e).Total.Accepted; after != before {
		d.t.Errorf("%s accepted %d requests while leaving", e.listEntry.ID, after-before)
	}
}

// waitRequestsFinished waits until the engines together have finished n more requests.
func (d *deployment) waitRequestsFinished(n int) {
	d.t.Helper()
	finished := func() int {
		sum := 0
		for _, e := range d.engines {
			sum += d.readEngineCounts(e).Total.Finished
		}
		return sum
	}
	target := finished() + n
	waitFor(d.t, "more requests to finish", func() bool { return finished() >= target })
}
