//go:build linux

package integration

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hyssophaven/hyssophaven/engine"
	"github.com/hyssophaven/hyssophaven/engine/enginehttp"
)

// maxInjectedDelay limits the delay of an order. It is below the max_order_delay of
// the deployment, which is 2 s.
const maxInjectedDelay = 1500 * time.Millisecond

// orderFaultInjector is a proxy between the instances and an engine. While it is
// enabled, it drops, delays and duplicates orders.
type orderFaultInjector struct {
	engine.Client
	enabled    *atomic.Bool
	duplicates sync.WaitGroup
	mu         sync.Mutex
	random     *rand.Rand
	injected   map[string]int // number of orders by fault
}

var errLostOrder = &engine.Error{Kind: engine.Truncated, Executed: engine.ExecutedUnknown, Err: errors.New("order lost by the test")}

// Order implements engine.Client.
func (f *orderFaultInjector) Order(ctx context.Context, o engine.Order) (engine.OrderResult, error) {
	if !f.enabled.Load() {
		return f.Client.Order(ctx, o)
	}
	f.mu.Lock()
	fault := [...]string{"lost", "late", "doubled", "answer lost", "none"}[f.random.IntN(5)]
	delay := time.Duration(f.random.Int64N(int64(maxInjectedDelay)))
	f.injected[fault]++
	f.mu.Unlock()
	ctx = context.WithoutCancel(ctx) // a delayed order arrives even after its sender has timed out
	switch fault {
	case "lost":
		return engine.OrderResult{}, errLostOrder
	case "late":
		time.Sleep(delay)
	case "doubled":
		f.duplicates.Go(func() {
			time.Sleep(delay)
			_, _ = f.Client.Order(ctx, o)
		})
	case "answer lost":
		_, _ = f.Client.Order(ctx, o)
		return engine.OrderResult{}, errLostOrder
	}
	return f.Client.Order(ctx, o)
}

// injectOrderFaults inserts a fault injector between each engine and its link. The
// injectors drop, delay and duplicate orders while enabled is true.
func (d *deployment) injectOrderFaults(seed uint64, enabled *atomic.Bool) []*orderFaultInjector {
	d.t.Helper()
	var out []*orderFaultInjector
	for n, e := range d.engines {
		f := &orderFaultInjector{
			Client: enginehttp.NewClient(e.directAddress, enginehttp.Options{}), enabled: enabled,
			random: rand.New(rand.NewPCG(seed, uint64(n))), injected: make(map[string]int),
		}
		server := httptest.NewServer(enginehttp.NewHandler(f, ""))
		d.t.Cleanup(func() {
			enabled.Store(false)
			server.Close()
			f.duplicates.Wait()
		})
		e.link.cut()
		e.link.proxy.Upstream = server.Listener.Addr().String()
		e.link.restore()
		out = append(out, f)
	}
	return out
}

// Guards against overcommitted memory (I1), unreachable models (I2) and swapped or
// truncated answers (I3) when orders are lost, delayed and duplicated and the
// engines' connections break while models are loaded and unloaded (F2).
func TestOrdersLostLateAndDoubled(t *testing.T) {
	for name, ignoreTokens := range map[string]bool{"engines check tokens": false, "engines ignore tokens": true} {
		t.Run(name, func(t *testing.T) {
			const seed = 7
			d := startDeployment(t, options{enginesIgnoreTokens: ignoreTokens})
			var enabled atomic.Bool
			injectors := d.injectOrderFaults(seed, &enabled)
			l := d.startLoad(seed)
			enabled.Store(true)
			random := rand.New(rand.NewPCG(seed, 100))
			for round, version := range []string{"2", "3"} {
				d.editRow(d.members()[round], modelName(round), setVersion(version))
				d.editRow(d.members()[2], modelName(round+1), setMinReplicas(3))
				revision := d.editRow(d.members()[1], modelName(3-round), setMinReplicas(2-round))
				d.waitRevision(revision)
				time.Sleep(time.Second) // orders of this round are in flight
				faultyLink := d.engines[random.IntN(engineCount)].link
				faultyLink.flap()
				faultyLink.delay(answerDirection, 500*time.Millisecond)
				time.Sleep(time.Second)
				faultyLink.clearToxics()
			}
			enabled.Store(false)
			d.waitVersion(modelName(0), "2")
			d.waitVersion(modelName(1), "3")
			d.waitReachable()
			for _, f := range injectors {
				t.Logf("seed %d: injected order faults: %v", seed, f.injected)
			}
			d.checkSafety(l.stopAndWait())
		})
	}
}
