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
	// bookingAttempts limits how many times a caller sends a booking under one key.
	bookingAttempts = 4
)

// load generates a small mixed load on the ready instances: streams from models and
// adapters, and bookings with an idempotency key that are repeated through random
// instances until they are confirmed or bookingAttempts is reached.
type load struct {
	deployment     *deployment
	readyInstances atomic.Pointer[[]*instance] // the targets of a load balancer
	stop           chan struct{}
	goroutines     sync.WaitGroup
	mu             sync.Mutex
	result         outcomes
}

// outcomes collects the responses that the callers of a load received.
type outcomes struct {
	answered int
	refused  []string // prompts of the requests answered with executed "no"
	failed   []error  // all other errors
	bookings []bookingResult
}

func (d *deployment) startLoad(seed uint64) *load {
	l := &load{deployment: d, stop: make(chan struct{})}
	l.updateReadyInstances()
	l.goroutines.Go(func() { l.runUntilStopped(func() { l.updateReadyInstances(); time.Sleep(100 * time.Millisecond) }) })
	for n := range streamCallers + bookingCallers {
		random := rand.New(rand.NewPCG(seed, uint64(n)))
		if n < streamCallers {
			l.goroutines.Go(func() { l.runUntilStopped(func() { l.sendStream(random) }) })
		} else {
			l.goroutines.Go(func() { l.runUntilStopped(func() { l.bookUntilConfirmed(random) }) })
		}
	}
	d.t.Cleanup(func() { l.stopAndWait() })
	return l
}

func (l *load) runUntilStopped(action func()) {
	for {
		select {
		case <-l.stop:
			return
		default:
			action()
		}
	}
}

// stopAndWait stops the load, waits for all calls to end and returns the outcomes.
// It can be called more than once.
func (l *load) stopAndWait() outcomes {
	l.mu.Lock()
	select {
	case <-l.stop:
	default:
		close(l.stop)
	}
	l.mu.Unlock()
	l.goroutines.Wait()
	return l.result
}

func (l *load) updateReadyInstances() {
	var ready []*instance
	for _, i := range l.deployment.members() {
		if i.isReady() {
			ready = append(ready, i)
		}
	}
	l.readyInstances.Store(&ready)
}

func (l *load) pickInstance(random *rand.Rand) *instance {
	for {
		if ready := *l.readyInstances.Load(); len(ready) > 0 {
			return ready[random.IntN(len(ready))]
		}
		select {
		case <-time.After(20 * time.Millisecond):
		case <-l.stop:
			return l.deployment.members()[0]
		}
	}
}

func (l *load) sendStream(random *rand.Rand) {
	text, names := uniqueText("load"), modelRowNames()
	err := checkAnswer(l.deployment.ctx, l.pickInstance(random), names[random.IntN(len(names))], text, 1+random.IntN(60))
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case err == nil:
		l.result.answered++
	case isNotExecuted(err):
		l.result.refused = append(l.result.refused, text)
	default:
		l.result.failed = append(l.result.failed, err)
	}
	if err != nil {
		time.Sleep(10 * time.Millisecond) // refused callers must not retry in a busy loop
	}
}

func (l *load) bookUntilConfirmed(random *rand.Rand) {
	reference := uniqueText("booking")
	for range bookingAttempts {
		b := sendBooking(l.deployment.ctx, l.pickInstance(random), reference, "key of "+reference)
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

// checkSafety asserts the properties that hold under any fault: answers are complete
// and reach the right callers (I3), refused requests did not run (I4), bookings were
// executed at most once (I5), and memory was never overcommitted (I1).
func (d *deployment) checkSafety(o outcomes) {
	d.t.Helper()
	for _, err := range o.failed {
		if errors.Is(err, errWrongAnswer) {
			d.t.Error(err)
		} else {
			d.t.Log(err)
		}
	}
	started := d.startsByPrompt()
	for _, text := range o.refused {
		if n := started.forText(text); n > 0 {
			d.t.Errorf(`request %q was refused with executed "no", but engines started it %d times`, text, n)
		}
	}
	checkBookings(d.t, o.bookings, d.bookingExecutions())
	d.checkMemory()
	d.t.Logf("%d streams answered, %d refused, %d failed; %d booking calls", o.answered, len(o.refused), len(o.failed), len(o.bookings))
}

// checkAllServed asserts that every stream was answered or refused and every booking
// was confirmed at the first attempt.
func checkAllServed(t *testing.T, o outcomes) {
	t.Helper()
	for _, err := range o.failed {
		t.Error(err)
	}
	if i := slices.IndexFunc(o.bookings, func(b bookingResult) bool { return b.status != 201 }); i >= 0 {
		t.Error(fmt.Errorf("booking was not confirmed: %+v", o.bookings[i]))
	}
	if o.answered == 0 || len(o.bookings) == 0 {
		t.Error("the load has no answered stream or no booking")
	}
}
