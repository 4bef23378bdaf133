package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// playExtra: a replica starts again under its id, refuses an order of the holder with 409
// because its count of orders began anew, and sends that answer a second time when the next
// answer on the channel is expected.
func playExtra(p *play) (bool, error) {
	var err error
	if p.store, err = newStore(); err != nil {
		return false, err
	}
	replicas := make([]*replica, 6)
	for k := range replicas {
		zone := []string{"kul-a", "kul-b", "kul-c"}[k%3]
		if replicas[k], err = newReplica(p.record, fmt.Sprintf("i-llm-%d", k+1), "petik-llm", zone, "m1", "m2", "m3"); err != nil {
			return false, err
		}
		replicas[k].register(p.store, replicas[k].address)
	}
	p.store.put("op", "config", config(7, "petik-app", false))
	if err := p.startInstances(3, p.store.address); err != nil {
		return false, err
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	var adapter atomic.Int64
	foreign, total := 0, 0
	stop := make(chan struct{})
	ask := func(i *instance, every time.Duration, model func() string) {
		defer wg.Done()
		for {
			select {
			case <-stop:
				return
			case <-time.After(every):
			}
			wg.Go(func() {
				a := send(p.record, i.front, call{method: http.MethodPost, path: "/chat/2f", model: model(), deadline: 2 * time.Second, body: []byte("x")})
				mu.Lock()
				defer mu.Unlock()
				total++
				if a.status == http.StatusConflict {
					foreign++
					p.add("FOREIGN: %s got the answer to an order: %d, seal %q", a.id, a.status, a.seal)
				}
			})
		}
	}
	for _, i := range p.instances {
		wg.Add(2)
		go ask(i, 12*time.Millisecond, func() string { return fmt.Sprintf("m%d", adapter.Add(1)%3+1) })
		go ask(i, 60*time.Millisecond, func() string {
			n := int(adapter.Add(1))
			return fmt.Sprintf("m%d/a%d", n%3+1, n/3%adapterCounts[n%3]+1)
		})
	}
	time.Sleep(3 * time.Second)
	for k := range 12 {
		r := replicas[k%len(replicas)]
		r.mu.Lock()
		r.extraOrders = p.trouble
		r.mu.Unlock()
		r.restart(300*time.Millisecond, 900*time.Millisecond)
		time.Sleep(6 * time.Second)
	}
	close(stop)
	wg.Wait()
	p.say("of %d requests, %d got the 409 of an order", total, foreign)
	return foreign > 0, nil
}
