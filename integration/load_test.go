//go:build linux

package integration

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

const (
	streamCallers  = 6
	bookingCallers = 2
	// bookingAttempts is how often a caller sends a booking under one key.
	bookingAttempts = 4
)

// load is a small mixed load on the ready instances: streams of models and
// adapters, and bookings with a key, which are repeated through other
// instances until they are confirmed.
type load struct {
	d      *deployment
	ready  atomic.Pointer[[]*instance] // what a balancer would use
	stop   chan struct{}
	wait   sync.WaitGroup
	mu     sync.Mutex
	result outcomes
}

// outcomes is what the callers of a load were told.
type outcomes struct {
	answered int
	refused  []string // texts of requests that were answered with executed "no"
	failed   []error  // every other error
	bookings []booking
}

func (d *deployment) startLoad(seed uint64) *load {
	l := &load{d: d, stop: make(chan struct{})}
	l.balance()
	l.wait.Go(func() { l.repeat(func() { l.balance(); time.Sleep(100 * time.Millisecond) }) })
	for n := range streamCallers + bookingCallers {
		random := rand.New(rand.NewPCG(seed, uint64(n)))
		if n < streamCallers {
			l.wait.Go(func() { l.repeat(func() { l.stream(random) }) })
		} else {
			l.wait.Go(func() { l.repeat(func() { l.booking(random) }) })
		}
	}
	d.t.Cleanup(func() { l.end() })
	return l
}

func (l *load) repeat(step func()) {
	for {
		select {
		case <-l.stop:
			return
		default:
			step()
		}
	}
}

// end stops the load, waits for every call and returns the outcomes.
func (l *load) end() outcomes {
	l.mu.Lock()
	select {
	case <-l.stop:
	default:
		close(l.stop)
	}
	l.mu.Unlock()
	l.wait.Wait()
	return l.result
}

func (l *load) balance() {
	var ready []*instance
	for _, i := range l.d.members() {
		if i.ready() {
			ready = append(ready, i)
		}
	}
	l.ready.Store(&ready)
}

func (l *load) pick(random *rand.Rand) *instance {
	for {
		if ready := *l.ready.Load(); len(ready) > 0 {
			return ready[random.IntN(len(ready))]
		}
		select {
		case <-time.After(20 * time.Millisecond):
		case <-l.stop:
			return l.d.members()[0]
		}
	}
}

func (l *load) stream(random *rand.Rand) {
	text, names := newText("load"), served()
	err := checkAnswer(l.d.ctx, l.pick(random), names[random.IntN(len(names))], text, 1+random.IntN(60))
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case err == nil:
		l.result.answered++
	case saidNo(err):
		l.result.refused = append(l.result.refused, text)
	default:
		l.result.failed = append(l.result.failed, err)
	}
	if err != nil {
		time.Sleep(10 * time.Millisecond) // callers that are refused don't spin
	}
}

func (l *load) booking(random *rand.Rand) {
	reference := newText("booking")
	for range bookingAttempts {
		b := book(l.d.ctx, l.pick(random), reference, "key of "+reference)
		l.mu.Lock()
		l.result.bookings = append(l.result.bookings, b)
		l.mu.Unlock()
		if b.status == 201 {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	time.Sleep(20 * time.Millisecond)
}

// checkSafety asserts what must hold whatever failed: whole answers to the
// right callers (I3), refusals that did not run (I4), bookings that ran at most
// once (I5) and memory that was never overcommitted (I1).
func (d *deployment) checkSafety(o outcomes) {
	d.t.Helper()
	for _, err := range o.failed {
		if errors.Is(err, errWrongAnswer) {
			d.t.Error(err)
		} else {
			d.t.Log(err)
		}
	}
	started := d.started()
	for _, text := range o.refused {
		if n := started.of(text); n > 0 {
			d.t.Errorf(`request %q was refused with executed "no", but engines started it %d times`, text, n)
		}
	}
	checkBookings(d.t, o.bookings, d.executions())
	d.checkMemory()
	d.t.Logf("%d streams answered, %d refused, %d failed; %d calls of bookings", o.answered, len(o.refused), len(o.failed), len(o.bookings))
}

// checkNothingCut asserts that every stream was answered or refused and every
// booking was confirmed at once.
func checkNothingCut(t *testing.T, o outcomes) {
	t.Helper()
	for _, err := range o.failed {
		t.Error(err)
	}
	if i := slices.IndexFunc(o.bookings, func(b booking) bool { return b.status != 201 }); i >= 0 {
		t.Error(fmt.Errorf("booking was not confirmed: %+v", o.bookings[i]))
	}
	if o.answered == 0 || len(o.bookings) == 0 {
		t.Error("the load had no effect")
	}
}
