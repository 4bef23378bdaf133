package main

import (
	"bytes"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["epochs"] = epochs }

// epochs kills the process that gives the orders while an order is on a link that loses
// packets, and restarts it. The order arrives when its packet has been sent again. A replica
// that does not check epochs must not get an order under a lower epoch after one under a
// higher epoch.
func epochs(w *world) int {
	// Three transmissions of the packet are lost: 0.2, 0.4 and 0.8 s until the next one.
	const resend = 1400 * time.Millisecond
	const restartDelay = 300 * time.Millisecond
	w.store.put("op", "config", config(1))
	r := w.addReplica(1, engineService, "kul-a", 64, models, "m0", "m2")
	link := newProxy(w, r.listens)
	r.address = link.address
	r.register()
	holder, other := w.addEdge("kul-a"), w.addEdge("kul-b")
	if holder.start() != nil || !holder.awaitReady(10*time.Second) {
		return cannotRun
	}
	time.Sleep(1500 * time.Millisecond)
	if other.start() != nil || !other.awaitReady(10*time.Second) || !holder.logged("ordering=true") {
		return cannotRun
	}
	time.Sleep(1500 * time.Millisecond)
	var onLink atomic.Bool
	onWire := make(chan struct{})
	link.setHold(func(first []byte) time.Duration {
		if !bytes.HasPrefix(first, []byte("POST /hyssophaven/order ")) || onLink.Swap(true) {
			return 0
		}
		w.record.add("link: an order has been sent; its packet arrives %s later", map[bool]time.Duration{true: resend, false: 0}[w.trouble])
		close(onWire)
		if !w.trouble {
			return 0
		}
		return resend
	})
	ask := func(e *edge, name string) answer {
		return call(w, e.front, request{id: newID(), method: "POST", host: host, path: chatPath, model: name, body: strings.Repeat("x", 2900), budget: 5 * time.Second})
	}
	var clients sync.WaitGroup
	clients.Go(func() { ask(holder, "m0/a1") })
	select {
	case <-onWire:
	case <-time.After(5 * time.Second):
		return cannotRun
	}
	if w.trouble {
		holder.send(syscall.SIGKILL)
		time.Sleep(restartDelay)
		if holder.start() != nil {
			return cannotRun
		}
	}
	// Clients go on to ask for adapters of the replica's models, at both instances.
	for i, name := range []string{"m0/a2", "m0/a3", "m0/a4", "m0/a5", "m0/a6", "m0/a7", "m0/a8", "m0/a9", "m0/a10", "m0/a11", "m0/a12", "m0/a13"} {
		e := []*edge{holder, other}[i%2]
		clients.Go(func() { ask(e, name) })
		time.Sleep(200 * time.Millisecond)
	}
	clients.Wait()
	time.Sleep(time.Second)
	r.mu.Lock()
	defer r.mu.Unlock()
	status, highest, count := held, uint64(0), 0
	for _, o := range r.orders {
		epoch := deref(o.Epoch)
		if epoch < highest {
			w.record.add("BROKEN: order %s %s/%s under epoch %d arrived after one under epoch %d", o.Operation, o.Model, o.Adapter, epoch, highest)
			status = broken
		}
		if epoch > highest {
			count++
		}
		highest = max(highest, epoch)
	}
	if w.trouble && count < 2 && status == held {
		w.record.add("no second holder or epoch gave orders in time")
	}
	return status
}
