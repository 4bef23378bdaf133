//go:build linux

package integration

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hyssophaven/hyssophaven/platform"
	"github.com/hyssophaven/hyssophaven/platform/platformtest"
)

// edgeKinds are the kinds of request of a day.
func edgeKinds(n int) []edgeRequest {
	return []edgeRequest{
		{Method: "GET", Path: fmt.Sprintf("/look/%d?q=a%%20b", n)},
		{Method: "POST", Path: fmt.Sprintf("/book/%d", n), Body: "a booking"},
		{Method: "GET", Path: fmt.Sprintf("/book/%d", n)},
		{Method: "POST", Path: "/chat/x", Body: fmt.Sprint(n), Model: "m1"},
		{Method: "POST", Path: "/chat/x", Body: fmt.Sprint(n), Model: fmt.Sprintf("m1/a%d", 1+n%8)},
		{Method: "POST", Path: "/once/x", Body: fmt.Sprint(n), Model: "m2"},
	}
}

// checkAnswer asserts what holds for each answer at any time: a success is the
// whole answer of a replica that ran this request, a refusal did not run, and a
// request that may not be repeated ran once at most.
func (f *edgeFleet) checkAnswer(r edgeRequest, got platformtest.Reply) {
	f.t.Helper()
	runs := f.Runs(r.ID)
	repeatable := strings.HasPrefix(r.Path, "/look/") || strings.HasPrefix(r.Path, "/chat/")
	if !repeatable && len(runs) > 1 {
		f.t.Errorf("%s %s ran %d times", r.Path, r.ID, len(runs))
	}
	for _, run := range runs {
		if run.Target != r.Path || run.Method != r.Method || run.Body != r.Body || run.Model != r.Model {
			f.t.Errorf("%s was changed on its way: %+v", r.ID, run)
		}
	}
	switch {
	case got.Err != nil:
	case got.Status == http.StatusOK:
		want := platformtest.StreamBody(r.ID, 6)
		if r.Model == "" {
			want = "answer of " + strings.TrimPrefix(got.Header.Get("X-Hyssophaven-Server-Seal"), "seal-")
		}
		if len(runs) == 0 || got.Body != want {
			f.t.Errorf("%s %s: %d runs, the answer %q, want %q", r.Path, r.ID, len(runs), got.Body, want)
		}
	case (got.Status == http.StatusServiceUnavailable || got.Status == http.StatusTooManyRequests) && !repeatable && len(runs) > 0:
		f.t.Errorf("%s %s ran and was refused with %d", r.Path, r.ID, got.Status)
	}
}

// tally counts requests by route.
type tally struct{ sent, served map[string]int }

// play sends every kind of request through random instances until stop is
// closed, checks each answer, and returns what came of them.
func (f *edgeFleet) play(callers int, seed uint64, stop <-chan struct{}) tally {
	out := tally{sent: make(map[string]int), served: make(map[string]int)}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for c := range callers {
		rng := rand.New(rand.NewPCG(seed, uint64(c)))
		wg.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(time.Duration(rng.IntN(40)) * time.Millisecond):
				}
				kinds := edgeKinds(n)
				r := kinds[rng.IntN(len(kinds))]
				r.ID = fmt.Sprintf("p%d-%d-%d", seed, c, n)
				got := f.do(f.instances[rng.IntN(len(f.instances))], r)
				f.checkAnswer(r, got)
				route := strings.Split(r.Path, "/")[1]
				mu.Lock()
				out.sent[route]++
				if got.Err == nil && got.Status == http.StatusOK {
					out.served[route]++
				} else {
					f.t.Logf("%s %s %s: status %d, error %v", r.Path, r.Model, r.ID, got.Status, got.Err)
				}
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return out
}

// The routes of the test config. Chat needs adapters, which only a holder of the
// order lease loads.
var (
	allRoutes   = []string{"look", "book", "once", "chat"}
	plainRoutes = []string{"look", "book", "once"}
)

// Shares of a route's requests that have to be served: on a calm day, and
// shortly after a trouble, when replicas may still be left alone.
const (
	calmShare  = 0.95
	afterShare = 0.8
)

// during plays requests while change runs, and asserts for some routes that at
// least a share of their requests is served.
func (f *edgeFleet) during(seed uint64, share float64, routes []string, change func()) {
	f.t.Helper()
	stop := make(chan struct{})
	var got tally
	var wg sync.WaitGroup
	wg.Go(func() { got = f.play(6, seed, stop) })
	change()
	time.Sleep(500 * time.Millisecond)
	close(stop)
	wg.Wait()
	f.t.Logf("seed %d: sent %v, served %v", seed, got.sent, got.served)
	for _, route := range routes {
		if float64(got.served[route]) < share*float64(got.sent[route]) {
			f.t.Errorf("seed %d, route %s: %d of %d requests served, want a share of %v", seed, route, got.served[route], got.sent[route], share)
		}
	}
	f.checkOrders()
}

// Guards against a kind of request that the processes do not serve on a calm
// day, while the config changes, a replica leaves, and settings are read again.
func TestEdgeServesADay(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := startEdgeFleet(t, 3)
	f.holder(nil)
	f.during(101, calmShare, allRoutes, func() {
		f.PutConfig(2, `,{"name":"new","host":"h.example","path-prefix":"/new/","kind":"idempotent","timeout-ms":1500,"goal-ms":150,"priority":2,"service":"app","attempts":2}`)
		for _, i := range f.instances {
			waitFor(t, "the new route at "+i.name, func() bool { return f.do(i, edgeRequest{Method: "GET", Path: "/new/x"}).Status == http.StatusOK })
		}
		f.instances[1].signal(syscall.SIGHUP)
		f.Store.Put(platform.ReplicaTable, f.Apps[0].ID, f.Apps[0].Row("app", "z1", "draining"))
		time.Sleep(2 * time.Second) // the time within which a leaving replica must be left alone
	})
	before := len(f.Apps[0].Runs())
	for _, i := range f.instances {
		is.Equal(f.do(i, edgeRequest{Method: "GET", Path: "/look/x"}).Status, http.StatusOK)
	}
	is.Equal(len(f.Apps[0].Runs()), before)
}

// Guards against requests that fail because the store refuses calls, loses the
// answers to writes, answers late, or is silent to one instance or to all.
func TestEdgeServesThroughStoreTrouble(t *testing.T) {
	t.Parallel()
	f := startEdgeFleet(t, 3)
	f.holder(nil)
	for n, trouble := range []struct {
		name       string
		start, end func()
	}{
		{"refuses", func() { f.Store.SetFaults(platformtest.StoreFaults{Refuse: true}) }, func() { f.Store.SetFaults(platformtest.StoreFaults{}) }},
		{"loses answers", func() { f.Store.SetFaults(platformtest.StoreFaults{LoseWrites: true}) }, func() { f.Store.SetFaults(platformtest.StoreFaults{}) }},
		{"is late", func() { f.eachLink(func(l *link) { l.delay(answers, 400*time.Millisecond) }) }, func() { f.eachLink((*link).heal) }},
		{"is silent to one", func() { f.instances[0].store.swallow(answers) }, func() { f.eachLink((*link).heal) }},
		{"is gone", func() { f.eachLink((*link).cut) }, func() { f.eachLink((*link).restore) }},
	} {
		t.Log("the store " + trouble.name)
		// Without the store, no adapter can be loaded once the lease ends.
		f.during(uint64(200+n), afterShare, plainRoutes, func() {
			trouble.start()
			time.Sleep(1500 * time.Millisecond)
			trouble.end()
		})
		f.during(uint64(300+n), afterShare, plainRoutes, func() { f.holder(nil) })
	}
	f.during(400, calmShare, allRoutes, func() { time.Sleep(time.Second) })
}

func (f *edgeFleet) eachLink(apply func(*link)) {
	for _, i := range f.instances {
		apply(i.store)
	}
}

// Guards against two instances that give orders when the holder of the order
// lease is suspended and wakes again, and against a fleet without a holder.
func TestEdgeFrozenHolder(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := startEdgeFleet(t, 3)
	first := f.holder(nil)
	f.order(first)
	first.pause()
	second := f.holder(first)
	f.order(second)
	first.resume()
	f.during(500, calmShare, plainRoutes, func() {
		time.Sleep(time.Second)
		second.pause()
		f.holder(second)
		second.resume()
	})
	epochs := make(map[uint64]bool)
	for _, e := range f.Engines {
		for _, o := range e.Orders() {
			epochs[o.FenceToken] = true
		}
	}
	is.True(len(epochs) >= 2) // both holders gave orders
}

// Guards against an instance that is cut off from the store and sends work to a
// leaving replica, though the holder of the order lease knows of it, and against
// instances that wait for a holder that is frozen.
func TestEdgeListOfReplicasIsRelayed(t *testing.T) {
	t.Parallel()
	f := startEdgeFleet(t, 3)
	holder := f.holder(nil)
	var others []*edgeInstance
	for _, i := range f.instances {
		if i != holder {
			others = append(others, i)
		}
	}
	waitFor(t, "the holder to hand on the list", func() bool { return strings.Count(f.logs(), "source=holder") >= len(others) })
	others[0].store.swallow(answers)
	f.Store.Put(platform.ReplicaTable, f.Apps[0].ID, f.Apps[0].Row("app", "z1", "draining"))
	f.leftAlone(f.Apps[0], f.instances...)
	others[0].store.heal()

	holder.pause()
	f.Store.Put(platform.ReplicaTable, f.Apps[0].ID, f.Apps[0].Row("app", "z1", "in_service"))
	f.Store.Put(platform.ReplicaTable, f.Apps[1].ID, f.Apps[1].Row("app", "z2", "draining"))
	f.leftAlone(f.Apps[1], others...)
	holder.resume()
}

// leftAlone waits until instances send no work to a replica.
func (f *edgeFleet) leftAlone(r *platformtest.Replica, instances ...*edgeInstance) {
	f.t.Helper()
	for _, i := range instances {
		waitFor(f.t, i.name+" to leave "+r.ID+" alone", func() bool {
			before := len(r.Runs())
			for range 10 {
				f.do(i, edgeRequest{Method: "GET", Path: "/look/x"})
			}
			return len(r.Runs()) == before
		})
	}
}

// order lets the fleet load adapters.
func (f *edgeFleet) order(i *edgeInstance) {
	f.t.Helper()
	for n := range 4 {
		waitFor(f.t, "an adapter to be loaded", func() bool {
			return f.do(i, edgeRequest{Method: "POST", Path: "/chat/x", Body: fmt.Sprint(n), Model: fmt.Sprintf("m1/a%d", 1+n)}).Status == http.StatusOK
		})
	}
}

// Guards against replicas that are ordered beyond what they hold when orders
// get no answer and are carried out late.
func TestEdgeLateOrders(t *testing.T) {
	t.Parallel()
	f := startEdgeFleet(t, 2)
	f.holder(nil)
	f.during(600, afterShare, plainRoutes, func() {
		f.Engines[0].DelayOrders(900 * time.Millisecond)
		time.Sleep(3 * time.Second)
		f.Engines[0].DelayOrders(0)
	})
	f.during(601, afterShare, allRoutes, func() { time.Sleep(2 * time.Second) })
}

// Guards against an answer that reaches another request, against a request that
// is sent again after a kept connection broke under it, and against a stream
// that ends as complete although it broke off.
func TestEdgeFaultyReplicas(t *testing.T) {
	t.Parallel()
	f := startEdgeFleet(t, 2)
	f.holder(nil)
	rng := rand.New(rand.NewPCG(700, 0))
	for n, fault := range []platformtest.Fault{
		platformtest.ExtraAnswer, platformtest.DropAnswer, platformtest.WrongRequestID, platformtest.CutStream, platformtest.Shed, platformtest.Fail,
	} {
		f.during(uint64(700+n), 0, nil, func() {
			for range 20 {
				platformtest.QueueFaultsOnAll(f.Apps, fault)
				platformtest.QueueFaultsOnAll(f.Engines, fault)
				time.Sleep(time.Duration(rng.IntN(60)) * time.Millisecond)
			}
		})
	}
	time.Sleep(2 * time.Second) // replicas that failed are left alone for a while
	f.during(720, afterShare, allRoutes, func() { time.Sleep(2 * time.Second) })
}

// Guards against planned stops, one after the other, that cut or refuse
// requests which an instance had read.
func TestEdgeStopsUnderStreams(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := startEdgeFleet(t, 3)
	f.holder(nil)
	for _, e := range f.Engines {
		e.SetEventGap(150 * time.Millisecond)
	}
	for n, i := range f.instances {
		var wg sync.WaitGroup
		replies := make([]platformtest.Reply, 5)
		for r := range replies {
			wg.Go(func() {
				replies[r] = f.do(i, edgeRequest{Method: "POST", Path: "/once/x", ID: fmt.Sprintf("stop-%d-%d", n, r), Body: fmt.Sprint(n, r), Model: "m2"})
			})
		}
		waitFor(t, "all streams to run", func() bool {
			for r := range replies {
				if len(f.Runs(fmt.Sprintf("stop-%d-%d", n, r))) == 0 {
					return false
				}
			}
			return true
		})
		i.terminate()
		wg.Wait()
		<-i.done
		for r, got := range replies {
			is.NoErr(got.Err)
			is.Equal(got.Body, platformtest.StreamBody(fmt.Sprintf("stop-%d-%d", n, r), 6))
		}
		f.startInstance(i)
	}
	f.checkOrders()
}

// Guards against requests that a killed instance leaves without a trace at the
// others: these go on, and a new process of the instance serves again. It must
// not take itself for the holder that it was (inc-eba7).
func TestEdgeKilledInstance(t *testing.T) {
	t.Parallel()
	f := startEdgeFleet(t, 3)
	holder := f.holder(nil)
	f.during(800, 0, nil, func() {
		holder.kill()
		f.holder(holder)
		f.startInstance(holder)
	})
	f.during(801, calmShare, plainRoutes, func() { time.Sleep(time.Second) })
	holder = f.holder(nil)
	holder.kill()
	f.startInstance(holder) // the row of the lease still names it
	f.holder(nil)
	output, err := os.ReadFile(holder.log)
	if err != nil {
		t.Fatal(err)
	}
	if strings.Contains(string(output), `msg="peer seen" peer=`+holder.name) {
		t.Errorf("%s took itself for a peer", holder.name)
	}
}

// Guards against failed requests that can't be traced by their id in the output
// of the processes.
func TestEdgeRequestsAreExplained(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := startEdgeFleet(t, 2)
	platformtest.QueueFaultsOnAll(f.Apps, platformtest.Shed)
	f.do(f.instances[0], edgeRequest{Method: "POST", Path: "/book/x", ID: "trace-refused"})
	platformtest.QueueFaultsOnAll(f.Apps, platformtest.DropAnswer)
	f.do(f.instances[1], edgeRequest{Method: "GET", Path: "/look/x", ID: "trace-repeated"})
	platformtest.QueueFaultsOnAll(f.Engines, platformtest.CutStream)
	f.do(f.instances[0], edgeRequest{Method: "POST", Path: "/once/x", ID: "trace-broken", Model: "m1"})
	for id, wants := range map[string][]string{
		"trace-refused":  {"outcome=not-executed", "status=503"},
		"trace-repeated": {"outcome=broken", "then replica=", `msg="request sent again"`, "after=broken"},
		"trace-broken":   {"broken-off"},
	} {
		waitFor(t, "the story of "+id, func() bool {
			story, err := exec.Command(binary, "explain", id, f.instances[0].log, f.instances[1].log).CombinedOutput()
			for _, want := range wants {
				if err != nil || !strings.Contains(string(story), want) {
					return false
				}
			}
			return true
		})
	}
	story, err := exec.Command(binary, "explain", "no-such-request", f.instances[0].log).CombinedOutput()
	is.True(err != nil)
	is.True(strings.Contains(string(story), "no line on request"))
}

// Guards against requests that wait for a reader of the log that has stalled.
func TestEdgeStalledLogReader(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := startEdgeFleet(t, 1)
	i := f.instances[0]
	i.kill()
	reader, writer, err := os.Pipe() // nobody reads
	is.NoErr(err)
	defer reader.Close()
	file := f.dir + "/" + i.settings.Name + ".json"
	i.process = startProcessTo(t, writer, i.settings.Name, "edge", "--log-level", "debug", "--node-file", file)
	waitListening(t, i.process, i.settings.Callers)
	f.during(900, afterShare, allRoutes, func() { time.Sleep(2 * time.Second) })
	i.terminate()
	<-i.done // the stop does not wait for the reader either
}
