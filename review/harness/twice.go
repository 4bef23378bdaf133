package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// reuseTime is the time after which the address of a replica that has ended can go to
	// a replica of another service (reuse-after-s).
	reuseTime = 2 * time.Second
	// firstEntry is the time from the start of a replica to its first entry.
	firstEntry = time.Second
	// twiceRounds is the number of replicas that are replaced one after another.
	twiceRounds = 10
)

// playTwice: replicas of the model engine crash for good, and their addresses go to
// replicas of the booking service. These answer 421 to calls of the holder that are meant
// for the process before, and send one of these answers a second time when the next answer
// on its channel is expected.
func playTwice(p *play) (bool, error) {
	var err error
	if p.store, err = newStore(); err != nil {
		return false, err
	}
	var engines, apps []*replica
	zones := []string{"kul-a", "kul-b", "kul-c"}
	for k := range 12 {
		r, err := newReplica(p.record, fmt.Sprintf("i-llm-%d", k+1), "petik-llm", zones[k%3], "m1", "m2", "m3")
		if err != nil {
			return false, err
		}
		r.register(p.store, r.address)
		engines = append(engines, r)
	}
	for k := range 3 {
		r, err := newReplica(p.record, fmt.Sprintf("i-app-%d", k+1), "petik-app", zones[k])
		if err != nil {
			return false, err
		}
		r.register(p.store, r.address)
		apps = append(apps, r)
	}
	adapterSlots = 5 // fewer places than adapters, so that the holder gives orders all the time
	p.store.put("op", "config", config(7, "petik-app", false))
	if err := p.startInstances(3, p.store.address); err != nil {
		return false, err
	}
	var wg sync.WaitGroup
	var adapter atomic.Int64
	stop := make(chan struct{})
	ask := func(every time.Duration, call func() (front string, c call)) {
		wg.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(every):
				}
				wg.Go(func() {
					front, c := call()
					send(p.record, front, c)
				})
			}
		})
	}
	for _, i := range p.instances {
		ask(20*time.Millisecond, func() (string, call) {
			return i.front, call{method: http.MethodPost, path: "/book/2f", deadline: 2500 * time.Millisecond, body: []byte("booking")}
		})
		ask(40*time.Millisecond, func() (string, call) {
			n := int(adapter.Add(1))
			return i.front, call{method: http.MethodPost, path: "/chat/2f", model: fmt.Sprintf("m%d/a%d", n%3+1, n/3%adapterCounts[n%3]+1), deadline: 2 * time.Second, body: []byte("x")}
		})
	}
	time.Sleep(3 * time.Second)
	for _, old := range engines[:twiceRounds] {
		old.crashForGood(p.store)
		time.Sleep(reuseTime)
		r, err := newReplicaAt(p.record, old.address, fmt.Sprintf("i-app-%d", len(apps)+1), "petik-app", old.zone)
		if err != nil {
			return false, err
		}
		apps = append(apps, r)
		if p.trouble {
			r.mu.Lock()
			r.extraFrom, r.extraUntil = time.Now().Add(firstEntry-300*time.Millisecond), time.Now().Add(firstEntry+time.Second)
			r.mu.Unlock()
		}
		p.add("%s starts at the address of %s", r.id, old.id)
		time.Sleep(firstEntry)
		r.register(p.store, r.address)
		time.Sleep(5 * time.Second)
	}
	close(stop)
	wg.Wait()
	return p.judgeTwice(apps), nil
}

// judgeTwice reports whether bookings ran more than once.
func (p *play) judgeTwice(apps []*replica) bool {
	ran := make(map[string][]string)
	for _, r := range apps {
		r.mu.Lock()
		for _, run := range r.runs {
			ran[run.id] = append(ran[run.id], r.id)
		}
		r.mu.Unlock()
	}
	twice := 0
	for id, at := range ran {
		if len(at) > 1 {
			twice++
			p.say("TWICE: booking %s ran at %v", id, at)
		}
	}
	p.say("%d of %d bookings ran more than once", twice, len(ran))
	return twice > 0
}
