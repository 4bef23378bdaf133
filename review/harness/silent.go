package main

import (
	"net/http"
	"strings"
	"sync"
	"time"
)

// playSilent: channels to the store on which a call has waited for a while fall silent at
// all instances; more than contact-ms later, the operator moves routes.
func playSilent(p *play) (bool, error) {
	var err error
	if p.store, err = newStore(); err != nil {
		return false, err
	}
	link, err := newProxy("127.0.0.1", p.store.address)
	if err != nil {
		return false, err
	}
	for _, r := range []struct{ id, service, zone string }{
		{"i-old-1", "petik-app", "kul-a"}, {"i-old-2", "petik-app", "kul-b"}, {"i-new-1", "petik-app2", "kul-a"}, {"i-new-2", "petik-app2", "kul-b"},
	} {
		replica, err := newReplica(p.record, r.id, r.service, r.zone)
		if err != nil {
			return false, err
		}
		replica.register(p.store, replica.address)
	}
	p.store.put("op", "config", config(7, "petik-app", false))
	if err := p.startInstances(3, link.address); err != nil {
		return false, err
	}
	time.Sleep(8 * time.Second)
	if p.trouble {
		silenced, others := link.silence(func(c *channel) bool { return c.isIdle(5 * time.Second) })
		p.say("%d channels to the store fall silent, %d go on", silenced, others)
	}
	time.Sleep(4 * time.Second) // contact-ms is 3 s
	p.store.put("op", "config", config(12, "petik-app2", true))
	acked := time.Now()
	p.say("the store has acknowledged config version 12: /look/ and /book/ move to petik-app2, /more/ is new")
	time.Sleep(2 * time.Second) // config-ms
	var mu sync.Mutex
	var wg sync.WaitGroup
	stale, missing, total := 0, 0, 0
	for time.Since(acked) < 8*time.Second {
		for n, i := range p.instances {
			for _, c := range []call{
				{method: http.MethodGet, path: "/look/2f", deadline: 2500 * time.Millisecond},
				{method: http.MethodPost, path: "/book/2f", deadline: 2500 * time.Millisecond, body: []byte("booking")},
				{method: http.MethodGet, path: "/more/2f", deadline: 2500 * time.Millisecond},
			} {
				wg.Go(func() {
					a := send(p.record, i.front, c)
					mu.Lock()
					defer mu.Unlock()
					total++
					switch {
					case strings.HasPrefix(a.seal, "seal.i-old-"):
						stale++
						p.add("STALE: %s, sent %s after the ack, was run by the old service through instance %d", a.id, a.sent.Sub(acked).Round(time.Millisecond), n+1)
					case a.status == http.StatusNotFound:
						missing++
						p.add("STALE: %s, sent %s after the ack, got 404 from instance %d though its route is there", a.id, a.sent.Sub(acked).Round(time.Millisecond), n+1)
					}
				})
			}
		}
		time.Sleep(250 * time.Millisecond)
	}
	wg.Wait()
	p.say("of %d requests sent 2 to 8 s after the ack, %d were run by the old service and %d got 404", total, stale, missing)
	return stale+missing > 0, nil
}
