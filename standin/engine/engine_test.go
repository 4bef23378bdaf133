package standinengine

import (
	"context"
	"errors"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/hyssophaven/hyssophaven/engine"
	"github.com/hyssophaven/hyssophaven/fleet"
	"github.com/hyssophaven/hyssophaven/standin"
	standinplatform "github.com/hyssophaven/hyssophaven/standin/platform"
)

var _ standin.Crasher = (*Engine)(nil)

// runEngine runs f with a new engine in a synctest bubble.
func runEngine(t *testing.T, c Config, f func(t *testing.T, is *is.I, e *Engine)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		e := New(c)
		defer e.Close()
		f(t, is.New(t), e)
	})
}

func newOrder(kind engine.OrderKind, name, base string, memoryMB int, sequence uint64) engine.Order {
	return engine.Order{ID: name, Token: fleet.Token{Epoch: 1, Sequence: sequence}, Kind: kind, Name: name, Base: base, Version: "v1", MemoryMB: memoryMB}
}

// mustOrder sends an order that must be accepted, and waits 2 s, in which loads and
// unloads of unused entries complete.
func mustOrder(t *testing.T, e *Engine, o engine.Order) {
	t.Helper()
	result, err := e.Order(t.Context(), o)
	if err != nil || !result.Accepted {
		t.Fatalf("order %+v: %+v, %v", o, result, err)
	}
	time.Sleep(2 * time.Second)
}

func generate(t *testing.T, e *Engine, id, prompt string, rank fleet.Rank, tokens, resumeFrom int) engine.Stream {
	t.Helper()
	s, err := e.Generate(t.Context(), engine.GenerateRequest{
		RequestID: id, Model: "m", Prompt: prompt, MaxTokens: tokens, Priority: rank, ResumeFrom: resumeFrom,
	})
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// readText reads a stream to its end.
func readText(s engine.Stream) (string, error) {
	defer func() { _ = s.Close() }()
	out := ""
	for {
		c, err := s.Next()
		if errors.Is(err, io.EOF) {
			return out, nil
		}
		if err != nil {
			return out, err
		}
		out += c.Text
	}
}

// Guards against equal answers to different requests, and against resumed answers
// that don't continue the first part.
func TestAnswersMatchTheirPromptAndResume(t *testing.T) {
	runEngine(t, Config{}, func(t *testing.T, is *is.I, e *Engine) {
		mustOrder(t, e, newOrder(engine.LoadModel, "m", "", 10, 1))
		mustOrder(t, e, newOrder(engine.LoadAdapter, "a", "m", 1, 2))
		whole, err := readText(generate(t, e, "r1", "one", fleet.Prompt, 20, 0))
		is.NoErr(err)
		is.Equal(whole, Answer("m", "", "v1", "one", 20))
		for _, from := range []int{1, 7, 19, 20} {
			rest, err := readText(generate(t, e, "r2", "one", fleet.Prompt, 20, from))
			is.NoErr(err)
			is.Equal(Answer("m", "", "v1", "one", from)+rest, whole)
		}
		s, err := e.Generate(t.Context(), engine.GenerateRequest{RequestID: "r3", Model: "m", Adapter: "a", Version: "v1", Prompt: "one", MaxTokens: 1})
		is.NoErr(err)
		adapted, err := readText(s)
		is.NoErr(err)
		is.Equal(adapted, Answer("m", "a", "v1", "one", 1))
		is.True(adapted != Answer("m", "", "v1", "one", 1))
		is.Equal(e.Counts().ByRequest["r2"], RequestCounts{Accepted: 4, Started: 4, Finished: 4})
	})
}

// Guards against urgent requests waiting behind less urgent ones.
func TestUrgentRequestsStartFirst(t *testing.T) {
	for _, preempts := range []bool{false, true} {
		runEngine(t, Config{Slots: 1, PreemptsLowerRanks: preempts}, func(t *testing.T, is *is.I, e *Engine) {
			mustOrder(t, e, newOrder(engine.LoadModel, "m", "", 10, 1))
			ended := make(chan string, 3)
			start := func(id string, rank fleet.Rank) {
				s := generate(t, e, id, id, rank, 50, 0)
				go func() {
					if _, err := readText(s); err == nil {
						ended <- id
					}
				}()
				time.Sleep(50 * time.Millisecond)
			}
			start("running", fleet.Patient)
			start("waiting", fleet.Prompt)
			start("urgent", fleet.Urgent)
			want := []string{"running", "urgent", "waiting"}
			if preempts {
				want = []string{"urgent", "waiting", "running"}
			}
			is.Equal([]string{<-ended, <-ended, <-ended}, want)
			is.Equal(e.Counts().Preempted > 0, preempts)
		})
	}
}

// Guards against an engine that ignores Config.ChecksTokens: tests need engines that
// check fencing tokens and engines that don't.
func TestOldTokensAreRefusedOnlyIfChecked(t *testing.T) {
	for _, checks := range []bool{false, true} {
		runEngine(t, Config{ChecksTokens: checks}, func(t *testing.T, is *is.I, e *Engine) {
			mustOrder(t, e, newOrder(engine.LoadModel, "m", "", 10, 5))
			mustOrder(t, e, newOrder(engine.LoadModel, "m", "", 10, 5)) // same order with an equal token
			result, err := e.Order(t.Context(), newOrder(engine.UnloadModel, "m", "", 10, 4))
			is.NoErr(err)
			is.Equal(result.Accepted, !checks)
			state, err := e.State(t.Context())
			is.NoErr(err)
			is.Equal(len(state.Residents) == 1, checks)
			is.Equal(state.HighestToken == fleet.Token{Epoch: 1, Sequence: 5}, checks)
			is.Equal(e.Counts().Orders[OrderKey{engine.LoadModel, OutcomeNoEffect}], 1)
		})
	}
}

// Guards against memory reported as free while requests of an unloaded model are
// still running.
func TestUnloadHoldsMemoryUntilRequestsEnd(t *testing.T) {
	for _, aborts := range []bool{false, true} {
		runEngine(t, Config{AbortsOnUnload: aborts, UnloadTime: 100 * time.Millisecond}, func(t *testing.T, is *is.I, e *Engine) {
			mustOrder(t, e, newOrder(engine.LoadModel, "m", "", 10, 1))
			s := generate(t, e, "r", "p", fleet.Prompt, 1000, 0)
			ended := make(chan error, 1)
			go func() { _, err := readText(s); ended <- err }()
			time.Sleep(time.Second)
			mustOrder(t, e, newOrder(engine.UnloadModel, "m", "", 10, 2))
			state, err := e.State(t.Context())
			is.NoErr(err)
			is.Equal(state.UsedMB == 0, aborts)
			_, err = e.Generate(t.Context(), engine.GenerateRequest{RequestID: "r2", Model: "m", MaxTokens: 1})
			kind, _ := engine.ErrorKindOf(err)
			is.Equal(kind, engine.NotResident)
			is.Equal(<-ended != nil, aborts)
			time.Sleep(time.Second)
			state, err = e.State(t.Context())
			is.NoErr(err)
			is.Equal(state.UsedMB, 0)
		})
	}
}

// Guards against overcommitted memory that is neither refused nor counted.
func TestOvercommitIsRefusedOrCounted(t *testing.T) {
	for _, refuses := range []bool{false, true} {
		runEngine(t, Config{MemoryMB: 15, RefusesOvercommit: refuses}, func(t *testing.T, is *is.I, e *Engine) {
			mustOrder(t, e, newOrder(engine.LoadModel, "m", "", 10, 1))
			result, err := e.Order(t.Context(), newOrder(engine.LoadModel, "n", "", 10, 2))
			is.NoErr(err)
			is.Equal(result.Accepted, !refuses)
			n := e.Counts()
			if refuses {
				is.Equal([]int{n.PeakMB, n.OvercommitEvents, n.OvercommitMB}, []int{10, 0, 0})
			} else {
				is.Equal([]int{n.PeakMB, n.OvercommitEvents, n.OvercommitMB}, []int{20, 1, 5})
			}
		})
	}
}

// Guards against a crash by a poisoned prompt that leaves other streams open, keeps
// the residents, or keeps the boot id.
func TestPoisonCrashesAndRestartsEmpty(t *testing.T) {
	runEngine(t, Config{PoisonText: "poison", RestartDelay: 3 * time.Second}, func(t *testing.T, is *is.I, e *Engine) {
		mustOrder(t, e, newOrder(engine.LoadModel, "m", "", 10, 1))
		before, err := e.State(t.Context())
		is.NoErr(err)
		unrelated := generate(t, e, "r1", "p", fleet.Prompt, 1000, 0)
		poisoned := generate(t, e, "r2", "some poison here", fleet.Prompt, 10, 0)
		for _, s := range []engine.Stream{unrelated, poisoned} {
			_, err := readText(s)
			kind, ok := engine.ErrorKindOf(err)
			is.True(ok)
			is.Equal(kind, engine.Truncated)
		}
		_, err = e.State(t.Context())
		is.True(err != nil) // the engine is down
		time.Sleep(4 * time.Second)
		after, err := e.State(t.Context())
		is.NoErr(err)
		is.True(after.BootID != before.BootID)
		is.Equal(len(after.Residents), 0)
		n := e.Counts()
		is.Equal(n.Crashes, 1)
		is.Equal(n.Total, RequestCounts{Accepted: 2, Started: 2, Aborted: 2})
		is.Equal(n.ByPrompt[PromptHash("some poison here")].Started, 1)
	})
}

// Guards against adapter loads that are not slowed down by concurrent loads.
func TestAdapterLoadsSlowDownInProportion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := standinplatform.New(standinplatform.Config{Weights: standinplatform.WeightConfig{AdapterLoadsAtFullSpeed: 2}})
		defer p.Close()
		e := New(Config{Weights: p.Weights(), AdapterLoadTime: 10 * time.Millisecond})
		defer e.Close()
		mustOrder(t, e, newOrder(engine.LoadModel, "m", "", 10, 1))
		start := time.Now()
		loadTimes := make(chan time.Duration, 6)
		for _, name := range []string{"a", "b", "c", "d", "e", "f"} {
			go func() {
				if r, err := e.Order(t.Context(), newOrder(engine.LoadAdapter, name, "m", 1, 2)); err == nil && r.Accepted {
					loadTimes <- time.Since(start)
				}
			}()
		}
		var longest time.Duration
		for range 6 {
			longest = max(longest, <-loadTimes)
		}
		is.Equal(longest, 30*time.Millisecond) // 6 concurrent loads take 3 times as long if 2 run at full speed
	})
}

// Guards against load reports and cache events that ignore their configured delay
// and loss, and so are fresher or more complete than those of a real engine.
func TestReportsAndCacheEventsAreDelayed(t *testing.T) {
	c := Config{ReportLag: 5 * time.Second, CacheEventDelay: time.Second, CacheEventLoss: 0.5, CachePrefixes: 4, Seed: 3}
	runEngine(t, c, func(t *testing.T, is *is.I, e *Engine) {
		mustOrder(t, e, newOrder(engine.LoadModel, "m", "", 10, 1))
		report, err := e.Report(t.Context())
		is.NoErr(err)
		is.Equal(len(report.Residents), 0) // taken before the load
		for _, prompt := range []string{"a", "b", "c", "d", "e", "f", "g", "h"} {
			_, err := readText(generate(t, e, prompt, prompt, fleet.Prompt, 1, 0))
			is.NoErr(err)
		}
		events, err := e.CacheEvents(t.Context(), 0)
		is.NoErr(err)
		is.Equal(len(events), 0)
		time.Sleep(10 * time.Second)
		events, err = e.CacheEvents(t.Context(), 0)
		is.NoErr(err)
		is.True(len(events) > 0 && len(events) < 12) // 8 additions, 4 removals, some lost
		report, err = e.Report(t.Context())
		is.NoErr(err)
		is.Equal(len(report.Residents), 1)
		is.True(time.Since(report.TakenAt) >= 5*time.Second)
	})
}

// Guards against requests that keep running, or count as finished, after their
// client has disconnected.
func TestCancelledRequestsFreeTheirSlot(t *testing.T) {
	runEngine(t, Config{Slots: 1}, func(t *testing.T, is *is.I, e *Engine) {
		mustOrder(t, e, newOrder(engine.LoadModel, "m", "", 10, 1))
		ctx, cancel := context.WithCancel(t.Context())
		s, err := e.Generate(ctx, engine.GenerateRequest{RequestID: "r1", Model: "m", MaxTokens: 1000})
		is.NoErr(err)
		_, err = s.Next()
		is.NoErr(err)
		cancel()
		_, err = readText(s)
		is.True(err != nil)
		_, err = readText(generate(t, e, "r2", "p", fleet.Prompt, 1, 0))
		is.NoErr(err)
		is.Equal(e.Counts().ByRequest["r1"], RequestCounts{Accepted: 1, Started: 1, Cancelled: 1})
	})
}

// Guards against delivery faults that differ from those of a network, where a
// delayed order still arrives after its sender has disconnected.
func TestOrdersAreLostDelayedAndRepeated(t *testing.T) {
	runEngine(t, Config{}, func(t *testing.T, is *is.I, e *Engine) {
		usedMB := func() int {
			s, err := e.State(t.Context())
			is.NoErr(err)
			return s.UsedMB
		}
		e.SetFaults(Faults{LoseOrders: 1, LoseAnswers: 1})
		_, err := e.Order(t.Context(), newOrder(engine.LoadModel, "m", "", 1, 1))
		is.True(err != nil)
		is.Equal(usedMB(), 0) // the order never arrived
		_, err = e.Order(t.Context(), newOrder(engine.LoadModel, "m", "", 1, 2))
		is.True(err != nil)
		is.Equal(usedMB(), 1) // the order took effect although its answer was lost
		e.SetFaults(Faults{OrderDelay: time.Minute, RepeatAfter: time.Hour})
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err = e.Order(ctx, newOrder(engine.LoadModel, "n", "", 2, 3))
		is.True(err != nil)
		is.Equal(usedMB(), 1)
		time.Sleep(time.Minute)
		is.Equal(usedMB(), 3) // the order arrived late
		e.SetFaults(Faults{})
		mustOrder(t, e, newOrder(engine.UnloadModel, "n", "", 2, 4))
		is.Equal(usedMB(), 1)
		time.Sleep(2 * time.Hour)
		is.Equal(usedMB(), 3) // the duplicate arrived
	})
}

// Guards against an engine that exceeds its memory although it refuses
// overcommitment, or whose reported memory use differs from the sum of its entries.
func TestMemoryStaysWithinCapacity(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		runEngine(t, Config{MemoryMB: 10, RefusesOvercommit: true, UnloadTime: 50 * time.Millisecond}, func(t *testing.T, _ *is.I, e *Engine) {
			kinds := []engine.OrderKind{engine.LoadModel, engine.UnloadModel, engine.LoadAdapter, engine.UnloadAdapter}
			for i := range rapid.IntRange(1, 20).Draw(rt, "orders") {
				o := newOrder(rapid.SampledFrom(kinds).Draw(rt, "kind"), rapid.SampledFrom([]string{"m", "n", "o"}).Draw(rt, "name"), "m", rapid.IntRange(1, 6).Draw(rt, "memory"), uint64(i))
				if _, err := e.Order(t.Context(), o); err != nil {
					rt.Fatal(err)
				}
				time.Sleep(time.Duration(rapid.IntRange(0, 1500).Draw(rt, "pause")) * time.Millisecond)
				s, err := e.State(t.Context())
				if err != nil {
					rt.Fatal(err)
				}
				sum := 0
				for _, r := range s.Residents {
					sum += r.MemoryMB
				}
				if s.UsedMB > 10 || sum != s.UsedMB {
					rt.Fatalf("used %d MB, residents %+v", s.UsedMB, s.Residents)
				}
			}
			if n := e.Counts(); n.PeakMB > 10 || n.OvercommitEvents > 0 {
				rt.Fatalf("counts %+v", n)
			}
		})
	})
}
