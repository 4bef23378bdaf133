package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["lease"] = lease }

const (
	leaseNodes    = 6
	modelReplicas = 4
	plainReplicas = 2
	// drills is the largest number of drills in a run. In each, one instance freezes at
	// frozenAfter after a renewal of the lease, the store is away for storeAway, and the
	// instance wakes at thawAfter after the first renewal that the store gets then.
	drills      = 5
	frozenAfter = 450 * time.Millisecond
	storeAway   = 1500 * time.Millisecond
	thawAfter   = 400 * time.Millisecond
	// leaseCalm is the time before a drill without requests. After it, consumers ask for
	// adapters for leaseWatch, or for missedWatch if the instance that woke has changed nothing.
	leaseCalm   = 9 * time.Second
	leaseWatch  = 18 * time.Second
	missedWatch = 3 * time.Second
)

// lease lets the store come back from a copy while an instance is frozen. It reports whether
// two instances have given orders to a replica under one epoch number.
func lease(d *deployment) bool {
	s := startStore(d.host + "1")
	s.configure(config(7))
	var engines []*replica
	for i := range modelReplicas {
		engines = append(engines, startReplica(s, fmt.Sprintf("%s%d", d.host, 20+i), fmt.Sprintf("i-%d", i), "llm", "kul-a", 0, 5, 5*time.Millisecond))
	}
	for i := range plainReplicas {
		startReplica(s, fmt.Sprintf("%s%d", d.host, 40+i), fmt.Sprintf("p-%d", i), "app", "kul-a", 800, 0, 20*time.Millisecond)
	}
	var nodes []*node
	for i := range leaseNodes {
		nodes = append(nodes, startNode(d.dir, d.program, fmt.Sprintf("%s%d", d.host, 11+i), fmt.Sprintf("edge-kul-a-%d", i+1), "kul-a", s))
	}
	var asking atomic.Bool
	for i := range leaseNodes {
		go askForAdapters(nodes[i], i, &asking)
	}
	time.Sleep(4 * time.Second)
	broken := false
	for drill := 0; drill < drills && !broken; drill++ {
		time.Sleep(leaseCalm)
		if d.trouble {
			playDrill(drill, s, nodes, &asking)
		}
		asking.Store(true)
		began := time.Now()
		for time.Since(began) < missedWatch || s.staleWrites() > 0 && time.Since(began) < leaseWatch {
			time.Sleep(200 * time.Millisecond)
			if broken = twoHolders(engines); broken {
				break
			}
		}
		asking.Store(false)
	}
	for _, n := range nodes {
		n.stop()
	}
	return broken
}

// playDrill freezes an instance that does not hold the lease, lets the store come back from a
// copy, and wakes the instance.
func playDrill(drill int, s *store, nodes []*node, asking *atomic.Bool) {
	holder := awaitRenewal(s)
	other := nodes[slices.IndexFunc(nodes, func(n *node) bool { return n.name != holder })]
	time.Sleep(frozenAfter)
	recordf("drill %d: %s holds the lease; %s freezes", drill, holder, other.name)
	other.signal(syscall.SIGSTOP)
	recordf("drill %d: the store is away", drill)
	s.leave()
	time.Sleep(storeAway)
	// The copy lacks as many transactions as there will have been again with the next
	// renewal: the entries of the replicas, which are written again at once, and the renewal.
	s.comeBack(modelReplicas + plainReplicas + 1)
	recordf("drill %d: the store is back", drill)
	asking.Store(true)
	awaitRenewal(s)
	time.Sleep(thawAfter)
	recordf("drill %d: %s wakes", drill, other.name)
	other.signal(syscall.SIGCONT)
}

// awaitRenewal waits for the next write of the lease, and returns its holder.
func awaitRenewal(s *store) string {
	written := make(chan string, 1)
	s.mu.Lock()
	s.onWrite = func(table, key string, value []byte) {
		var lease struct{ Holder string }
		if table == "hyssophaven-lease" && key == "orders" && json.Unmarshal(value, &lease) == nil {
			select {
			case written <- lease.Holder:
			default:
			}
		}
	}
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.onWrite = nil
		s.mu.Unlock()
	}()
	select {
	case holder := <-written:
		return holder
	case <-time.After(10 * time.Second):
		return ""
	}
}

// askForAdapters sends requests for adapters to an instance while asking is set. The replicas
// hold a part of them, so that others have to be loaded.
func askForAdapters(n *node, consumer int, asking *atomic.Bool) {
	for request := 0; ; request++ {
		time.Sleep(time.Duration(60+rand.IntN(60)) * time.Millisecond)
		if asking.Load() {
			askForAdapter(n, fmt.Sprintf("%08x%08x", 0xc0+consumer, request))
		}
	}
}

// askForAdapter sends a request for some adapter of some model.
func askForAdapter(n *node, id string) {
	c, err := open(n.front, 0)
	if err != nil {
		return
	}
	defer c.Close()
	_, _ = askModel(c, id, fmt.Sprintf("m%d/a%d", 1+rand.IntN(engineModels), 1+rand.IntN(engineAdapters)))
}

// twoHolders reports whether a replica has received orders of two machines under one epoch
// number.
func twoHolders(engines []*replica) bool {
	for _, r := range engines {
		r.mu.Lock()
		received := slices.Clone(r.received)
		r.mu.Unlock()
		first := make(map[uint64]engineOrder)
		for _, o := range received {
			f, ok := first[o.fence]
			if !ok {
				first[o.fence] = o
			} else if f.holder != o.holder {
				recordf("two holders with epoch number %d at replica %s: %s at %.3f s and %s at %.3f s",
					o.fence, r.id, f.holder, f.at.Sub(record.began).Seconds(), o.holder, o.at.Sub(record.began).Seconds())
				return true
			}
		}
	}
	return false
}
