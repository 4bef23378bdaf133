package main

import (
	"encoding/base64"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["late-entry"] = lateEntry }

// lateEntry has one heartbeat of a replica get no answer from the store, which performs it
// some seconds later, after newer heartbeats. The replica must not be ordered to load more than
// its memory holds.
func lateEntry(w *world) int {
	w.store.put("op", "config", config(1))
	r := w.addReplica(1, engineService, "kul-a", 64, models, "m1")
	r.onDisk = []string{"m1", "m3", "m4"} // from before its last restart
	other := w.addReplica(2, engineService, "kul-b", 64, models, "m0", "m2")
	crashed := func() bool {
		r.mu.Lock()
		defer r.mu.Unlock()
		return r.crashed != ""
	}
	// The late heartbeat is the one that the replica writes while it loads its second model.
	const lateBy = 5 * time.Second
	var delayed, performed atomic.Bool
	if w.trouble {
		w.store.late = func(t *transaction) time.Duration {
			if len(t.Put) != 1 || t.Put[0].Table != "servers" || t.Put[0].Key != r.id {
				return 0
			}
			r.mu.Lock()
			defer r.mu.Unlock()
			if r.loading == "" || delayed.Swap(true) {
				return 0
			}
			value, _ := base64.StdEncoding.DecodeString(t.Put[0].Value)
			w.record.add("store: gives no answer and performs this heartbeat %s later: %s", lateBy, value)
			time.AfterFunc(lateBy, func() {
				w.record.add("store: performs the late heartbeat")
				performed.Store(true)
			})
			return lateBy
		}
	}
	other.register()
	r.register()
	e := w.addEdge("kul-a")
	if e.start() != nil || !e.awaitReady(10*time.Second) {
		return cannotRun
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	// ask sends requests for a model, one each pause, until the case ends.
	ask := func(name string, pause time.Duration) {
		clients.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(pause):
				}
				clients.Go(func() {
					call(w, e.front, request{id: newID(), method: "POST", host: host, path: chatPath, model: name, body: strings.Repeat("x", 2900), budget: 5 * time.Second})
				})
			}
		})
	}
	for _, name := range []string{"m0", "m1", "m2", "m3"} {
		ask(name, 250*time.Millisecond)
	}
	time.Sleep(1500 * time.Millisecond)
	ask("m4", 200*time.Millisecond)
	for end := time.Now().Add(25 * time.Second); time.Now().Before(end) && !crashed(); {
		time.Sleep(20 * time.Millisecond)
	}
	close(stop)
	switch {
	case crashed():
		w.record.add("BROKEN: %s", r.crashed)
		return broken
	case w.trouble && !performed.Load():
		return cannotRun
	}
	return held
}
