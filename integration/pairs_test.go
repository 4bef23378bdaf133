//go:build linux

package integration

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// fault begins a failure and returns what ends it.
type fault struct {
	name  string
	begin func(d *deployment, random *rand.Rand) (end func())
}

var faults = []fault{
	{"engine cut off", func(d *deployment, random *rand.Rand) func() {
		e := d.engines[random.IntN(engineCount)]
		e.link.cut()
		return e.link.restore
	}},
	{"engine answers late", func(d *deployment, random *rand.Rand) func() {
		e := d.engines[random.IntN(engineCount)]
		e.link.delay(answers, 300*time.Millisecond)
		return e.link.heal
	}},
	{"engine crashes", func(d *deployment, random *rand.Rand) func() {
		d.crash(d.engines[random.IntN(engineCount)])
		return func() {}
	}},
	{"stores down", func(d *deployment, _ *rand.Rand) func() {
		d.storesFail(down)
		return func() { d.storesFail(healthy) }
	}},
	{"store answers lost", func(d *deployment, _ *rand.Rand) func() {
		d.faults("tables", `{"lose_probability":0.5}`)
		return func() { d.storesFail(healthy) }
	}},
	{"instance killed", func(d *deployment, random *rand.Rand) func() {
		i := d.members()[random.IntN(instanceCount)]
		i.kill()
		return func() {
			d.remove(i)
			fresh := d.startInstance()
			waitFor(d.t, fresh.id+" to be ready", fresh.ready)
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
				i.peers.restore()
			}
		}
	}},
	{"booking service cut off", func(d *deployment, random *rand.Rand) func() {
		s := d.services[random.IntN(serviceCount)]
		s.link.cut()
		return s.link.restore
	}},
}

// Guards against faults that the system survives alone but not two together:
// after each pair, memory was not overcommitted (I1), answers were whole and
// the callers' own (I3), refused requests did not run (I4), and bookings ran at
// most once (I5); and every row is reachable again (I2).
func TestPairsOfFaults(t *testing.T) {
	const seed, count = 12, 8
	random := rand.New(rand.NewPCG(seed, 0))
	var pairs [][2]int
	for a := range faults {
		for b := range a {
			pairs = append(pairs, [2]int{a, b})
		}
	}
	random.Shuffle(len(pairs), func(a, b int) { pairs[a], pairs[b] = pairs[b], pairs[a] })
	d := startDeployment(t, options{})
	for n, chosen := range pairs[:count] {
		name := fmt.Sprintf("seed %d pair %d: %s, %s", seed, n+1, faults[chosen[0]].name, faults[chosen[1]].name)
		t.Log(name)
		l := d.startLoad(seed + uint64(n))
		first := faults[chosen[0]].begin(d, random)
		second := faults[chosen[1]].begin(d, random)
		time.Sleep(1500 * time.Millisecond)
		second()
		first()
		d.checkSafety(l.end())
		d.waitReachable()
		if t.Failed() {
			t.Fatalf("after %s", name)
		}
	}
}
