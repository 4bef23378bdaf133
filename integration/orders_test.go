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

// maxLate is below the max_order_delay of the deployment, which is 2 s.
const maxLate = 1500 * time.Millisecond

// faultyOrders stands between the instances and an engine. While it is on, it
// loses, delays and doubles orders.
type faultyOrders struct {
	engine.Client
	on       *atomic.Bool
	doubled  sync.WaitGroup
	mu       sync.Mutex
	random   *rand.Rand
	happened map[string]int
}

var errLostOrder = &engine.Error{Kind: engine.Truncated, Executed: engine.ExecutedUnknown, Err: errors.New("order lost by the test")}

// Order implements engine.Client.
func (f *faultyOrders) Order(ctx context.Context, o engine.Order) (engine.OrderResult, error) {
	if !f.on.Load() {
		return f.Client.Order(ctx, o)
	}
	f.mu.Lock()
	fault := [...]string{"lost", "late", "doubled", "answer lost", "none"}[f.random.IntN(5)]
	late := time.Duration(f.random.Int64N(int64(maxLate)))
	f.happened[fault]++
	f.mu.Unlock()
	ctx = context.WithoutCancel(ctx) // a late order arrives although its sender has given it up
	switch fault {
	case "lost":
		return engine.OrderResult{}, errLostOrder
	case "late":
		time.Sleep(late)
	case "doubled":
		f.doubled.Go(func() {
			time.Sleep(late)
			_, _ = f.Client.Order(ctx, o)
		})
	case "answer lost":
		_, _ = f.Client.Order(ctx, o)
		return engine.OrderResult{}, errLostOrder
	}
	return f.Client.Order(ctx, o)
}

// spoilOrders puts faults between the link of every engine and the engine.
func (d *deployment) spoilOrders(seed uint64, on *atomic.Bool) []*faultyOrders {
	d.t.Helper()
	var out []*faultyOrders
	for n, e := range d.engines {
		f := &faultyOrders{
			Client: enginehttp.NewClient(e.direct, enginehttp.Options{}), on: on,
			random: rand.New(rand.NewPCG(seed, uint64(n))), happened: make(map[string]int),
		}
		server := httptest.NewServer(enginehttp.NewHandler(f, ""))
		d.t.Cleanup(func() {
			on.Store(false)
			server.Close()
			f.doubled.Wait()
		})
		e.link.cut()
		e.link.proxy.Upstream = server.Listener.Addr().String()
		e.link.restore()
		out = append(out, f)
	}
	return out
}

// Guards against overcommitted memory (I1), lost models (I2) and foreign or
// short answers (I3) when orders are lost, late and doubled and the engines'
// connections are cut while models move (F2).
func TestOrdersLostLateAndDoubled(t *testing.T) {
	for name, ignores := range map[string]bool{"engines check tokens": false, "engines ignore tokens": true} {
		t.Run(name, func(t *testing.T) {
			const seed = 7
			d := startDeployment(t, options{ignoresTokens: ignores})
			var on atomic.Bool
			faults := d.spoilOrders(seed, &on)
			l := d.startLoad(seed)
			on.Store(true)
			random := rand.New(rand.NewPCG(seed, 100))
			for round, version := range []string{"2", "3"} {
				d.edit(d.members()[round], modelName(round), setVersion(version))
				d.edit(d.members()[2], modelName(round+1), setMinReplicas(3))
				revision := d.edit(d.members()[1], modelName(3-round), setMinReplicas(2-round))
				d.waitInForce(revision)
				time.Sleep(time.Second) // orders of this round are under way
				cut := d.engines[random.IntN(engineCount)].link
				cut.flap()
				cut.delay(answers, 500*time.Millisecond)
				time.Sleep(time.Second)
				cut.heal()
			}
			on.Store(false)
			d.waitVersion(modelName(0), "2")
			d.waitVersion(modelName(1), "3")
			d.waitReachable()
			for _, f := range faults {
				t.Logf("seed %d: faults of orders: %v", seed, f.happened)
			}
			d.checkSafety(l.end())
		})
	}
}
