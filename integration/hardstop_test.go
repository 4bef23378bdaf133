//go:build linux

package integration

import (
	"errors"
	"net/http"
	"testing"

	"github.com/matryer/is"
)

// Guards against truncated answers without an error (I3), bookings executed twice
// (I5) and shards that remain without an owner when an instance is killed while
// streams and bookings are in flight (F3).
func TestInstancesKilledInMidTask(t *testing.T) {
	is := is.New(t)
	d := startDeployment(t, options{})
	l := d.startLoad(3)
	killed, other := d.members()[0], d.members()[1]
	d.setBookingServiceFaults(`{"answer_delay":"3s"}`)

	streams, bookings := make(chan error, 4), make(chan bookingResult, 4)
	started := make(chan struct{}, 4)
	for n := range cap(streams) {
		go func() {
			_, err := streamAnswer(t.Context(), killed, modelName(n), uniqueText("killed"), 5000, func() { started <- struct{}{} })
			streams <- err
		}()
		go func() { bookings <- sendBooking(t.Context(), killed, uniqueText("killed"), "key "+modelName(n)) }()
		<-started
	}
	ownedBefore := d.ownedReplicas(killed.id, other)
	waitFor(t, "the bookings to run", func() bool { return len(d.bookingExecutions()) >= cap(bookings) })
	killed.kill()
	d.removeInstance(killed)
	for range cap(streams) {
		err := <-streams
		is.True(err != nil) // the broken connection is visible to the caller
		is.True(!errors.Is(err, errWrongAnswer))
	}
	d.setBookingServiceFaults(`{}`)
	var results []bookingResult
	for range cap(bookings) {
		b := <-bookings
		is.Equal(b.status, 0)
		results = append(results, b)
	}
	for n := range cap(bookings) {
		for _, i := range d.members() {
			again := sendBooking(t.Context(), i, results[0].reference, "key "+modelName(n))
			is.True(again.status == http.StatusConflict || again.status == http.StatusUnprocessableEntity)
		}
	}
	waitFor(t, "the killed instance's replicas to be taken over", func() bool { return d.ownedReplicas(killed.id, other) == 0 })
	t.Logf("%d replicas were taken over", ownedBefore)
	o := l.stopAndWait()
	o.bookings = append(o.bookings, results...)
	d.checkSafety(o)
	d.waitRevision(d.editRow(other, modelName(0), setMinReplicas(2)))
	d.waitReachable()
}

// Guards against truncated or swapped answers (I3) and overcommitted memory (I1)
// when engines crash while they stream (F3).
func TestEnginesDieUnderStreams(t *testing.T) {
	d := startDeployment(t, options{})
	for i := range 2 {
		d.waitRevision(d.editRow(d.members()[0], modelName(i), setMinReplicas(2)))
	}
	l := d.startLoad(4)
	for n := range 2 {
		d.waitRequestsFinished(30)
		d.crashEngine(d.engines[n%engineCount])
	}
	d.waitRequestsFinished(30)
	o := l.stopAndWait()
	d.checkSafety(o)
	d.waitReachable()
	d.checkMemory()
}
