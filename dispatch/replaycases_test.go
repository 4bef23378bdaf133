package dispatch

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hyssophaven/hyssophaven/catalog"
)

// burst returns a demand that is high for a part of each period.
func burst(period, length time.Duration, high, low float64) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at%period < length {
			return high
		}
		return low
	}
}

func replayBookings(seed uint64, instances int, states bool, high float64) *replay {
	var infos []*catalog.Replica
	for i := range 4 {
		infos = append(infos, &catalog.Replica{ID: fmt.Sprint("p", i), Service: "app", Address: fmt.Sprint("p:", i), DataCentre: dataCentre(i), Slots: 6})
	}
	p := newReplay(seed, instances, states, 20*time.Second, infos, []float64{1}, false)
	for _, k := range []*replayKind{
		{name: "book", rate: 186, route: &catalog.Route{Kind: catalog.NonIdempotent, LatencyTarget: 300 * time.Millisecond, Timeout: 2 * time.Second, Rank: 2, MaxAttempts: 1}},
		{name: "look", rate: 42.7, route: &catalog.Route{Kind: catalog.Idempotent, LatencyTarget: 300 * time.Millisecond, Timeout: 2 * time.Second, Rank: 2, MaxAttempts: 2}},
	} {
		k.service, k.wait, k.work, k.burst = "app", 4*time.Second, 60*time.Millisecond, burst(8*time.Second, 3*time.Second, high, 0.8)
		p.add(k, nil)
	}
	return p
}

// Guards against a deployment whose instances, each with its own view, send bookings to full
// replicas again and again until the retry budget refuses them, and against slots that stay
// free because the instances hold too much back. In spells, the callers ask for 1.4 times
// what the replicas can do.
func TestReplayBookings(t *testing.T) {
	is := is.New(t)
	for _, instances := range []int{6, 86} {
		at := func(states bool) (rejected, onTime float64) {
			p := replayBookings(1, instances, states, 2.5)
			p.run()
			t.Log("instances", instances, "states slowness", states, p)
			return float64(p.rejected) / float64(p.sends), float64(p.kinds[0].onTime) / float64(p.kinds[0].count)
		}
		rejectedBefore, onTimeBefore := at(false)
		rejected, onTime := at(true)
		is.True(rejected < 0.7*rejectedBefore)
		is.True(onTime > onTimeBefore+0.05)
	}
}

// replayEngines replays streams for models that are placed by demand, three on each replica.
func replayEngines(seed uint64, instances, replicas int, states bool, high float64, speeds []float64, kinds ...*replayKind) *replay {
	const models = 100
	var share [models]float64
	sum := 0.0
	for m := range models {
		share[m] = 1 / math.Pow(float64(m+1), 0.8)
		sum += share[m]
	}
	random := rand.New(rand.NewPCG(seed, 2))
	infos := make([]*catalog.Replica, replicas)
	for i := range infos {
		infos[i] = &catalog.Replica{ID: fmt.Sprint("r", i), Service: "llm", Address: fmt.Sprint("r:", i), DataCentre: dataCentre(i), Slots: 64}
	}
	place := func(m int) {
		for range 20 {
			r := infos[random.IntN(replicas)]
			if len(r.Models) < 3 && !r.Holds(fmt.Sprint("m", m)) {
				r.Models = append(r.Models, catalog.LoadedModel{Name: fmt.Sprint("m", m)})
				return
			}
		}
	}
	for m := range models {
		for range max(2, int(share[m]/sum*float64(3*replicas-2*models))+2) {
			place(m)
		}
	}
	p := newReplay(seed, instances, states, 15*time.Second, infos, speeds, len(speeds) > 1)
	model := func() string {
		x := p.random.Float64() * sum
		for m := range models {
			if x -= share[m]; x <= 0 {
				return fmt.Sprint("m", m)
			}
		}
		return "m0"
	}
	for _, k := range kinds {
		k.service, k.burst = "llm", burst(8*time.Second, 3*time.Second, high, 0.8)
		p.add(k, model)
	}
	return p
}

func streamKind(name string, tokens, events int, rate float64, target, wait time.Duration, rank int) *replayKind {
	return &replayKind{name: name, tokens: tokens, events: events, rate: rate, wait: wait,
		route: &catalog.Route{Kind: catalog.Stream, LatencyTarget: target, EventGapTarget: 400 * time.Millisecond, Timeout: wait, Rank: rank, MaxAttempts: 1}}
}

func replayVatuvola(seed uint64, instances int, states bool, high float64) *replay {
	return replayEngines(seed, instances, 90, states, high, []float64{1},
		streamKind("summary", 2368, 6, 297, time.Second, 5*time.Second, 0),
		streamKind("recheck", 2368, 6, 71.4, 8*time.Second, 12*time.Second, 2),
		streamKind("drive", 1460, 43, 89.3, time.Second, 15*time.Second, 1))
}

func replayDulaan(seed uint64, instances int, states bool, high float64) *replay {
	return replayEngines(seed, instances, 140, states, high, []float64{0.7, 0.7, 1.7},
		streamKind("notice", 1460, 57, 137, 600*time.Millisecond, 15*time.Second, 0),
		streamKind("digest", 2368, 8, 515, 800*time.Millisecond, 5*time.Second, 1),
		streamKind("review", 2368, 8, 37.1, 10*time.Second, 20*time.Second, 1))
}

// Guards against requests that are sent to full replicas or wait there until their callers
// leave, while they could wait here or be refused at once.
func TestReplayEngines(t *testing.T) {
	is := is.New(t)
	for _, test := range []struct {
		name string
		play func(seed uint64, instances int, states bool, high float64) *replay
	}{{"customers 1", replayVatuvola}, {"customers 2", replayDulaan}} {
		var served, wasted [2]float64
		for i, states := range []bool{false, true} {
			p := test.play(1, 66, states, 2.6)
			p.run()
			t.Log(test.name, "states slowness", states, p)
			wasted[i] = float64(p.rejected + p.left)
			for _, k := range p.kinds {
				served[i] += k.value() / float64(len(p.kinds))
			}
		}
		is.True(wasted[1] < 0.8*wasted[0])
		is.True(served[1] > served[0]-0.01)
	}
}

// Guards against instances that all send to the replica which they all take for the best
// one, because they share the same figures until the next exchange of their states.
func TestInstancesSpreadOverReplicas(t *testing.T) {
	is := is.New(t)
	const instances = 300
	counts := make(map[string]int)
	for i := range instances {
		s := New(Options{DataCentre: "z", Seed: uint64(i)})
		for n, id := range []string{"a", "b", "c"} {
			s.SetReplica(id, engineReplica(id, "m"))
			load := Load{Requests: 1}
			load.PendingPrefill[0] = prefillTokensPerMS * milliseconds(time.Duration(n)*150*time.Millisecond)
			s.SetPeerLoad(epoch, id, load)
		}
		s.SetReport(epoch, "c", Report{Slots: 8, Slowness: 1})
		counts[s.Choose(epoch, streamRequest("r", 1), History{}).Replica.ID]++
	}
	is.True(counts["a"] > counts["b"])
	is.True(counts["a"] < instances*3/4)
}

// Guards against requests that go to other data centres although a replica in this one would
// begin them nearly as soon, and against those that stay here at any price.
func TestLocalReplicasArePreferred(t *testing.T) {
	is := is.New(t)
	remote := func(localWait time.Duration) int {
		s, n := New(Options{DataCentre: "z", Seed: 1}), 0
		for i, zone := range []string{"z", "y", "y"} {
			r := engineReplica(fmt.Sprint("r", i), "m")
			r.DataCentre = zone
			s.SetReplica(r.ID, r)
		}
		s.SetReport(epoch, "r0", Report{Slots: 8, Slowness: 1})
		load := Load{Requests: 1}
		load.PendingPrefill[0] = prefillTokensPerMS * milliseconds(localWait)
		s.SetPeerLoad(epoch, "r0", load)
		for range 100 {
			if s.Choose(epoch, streamRequest("r", 1), History{}).Replica.DataCentre != "z" {
				n++
			}
		}
		return n
	}
	is.Equal(remote(50*time.Millisecond), 0)
	is.Equal(remote(200*time.Millisecond), 100)
}

// Guards against loading an adapter again where another replica with it is about as free, and
// against a queue at the replica that has it while others are free.
func TestAdapterMovesOnlyFromBusyReplica(t *testing.T) {
	is := is.New(t)
	for wait, stays := range map[time.Duration]bool{0: true, 20 * time.Millisecond: true, 300 * time.Millisecond: false} {
		remote := engineReplica("a", "m")
		remote.DataCentre = "y"
		s := newState(remote, engineReplica("b", "m"), engineReplica("c", "m"))
		s.SetAdapter("a", "m", "a1", true)
		s.SetReport(epoch, "b", Report{Slots: 8, Slowness: 1})
		setFull(s, epoch, wait)
		for range 50 {
			req := streamRequest("r", 1)
			req.Adapter, req.Route.LatencyTarget = "a1", time.Second
			is.Equal(s.Choose(epoch, req, History{}).Replica.ID == "a", stays)
		}
	}
}

// BenchmarkDecision measures one decision for a model on 140 replicas, three of which hold
// it, as it was before and with the queue. The number of instances must not matter.
func BenchmarkDecision(b *testing.B) {
	for _, instances := range []int{6, 95, 420} {
		for _, states := range []bool{false, true} {
			b.Run(fmt.Sprintf("instances=%d/queue=%t", instances, states), func(b *testing.B) {
				s := New(Options{DataCentre: "z", Seed: 1})
				s.SetInstances(instances)
				for i := range 140 {
					id := fmt.Sprint("r", i)
					s.SetReplica(id, engineReplica(id, fmt.Sprint("m", i/3)))
					if states {
						s.SetReport(epoch, id, Report{Slots: 8, Slowness: 1})
					}
					s.SetPeerLoad(epoch, id, Load{Requests: i % 8})
				}
				req := streamRequest("r", 1)
				req.Model = "m5"
				sent := 0
				b.ReportAllocs()
				for b.Loop() {
					if states {
						s.Submit(epoch, &Waiter{Request: req})
						s.ServeWaiters(epoch, "llm", func(*Waiter, Decision) { sent++ })
					} else if s.Choose(epoch, req, History{}).Verdict == Send {
						sent++
					}
				}
			})
		}
	}
}
