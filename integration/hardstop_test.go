//go:build linux

package integration

import (
	"errors"
	"net/http"
	"testing"

	"github.com/matryer/is"
)

// Guards against silent short answers (I3), repeated bookings (I5) and shards
// that stay without an owner when instances are killed in mid-task (F3).
func TestInstancesKilledInMidTask(t *testing.T) {
	is := is.New(t)
	d := startDeployment(t, options{})
	l := d.startLoad(3)
	victim, other := d.members()[0], d.members()[1]
	d.serviceFaults(`{"answer_delay":"3s"}`)

	streams, bookings := make(chan error, 4), make(chan booking, 4)
	begun := make(chan struct{}, 4)
	for n := range cap(streams) {
		go func() {
			_, err := stream(t.Context(), victim, modelName(n), newText("killed"), 5000, func() { begun <- struct{}{} })
			streams <- err
		}()
		go func() { bookings <- book(t.Context(), victim, newText("killed"), "key "+modelName(n)) }()
		<-begun
	}
	before := d.owned(victim.id, other)
	waitFor(t, "the bookings to run", func() bool { return len(d.executions()) >= cap(bookings) })
	victim.kill()
	d.remove(victim)
	for range cap(streams) {
		err := <-streams
		is.True(err != nil) // the caller sees the broken connection
		is.True(!errors.Is(err, errWrongAnswer))
	}
	d.serviceFaults(`{}`)
	var told []booking
	for range cap(bookings) {
		b := <-bookings
		is.Equal(b.status, 0)
		told = append(told, b)
	}
	for n := range cap(bookings) {
		for _, i := range d.members() {
			again := book(t.Context(), i, told[0].reference, "key "+modelName(n))
			is.True(again.status == http.StatusConflict || again.status == http.StatusUnprocessableEntity)
		}
	}
	waitFor(t, "the killed instance's replicas to be taken over", func() bool { return d.owned(victim.id, other) == 0 })
	t.Logf("%d replicas were taken over", before)
	o := l.end()
	o.bookings = append(o.bookings, told...)
	d.checkSafety(o)
	d.waitInForce(d.edit(other, modelName(0), setMinReplicas(2)))
	d.waitReachable()
}

// Guards against short or foreign answers (I3) and overcommitted memory (I1)
// when engines die under running streams (F3).
func TestEnginesDieUnderStreams(t *testing.T) {
	d := startDeployment(t, options{})
	for i := range 2 {
		d.waitInForce(d.edit(d.members()[0], modelName(i), setMinReplicas(2)))
	}
	l := d.startLoad(4)
	for n := range 2 {
		d.waitWork(30)
		d.crash(d.engines[n%engineCount])
	}
	d.waitWork(30)
	o := l.end()
	d.checkSafety(o)
	d.waitReachable()
	d.checkMemory()
}
