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
	historyBookings = 12 // of each caller
)

// Guards against bookings that run twice (I5), are confirmed and missing, or
// ran although every call was answered with executed "no" (I4). Callers repeat
// keys through other instances and reuse them with other bodies, while
// instances are killed, answers of the store are lost, and connections to the
// services and the store are cut at every stage (F3, F5, F6).
func TestBookingHistory(t *testing.T) {
	const seed = 11
	t.Logf("seed %d", seed)
	d := startDeployment(t, options{})
	l := &load{d: d, stop: make(chan struct{})}
	l.balance()
	l.wait.Go(func() { l.repeat(func() { l.balance(); time.Sleep(100 * time.Millisecond) }) })
	var callers sync.WaitGroup
	for n := range historyCallers {
		random := rand.New(rand.NewPCG(seed, uint64(n)))
		callers.Go(func() {
			for range historyBookings {
				l.history(random)
			}
		})
	}
	done := make(chan struct{})
	go func() { callers.Wait(); close(done) }()
	random := rand.New(rand.NewPCG(seed, 1000))
	for running := true; running; {
		d.disturb(random)
		select {
		case <-done:
			running = false
		default:
		}
	}
	told := l.end().bookings
	ran := d.executions()
	checkBookings(t, told, ran)
	statuses := make(map[int]int)
	for _, b := range told {
		statuses[b.status]++
	}
	t.Logf("%d calls, %d bookings ran, answers by status: %v", len(told), len(ran), statuses)
}

// history makes one booking: up to five calls under one key through changing
// instances, beside which another body may use the same key.
func (l *load) history(random *rand.Rand) {
	reference, other := newText("history"), newText("other body")
	key := "key of " + reference
	var beside sync.WaitGroup
	defer beside.Wait()
	if random.IntN(3) == 0 {
		i := l.pick(random)
		beside.Go(func() { l.book(i, other, key) })
	}
	for range 1 + random.IntN(5) {
		l.book(l.pick(random), reference, key)
		time.Sleep(time.Duration(random.IntN(100)) * time.Millisecond)
	}
}

func (l *load) book(i *instance, reference, key string) {
	b := book(l.d.ctx, i, reference, key)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.result.bookings = append(l.result.bookings, b)
}

// disturb causes one fault and ends it.
func (d *deployment) disturb(random *rand.Rand) {
	d.t.Helper()
	pause := func() { time.Sleep(time.Duration(100+random.IntN(300)) * time.Millisecond) }
	service := d.services[random.IntN(serviceCount)]
	members := d.members()
	i := members[random.IntN(len(members))]
	switch random.IntN(7) {
	case 0:
		i.kill()
		d.remove(i)
		fresh := d.startInstance()
		waitFor(d.t, fresh.id+" to be ready", fresh.ready)
	case 1:
		d.faults("tables", `{"lose_probability":0.3}`)
		pause()
		d.faults("tables", healthy)
	case 2:
		service.link.flap()
	case 3:
		service.link.swallow(answers)
		pause()
		service.link.heal()
	case 4:
		service.link.delay(requests, 100*time.Millisecond)
		pause()
		service.link.flap()
		service.link.heal()
	case 5:
		i.platform.swallow(answers)
		pause()
		i.platform.heal()
	case 6:
		d.serviceFaults(`{"cut":2,"garbage":1,"refuse":1}`)
		pause()
	}
}
