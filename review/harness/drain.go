package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	drainTime = 2 * time.Second // drain-ms
	// lingerTime is how long a replica serves beyond drainTime after its entry is removed.
	lingerTime = 600 * time.Millisecond
	// rounds is the number of replicas that leave one after another.
	rounds = 3
)

// playDrain: the channels on which a call to the store waits fall silent, among them the
// one on which the holder of the order lease follows the list of replicas. Later a replica
// leaves: its entry is removed, it serves for drain-ms and a little longer, and ends.
func playDrain(p *play) (bool, error) {
	var err error
	if p.store, err = newStore(); err != nil {
		return false, err
	}
	link, err := newProxy("127.0.0.1", p.store.address)
	if err != nil {
		return false, err
	}
	replicas := make([]*replica, 6)
	for k := range replicas {
		zone := []string{"kul-a", "kul-b", "kul-c"}[k%3]
		if replicas[k], err = newReplica(p.record, fmt.Sprintf("i-app-%d", k+1), "petik-app", zone); err != nil {
			return false, err
		}
		replicas[k].work = 150 * time.Millisecond
		replicas[k].register(p.store, replicas[k].address)
	}
	p.store.put("op", "config", config(7, "petik-app", false))
	if err := p.startInstances(3, link.address); err != nil {
		return false, err
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	var results []result
	stop := make(chan struct{})
	for _, i := range p.instances {
		wg.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(40 * time.Millisecond):
				}
				wg.Go(func() {
					a := send(p.record, i.front, call{method: http.MethodPost, path: "/book/2f", deadline: 2500 * time.Millisecond, body: []byte("booking")})
					mu.Lock()
					defer mu.Unlock()
					results = append(results, a)
				})
			}
		})
	}
	time.Sleep(8 * time.Second)
	acked := make(map[string]time.Time)
	for _, leaving := range replicas[:rounds] {
		if p.trouble {
			silenced, others := link.silence(func(c *channel) bool { return c.waiting.Load() })
			p.say("%d channels to the store, on which a call waits, fall silent; %d go on", silenced, others)
		}
		time.Sleep(1500 * time.Millisecond)
		leaving.leave(p.store)
		acked[leaving.id] = time.Now()
		p.say("the store has removed the entry of %s", leaving.id)
		time.Sleep(drainTime + lingerTime)
		leaving.end()
		p.say("%s ends", leaving.id)
		time.Sleep(9 * time.Second)
	}
	close(stop)
	wg.Wait()
	broken := false
	for _, r := range replicas[:rounds] {
		broken = p.judgeDrain(r, acked[r.id], results) || broken
	}
	return broken, nil
}

// judgeDrain reports whether requests reached the replica later than drain-ms after its
// entry was removed, and counts the bookings that were sent then and cut off by its end.
func (p *play) judgeDrain(r *replica, acked time.Time, results []result) bool {
	sent := make(map[string]time.Time)
	lost := 0
	for _, a := range results {
		sent[a.id] = a.sent
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	late := 0
	status := make(map[string]int)
	for _, a := range results {
		status[a.id] = a.status
	}
	for _, run := range r.runs {
		if sent[run.id].Sub(acked) > drainTime {
			late++
			if status[run.id] != http.StatusOK {
				lost++
			}
			p.add("LATE: %s was sent %s after the removal of %s and reached it; answer: %d", run.id, sent[run.id].Sub(acked).Round(time.Millisecond), r.id, status[run.id])
		}
	}
	p.say("%d requests reached %s later than drain-ms after its removal; %d of these bookings were cut off by its end", late, r.id, lost)
	return late > 0
}
