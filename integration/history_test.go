//go:build linux

package integration

import (
	"math/rand/v2"
	"sync"
	"testing"
	"time"
)

const (
	historyCallers  = 10
	historyBookings = 12 // per caller
)

// Guards against bookings that are executed twice (I5), confirmed but not executed,
// or executed although every call was answered with executed "no" (I4). Callers
// repeat keys through other instances and reuse them with other bodies, while
// instances are killed, responses of the store are lost, and connections to the
// services and the store fail at random moments (F3, F5, F6).
func TestBookingHistory(t *testing.T) {
	const seed = 11
	t.Logf("seed %d", seed)
	d := startDeployment(t, options{})
	l := &load{deployment: d, stop: make(chan struct{})}
	l.updateReadyInstances()
	l.goroutines.Go(func() { l.runUntilStopped(func() { l.updateReadyInstances(); time.Sleep(100 * time.Millisecond) }) })
	var callers sync.WaitGroup
	for n := range historyCallers {
		random := rand.New(rand.NewPCG(seed, uint64(n)))
		callers.Go(func() {
			for range historyBookings {
				l.sendBookingHistory(random)
			}
		})
	}
	done := make(chan struct{})
	go func() { callers.Wait(); close(done) }()
	random := rand.New(rand.NewPCG(seed, 1000))
	for running := true; running; {
		d.injectFault(random)
		select {
		case <-done:
			running = false
		default:
		}
	}
	results := l.stopAndWait().bookings
	executions := d.bookingExecutions()
	checkBookings(t, results, executions)
	statuses := make(map[int]int)
	for _, b := range results {
		statuses[b.status]++
	}
	t.Logf("%d calls, %d bookings ran, answers by status: %v", len(results), len(executions), statuses)
}

// sendBookingHistory sends a booking up to five times under one key through random
// instances. In a third of the cases, a concurrent call uses the same key with
// another body.
func (l *load) sendBookingHistory(random *rand.Rand) {
	reference, other := uniqueText("history"), uniqueText("other body")
	key := "key of " + reference
	var concurrent sync.WaitGroup
	defer concurrent.Wait()
	if random.IntN(3) == 0 {
		i := l.pickInstance(random)
		concurrent.Go(func() { l.sendBooking(i, other, key) })
	}
	for range 1 + random.IntN(5) {
		l.sendBooking(l.pickInstance(random), reference, key)
		time.Sleep(time.Duration(random.IntN(100)) * time.Millisecond)
	}
}

func (l *load) sendBooking(i *instance, reference, key string) {
	b := sendBooking(l.deployment.ctx, i, reference, key)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.result.bookings = append(l.result.bookings, b)
}

// injectFault injects a random fault and ends it. Faults of the booking services stay
// set until they are used up.
func (d *deployment) injectFault(random *rand.Rand) {
	d.t.Helper()
	pause := func() { time.Sleep(time.Duration(100+random.IntN(300)) * time.Millisecond) }
	service := d.services[random.IntN(serviceCount)]
	members := d.members()
	i := members[random.IntN(len(members))]
	switch random.IntN(7) {
	case 0:
		i.kill()
		d.removeInstance(i)
		fresh := d.startInstance()
		waitFor(d.t, fresh.id+" to be ready", fresh.isReady)
	case 1:
		d.setPlatformFaults("tables", `{"lose_probability":0.3}`)
		pause()
		d.setPlatformFaults("tables", noFaults)
	case 2:
		service.link.flap()
	case 3:
		service.link.dropData(answerDirection)
		pause()
		service.link.clearToxics()
	case 4:
		service.link.delay(requestDirection, 100*time.Millisecond)
		pause()
		service.link.flap()
		service.link.clearToxics()
	case 5:
		i.platformLink.dropData(answerDirection)
		pause()
		i.platformLink.clearToxics()
	case 6:
		d.setBookingServiceFaults(`{"cut":2,"garbage":1,"refuse":1}`)
		pause()
	}
}
