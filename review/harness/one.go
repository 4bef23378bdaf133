package main

import (
	"bytes"
	"fmt"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	leaseTurn = 3 * time.Second // lease-ms
	// cutTime is how long the replica is partitioned from the holder. What the holder sends
	// to it meanwhile arrives when TCP sends it again: 0.2, 0.6 and 1.4 s after the first time.
	cutTime    = time.Second
	resendTime = 1400 * time.Millisecond
)

// playOne: one of five replicas loses the path to one of four machines, the holder, for a
// second, and the holder gets SIGTERM meanwhile. Orders that were sent to the replica before
// the stop arrive after it.
func playOne(p *play) (bool, error) {
	var err error
	if p.store, err = newStore(); err != nil {
		return false, err
	}
	// Model m1 is on the first replica only, so that this one gets the orders for its adapters.
	replicas, links := make([]*replica, 5), make([]*proxy, 5)
	for k := range replicas {
		model := "m2"
		if k == 0 {
			model = "m1"
		}
		if replicas[k], err = newReplica(p.record, fmt.Sprintf("i-llm-%d", k+1), "petik-llm", "kul-a", model); err != nil {
			return false, err
		}
		if links[k], err = newProxy("127.0.0.1", replicas[k].address); err != nil {
			return false, err
		}
		replicas[k].register(p.store, links[k].address)
	}
	p.store.put("op", "config", config(7, "petik-app", false))
	if err := p.startInstances(4, p.store.address); err != nil {
		return false, err
	}
	var adapter atomic.Int64
	stop := make(chan struct{})
	defer close(stop)
	ask := func(i *instance) {
		for {
			select {
			case <-stop:
				return
			case <-time.After(450 * time.Millisecond):
			}
			n := adapter.Add(1)%24 + 1
			go send(p.record, i.front, call{method: http.MethodPost, path: "/chat/2f", model: fmt.Sprintf("m1/a%d", n), deadline: 2 * time.Second, body: []byte("x")})
		}
	}
	for _, i := range p.instances {
		go ask(i)
	}
	time.Sleep(2500 * time.Millisecond)
	holder := p.lastHolder(replicas[0])
	if holder == nil {
		return false, fmt.Errorf("no order was given")
	}
	if p.trouble {
		links[0].mu.Lock()
		links[0].delayed = holder.ownsChannel
		links[0].mu.Unlock()
		// The partition begins with an order on its way.
		begun := make(chan struct{})
		links[0].onBytes(func(b []byte) {
			if !bytes.HasPrefix(b, []byte("POST /hyssophaven/order")) {
				return
			}
			links[0].onBytes(nil)
			links[0].delay.Store(int64(resendTime))
			p.say("%s and %s are partitioned from each other for %s; an order is on its way", replicas[0].id, holder.name, cutTime)
			time.AfterFunc(cutTime, func() {
				links[0].delay.Store(0)
				p.say("the partition has healed")
			})
			close(begun)
		})
		select {
		case <-begun:
		case <-time.After(30 * time.Second):
			return false, fmt.Errorf("no order was given to %s", replicas[0].id)
		}
	}
	time.Sleep(300 * time.Millisecond)
	p.say("SIGTERM to the holder %s", holder.name)
	holder.signal(syscall.SIGTERM)
	time.Sleep(8 * time.Second)
	broken := false
	for _, r := range replicas {
		broken = p.judgeTurns(r) || broken
	}
	return broken, nil
}

// lastHolder returns the instance that gave a replica the last order.
func (p *play) lastHolder(r *replica) *instance {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, i := range p.instances {
		if len(r.orders) > 0 && i.name == r.orders[len(r.orders)-1].Holder {
			return i
		}
	}
	return nil
}

// judgeTurns reports whether orders of two holders reached the replica within lease-ms, or
// a lower epoch after a higher one.
func (p *play) judgeTurns(r *replica) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	broken := false
	for k := 1; k < len(r.orders); k++ {
		a, b := r.orders[k-1], r.orders[k]
		if a.Holder == b.Holder {
			continue
		}
		gap := b.at.Sub(a.at)
		p.say("%s: order of %s (epoch %d) %.3f s after one of %s (epoch %d)", r.id, b.Holder, b.Fence, gap.Seconds(), a.Holder, a.Fence)
		broken = broken || gap < leaseTurn || b.Fence <= a.Fence
	}
	return broken
}
