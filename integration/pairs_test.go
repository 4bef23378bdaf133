//go:build linux

package integration

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// fault is a named fault. begin injects it and returns the function that ends it.
type fault struct {
	name  string
	begin func(d *deployment, random *rand.Rand) (end func())
}

// pairableFaults lists the faults that TestPairsOfFaults combines.
var pairableFaults = []fault{
	{"engine cut off", func(d *deployment, random *rand.Rand) func() {
		e := d.engines[random.IntN(engineCount)]
		e.link.cut()
		return e.link.restore
	}},
	{"engine answers late", func(d *deployment, random *rand.Rand) func() {
		e := d.engines[random.IntN(engineCount)]
		e.link.delay(answerDirection, 300*time.Millisecond)
		return e.link.clearToxics
	}},
	{"engine crashes", func(d *deployment, random *rand.Rand) func() {
		d.crashEngine(d.engines[random.IntN(engineCount)])
		return func() {}
	}},
	{"stores down", func(d *deployment, _ *rand.Rand) func() {
		d.setStoreFaults(storesDown)
		return func() { d.setStoreFaults(noFaults) }
	}},
	{"store answers lost", func(d *deployment, _ *rand.Rand) func() {
		d.setPlatformFaults("tables", `{"lose_probability":0.5}`)
		return func() { d.setStoreFaults(noFaults) }
	}},
	{"instance killed", func(d *deployment, random *rand.Rand) func() {
		i := d.members()[random.IntN(instanceCount)]
		i.kill()
		return func() {
			d.removeInstance(i)
			fresh := d.startInstance()
			waitFor(d.t, fresh.id+" to be ready", fresh.isReady)
		}
	}},
	{"instance paused", func(d *deployment, random *rand.Rand) func() {
		i := d.members()[random.IntN(instanceCount)]
		i.pause()
		return i.resume
	}},
	{"peers cut off", func(d *deployment, _ *rand.Rand) func() {
		d.cutPeers()
		members := d.members()
		return func() {
			for _, i := range members {
				i.peerLink.restore()
			}
		}
	}},
	{"booking service cut off", func(d *deployment, random *rand.Rand) func() {
		s := d.services[random.IntN(serviceCount)]
		s.link.cut()
		return s.link.restore
	}},
}

// Guards against two simultaneous faults that break what holds under each of them
// alone: memory is not overcommitted (I1), answers are complete and reach the right
// callers (I3), refused requests do not run (I4), bookings are executed at most once
// (I5), and every row is reachable again afterwards (I2).
func TestPairsOfFaults(t *testing.T) {
	const seed, count = 12, 8
	random := rand.New(rand.NewPCG(seed, 0))
	var pairs [][2]int
	for a := range pairableFaults {
		for b := range a {
			pairs = append(pairs, [2]int{a, b})
		}
	}
	random.Shuffle(len(pairs), func(a, b int) { pairs[a], pairs[b] = pairs[b], pairs[a] })
	d := startDeployment(t, options{})
	for n, chosen := range pairs[:count] {
		name := fmt.Sprintf("seed %d pair %d: %s, %s", seed, n+1, pairableFaults[chosen[0]].name, pairableFaults[chosen[1]].name)
		t.Log(name)
		l := d.startLoad(seed + uint64(n))
		first := pairableFaults[chosen[0]].begin(d, random)
		second := pairableFaults[chosen[1]].begin(d, random)
		time.Sleep(1500 * time.Millisecond)
		second()
		first()
		d.checkSafety(l.stopAndWait())
		d.waitReachable()
		if t.Failed() {
			t.Fatalf("after %s", name)
		}
	}
}
