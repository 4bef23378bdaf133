package lease

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/hyssophaven/hyssophaven/fleet"
	"github.com/hyssophaven/hyssophaven/rendezvous"
)

// spread returns the preferences over n shards with the given owners.
func spread(shards int, owners []fleet.InstanceID) []Preference {
	names := make([]string, len(owners))
	for i, o := range owners {
		names[i] = string(o)
	}
	set := rendezvous.NewSet(names)
	out := make([]Preference, shards)
	for i := range out {
		shard := fmt.Sprintf("shard/%d", i)
		out[i] = Preference{Shard(shard), fleet.InstanceID(set.First(shard))}
	}
	return out
}

func instances(n int) []fleet.InstanceID {
	out := make([]fleet.InstanceID, n)
	for i := range out {
		out[i] = instanceName(i)
	}
	return out
}

// run lets time pass with a store that answers at once.
func (w *world) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.advance(500 * time.Millisecond)
		w.drain()
	}
}

// Guards against a holder that acts after its term when it was paused, and
// against a successor that reuses its epoch.
func TestPausedHolderStopsAndSuccessorHasNewEpoch(t *testing.T) {
	is := is.New(t)
	w := newWorld(2, Config{})
	w.prefer(oneShard(0))
	w.run(5 * time.Second)
	epoch, until, ok := w.states[0].Holds("shard/0", w.now)
	is.True(ok)
	is.True(until.Sub(w.now) <= 10*time.Second)
	w.paused[0] = true
	w.prefer(oneShard(1))
	w.run(10 * time.Second)
	_, _, ok = w.states[0].Holds("shard/0", w.now)
	is.True(!ok) // by its own clock, without having run
	w.run(12 * time.Second)
	next, _, ok := w.states[1].Holds("shard/0", w.now)
	is.True(ok)
	is.True(next > epoch)
	w.paused[0] = false
	w.run(time.Second)
	_, _, ok = w.states[0].Holds("shard/0", w.now)
	is.True(!ok)
}

// Guards against a lease that is lost or taken twice when the answer to its
// acquisition is lost.
func TestLostAnswerToAcquireIsReadBack(t *testing.T) {
	is := is.New(t)
	w := newWorld(1, Config{})
	w.prefer(oneShard(0))
	for w.store["shard/0"].Version == 0 {
		if len(w.messages) == 0 {
			w.advance(500 * time.Millisecond)
			continue
		}
		m := w.messages[0]
		w.execute(m)
		if _, ok := m.action.(Commit); !ok {
			w.answer(m)
		}
	}
	sent := w.now
	w.lose(w.messages[0])
	_, _, ok := w.states[0].Holds("shard/0", w.now)
	is.True(!ok) // not before it is read back
	w.run(2 * time.Second)
	epoch, until, ok := w.states[0].Holds("shard/0", w.now)
	is.True(ok)
	is.Equal(epoch, uint64(1))
	is.Equal(until, sent.Add(10*time.Second)) // counted from before the request
}

// Guards against acting on while cut off from the store, and against a new
// epoch or a stuck shard afterwards.
func TestHolderCutOffFromStoreStopsAndComesBack(t *testing.T) {
	is := is.New(t)
	w := newWorld(1, Config{})
	w.prefer(spread(64, instances(1)))
	w.run(5 * time.Second)
	is.Equal(len(w.states[0].Held(w.now)), 64)
	for range 40 {
		w.advance(500 * time.Millisecond)
		for len(w.messages) > 0 {
			m := w.messages[0]
			w.remove(m)
			switch a := m.action.(type) {
			case Read:
				w.step(0, ReadResult{ID: a.ID})
			case Commit:
				w.step(0, CommitResult{ID: a.ID, Outcome: NotApplied})
			}
		}
	}
	is.Equal(len(w.states[0].Held(w.now)), 0)
	w.run(5 * time.Second)
	held := w.states[0].Held(w.now)
	is.Equal(len(held), 64)
	for _, h := range held {
		is.Equal(h.Epoch, uint64(1))
	}
}

// Guards against one lost shard that costs the other shards of its batch.
func TestConflictInBatchCostsOnlyTheChangedShard(t *testing.T) {
	is := is.New(t)
	w := newWorld(1, Config{})
	w.prefer(spread(64, instances(1)))
	w.run(5 * time.Second)
	taken := w.store["shard/7"]
	taken.Version++
	taken.Record = Record{Holder: "other", Incarnation: 1, Epoch: taken.Record.Epoch + 1}
	w.store["shard/7"] = taken
	for range 8 {
		w.run(500 * time.Millisecond)
		is.True(len(w.states[0].Held(w.now)) >= 63) // no gap for the others
	}
	_, _, ok := w.states[0].Holds("shard/7", w.now)
	is.True(!ok)
}

// Guards against shards that stay without owner, or have two, when instances
// are replaced one after another or all within a minute.
func TestReplacingEveryInstance(t *testing.T) {
	for name, pause := range map[string]time.Duration{"one after another": 40 * time.Second, "all within a minute": 8 * time.Second} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			const n = 7
			w := newWorld(n, Config{})
			w.prefer(spread(64, instances(n)))
			w.run(10 * time.Second)
			for i := range n {
				gone := slices.Delete(instances(n), i, i+1)
				w.step(i, LeaveRequested{})
				w.prefer(spread(64, gone))
				w.drain()
				is.True(w.states[i].Settled())
				w.run(pause / 2)
				w.add(i, 2, Config{})
				w.prefer(spread(64, instances(n)))
				w.run(pause / 2)
				is.Equal(w.violation(), "")
			}
			w.run(20 * time.Second)
			is.Equal(heldBy(w), 64)
		})
	}
}

func heldBy(w *world) int {
	n := 0
	for i, s := range w.states {
		n += len(s.Held(w.clock(i)))
	}
	return n
}

// Guards against two holders of a shard, and against shards that stay without
// one, under random loss, delay, pauses, restarts and changing preferences,
// with clocks that differ by up to 3%.
func TestNoTwoHoldersAtRandom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const n, shards = 10, 64
		w := newWorld(n, Config{})
		for range n {
			w.rates = append(w.rates, 0.97+0.06*rapid.Float64Range(0, 1).Draw(t, "rate"))
		}
		incarnation := fleet.Incarnation(1)
		w.prefer(spread(shards, instances(n)))
		pick := func() int { return rapid.IntRange(0, n-1).Draw(t, "instance") }
		for range rapid.IntRange(20, 120).Draw(t, "steps") {
			switch rapid.IntRange(0, 9).Draw(t, "move") {
			case 0:
				w.paused[pick()] = true
			case 1:
				i := pick()
				w.paused[i] = false
				w.step(i, Tick{})
			case 2:
				incarnation++
				w.add(pick(), incarnation, Config{})
			case 3:
				w.prefer(spread(shards, instances(n)[:1+pick()]))
			case 4, 5:
				w.shuffle(t, true)
			case 6:
				w.shuffle(t, false)
			default:
				w.advance(time.Duration(rapid.IntRange(100, 4000).Draw(t, "ms")) * time.Millisecond)
			}
			if v := w.violation(); v != "" {
				t.Fatal(v)
			}
		}
		for i := range n {
			w.paused[i] = false
		}
		w.prefer(spread(shards, instances(n)))
		w.run(90 * time.Second)
		if v := w.violation(); v != "" || heldBy(w) != shards {
			t.Fatalf("%d of %d shards are held; %s", heldBy(w), shards, v)
		}
	})
}

// shuffle executes, answers or loses the waiting messages in random order.
func (w *world) shuffle(t *rapid.T, lossy bool) {
	if len(w.messages) == 0 {
		return
	}
	for _, m := range rapid.Permutation(slices.Clone(w.messages)).Draw(t, "order") {
		kind := rapid.IntRange(0, 4).Draw(t, "fate")
		switch {
		case !slices.Contains(w.messages, m) || w.paused[m.from] && m.answer != nil:
		case m.abandoned || kind == 0 && m.answer == nil:
			w.execute(m)
		case kind == 1 && lossy && !w.paused[m.from]:
			w.lose(m)
		case kind == 2: // delayed further
		default:
			if m.answer == nil {
				w.execute(m)
			}
			if !m.abandoned && !w.paused[m.from] {
				w.answer(m)
			}
		}
	}
}

// Measures transactions and reads per second of virtual time, in the steady
// state and while instances are replaced one after another every 10 s.
func BenchmarkStoreLoad(b *testing.B) {
	for _, size := range []struct{ instances, shards int }{{7, 64}, {60, 128}, {420, 512}} {
		for _, replacing := range []bool{false, true} {
			b.Run(fmt.Sprintf("instances=%d/shards=%d/replacing=%v", size.instances, size.shards, replacing), func(b *testing.B) {
				for range b.N {
					w := newWorld(size.instances, Config{})
					rng := rand.New(rand.NewPCG(7, 7))
					w.prefer(spread(size.shards, instances(size.instances)))
					w.run(30 * time.Second)
					w.writes, w.reads = 0, 0
					for range 6 {
						if replacing {
							i := rng.IntN(size.instances)
							w.add(i, fleet.Incarnation(w.now.Unix()), Config{})
							w.prefer(spread(size.shards, instances(size.instances)))
						}
						w.run(10 * time.Second)
					}
					b.ReportMetric(float64(w.writes)/60, "writes/s")
					b.ReportMetric(float64(w.reads)/60, "reads/s")
				}
			})
		}
	}
}

// Measures how long shards have no owner while each of 7 instances is replaced
// within a minute, by a graceful stop or by a crash, and the store load of it.
func BenchmarkReplacement(b *testing.B) {
	const n, shards = 7, 64
	for _, graceful := range []bool{true, false} {
		b.Run(fmt.Sprintf("graceful=%v", graceful), func(b *testing.B) {
			for range b.N {
				w := newWorld(n, Config{})
				w.prefer(spread(shards, instances(n)))
				w.run(30 * time.Second)
				w.writes, w.reads = 0, 0
				missing := 0
				sample := func(seconds int) {
					for range 2 * seconds {
						w.run(500 * time.Millisecond)
						missing += shards - heldBy(w)
					}
				}
				for i := range n {
					if graceful {
						w.step(i, LeaveRequested{})
					}
					w.prefer(spread(shards, slices.Delete(instances(n), i, i+1)))
					sample(4)
					w.add(i, 2, Config{})
					w.prefer(spread(shards, instances(n)))
					sample(4)
				}
				sample(30)
				b.ReportMetric(float64(missing)/2/shards, "s-without-owner/shard")
				b.ReportMetric(float64(w.writes)/86, "writes/s")
				b.ReportMetric(float64(w.reads)/86, "reads/s")
			}
		})
	}
}
