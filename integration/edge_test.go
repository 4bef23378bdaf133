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

// edgeRequests returns one request of each kind. n varies paths, bodies and adapters.
func edgeRequests(n int) []edgeRequest {
	return []edgeRequest{
		{Method: "GET", Path: fmt.Sprintf("/look/%d?q=a%%20b", n)},
		{Method: "POST", Path: fmt.Sprintf("/book/%d", n), Body: "a booking"},
		{Method: "GET", Path: fmt.Sprintf("/book/%d", n)},
		{Method: "POST", Path: "/chat/x", Body: fmt.Sprint(n), Model: "m1"},
		{Method: "POST", Path: "/chat/x", Body: fmt.Sprint(n), Model: fmt.Sprintf("m1/a%d", 1+n%8)},
		{Method: "POST", Path: "/once/x", Body: fmt.Sprint(n), Model: "m2"},
	}
}

// checkReply asserts what holds for every reply, with or without faults: a success
// carries the complete answer of a replica that ran this request, and a request
// that may not be repeated ran at most once, and not at all if it was refused.
func (f *edgeFleet) checkReply(r edgeRequest, got platformtest.Reply) {
	f.t.Helper()
	runs := f.Runs(r.ID)
	repeatable := strings.HasPrefix(r.Path, "/look/") || strings.HasPrefix(r.Path, "/chat/")
	if !repeatable && len(runs) > 1 {
		f.t.Errorf("%s %s ran %d times", r.Path, r.ID, len(runs))
	}
	for _, run := range runs {
		sameBody := run.Body == r.Body || run.Body == platformtest.UnreadBody
		if run.Target != r.Path || run.Method != r.Method || !sameBody || run.Model != r.Model {
			f.t.Errorf("%s was changed in transit: %+v", r.ID, run)
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
			f.t.Errorf("%s %s: %d runs, answer %q, want %q", r.Path, r.ID, len(runs), got.Body, want)
		}
	case (got.Status == http.StatusServiceUnavailable || got.Status == http.StatusTooManyRequests) && !repeatable && len(runs) > 0:
		f.t.Errorf("%s %s ran and was refused with %d", r.Path, r.ID, got.Status)
	}
}

// routeCounts counts sent and successfully served requests by route.
type routeCounts struct{ sent, served map[string]int }

// sendUntilStopped sends random kinds of requests through random instances until
// stop is closed, checks each reply, and returns the counts by route.
func (f *edgeFleet) sendUntilStopped(callers int, seed uint64, stop <-chan struct{}) routeCounts {
	out := routeCounts{sent: make(map[string]int), served: make(map[string]int)}
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
				candidates := edgeRequests(n)
				r := candidates[rng.IntN(len(candidates))]
				r.ID = fmt.Sprintf("p%d-%d-%d", seed, c, n)
				got := f.send(f.instances[rng.IntN(len(f.instances))], r)
				f.checkReply(r, got)
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

// The routes of the test config. Requests to chat can need an adapter, and only the
// holder of the order lease loads adapters.
var (
	allRoutes             = []string{"look", "book", "once", "chat"}
	routesWithoutAdapters = []string{"look", "book", "once"}
)

// Minimum shares of a route's requests that must be served: in normal operation,
// and during or shortly after faults, when replicas can still be excluded.
const (
	normalServedShare   = 0.95
	recoveryServedShare = 0.8
)

// checkServedDuring sends requests while action runs. It asserts that each of the
// routes serves at least the given share of its requests, and calls checkOrders.
func (f *edgeFleet) checkServedDuring(seed uint64, share float64, routes []string, action func()) {
	f.t.Helper()
	stop := make(chan struct{})
	var got routeCounts
	var wg sync.WaitGroup
	wg.Go(func() { got = f.sendUntilStopped(6, seed, stop) })
	action()
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

// Guards against a kind of request that fails without injected faults while a route
// is added to the config, a replica drains, and an instance reloads its settings.
func TestEdgeServesThroughConfigChanges(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := startEdgeFleet(t, 3)
	f.waitOrderHolder(nil)
	f.checkServedDuring(101, normalServedShare, allRoutes, func() {
		f.PutConfig(2, `,{"name":"new","host":"h.example","path-prefix":"/new/","kind":"idempotent","timeout-ms":1500,"goal-ms":150,"priority":2,"service":"app","attempts":2}`)
		for _, i := range f.instances {
			waitFor(t, "the new route at "+i.name, func() bool { return f.send(i, edgeRequest{Method: "GET", Path: "/new/x"}).Status == http.StatusOK })
		}
		f.instances[1].signal(syscall.SIGHUP)
		f.Store.Put(platform.ReplicaTable, f.Apps[0].ID, f.Apps[0].Row("app", "z1", "draining"))
		time.Sleep(2 * time.Second) // a draining replica must get no new requests after this time
	})
	before := len(f.Apps[0].Runs())
	for _, i := range f.instances {
		is.Equal(f.send(i, edgeRequest{Method: "GET", Path: "/look/x"}).Status, http.StatusOK)
	}
	is.Equal(len(f.Apps[0].Runs()), before)
}

// Guards against requests that fail because the store refuses calls, loses the
// responses to writes, responds late, does not respond to one instance, or is
// unreachable for all.
func TestEdgeServesThroughStoreFaults(t *testing.T) {
	t.Parallel()
	f := startEdgeFleet(t, 3)
	f.waitOrderHolder(nil)
	for n, fault := range []struct {
		name       string
		start, end func()
	}{
		{"refuses", func() { f.Store.SetFaults(platformtest.StoreFaults{Refuse: true}) }, func() { f.Store.SetFaults(platformtest.StoreFaults{}) }},
		{"loses answers", func() { f.Store.SetFaults(platformtest.StoreFaults{LoseWrites: true}) }, func() { f.Store.SetFaults(platformtest.StoreFaults{}) }},
		{"is late", func() { f.forEachStoreLink(func(l *link) { l.delay(answerDirection, 400*time.Millisecond) }) }, func() { f.forEachStoreLink((*link).clearToxics) }},
		{"is silent to one", func() { f.instances[0].storeLink.dropData(answerDirection) }, func() { f.forEachStoreLink((*link).clearToxics) }},
		{"is gone", func() { f.forEachStoreLink((*link).cut) }, func() { f.forEachStoreLink((*link).restore) }},
	} {
		t.Log("the store " + fault.name)
		// Without the store, no adapter can be loaded after the order lease expires.
		f.checkServedDuring(uint64(200+n), recoveryServedShare, routesWithoutAdapters, func() {
			fault.start()
			time.Sleep(1500 * time.Millisecond)
			fault.end()
		})
		f.checkServedDuring(uint64(300+n), recoveryServedShare, routesWithoutAdapters, func() { f.waitOrderHolder(nil) })
	}
	f.checkServedDuring(400, normalServedShare, allRoutes, func() { time.Sleep(time.Second) })
}

func (f *edgeFleet) forEachStoreLink(apply func(*link)) {
	for _, i := range f.instances {
		apply(i.storeLink)
	}
}

// Guards against two instances that issue orders at the same time after the holder
// of the order lease is paused and resumed, and against a lease that no other
// instance takes over.
func TestEdgeLeaseHolderPaused(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := startEdgeFleet(t, 3)
	first := f.waitOrderHolder(nil)
	f.loadAdapters(first)
	first.pause()
	second := f.waitOrderHolder(first)
	f.loadAdapters(second)
	first.resume()
	f.checkServedDuring(500, normalServedShare, routesWithoutAdapters, func() {
		time.Sleep(time.Second)
		second.pause()
		f.waitOrderHolder(second)
		second.resume()
	})
	epochs := make(map[uint64]bool)
	for _, e := range f.Engines {
		for _, o := range e.Orders() {
			epochs[o.FenceToken] = true
		}
	}
	is.True(len(epochs) >= 2) // both holders issued orders
}

// Guards against an instance without contact to the store that sends requests to a
// draining replica although the holder of the order lease knows that it drains, and
// against instances that wait for the list of replicas from a paused holder.
func TestEdgeLeaseHolderRelaysReplicaList(t *testing.T) {
	t.Parallel()
	f := startEdgeFleet(t, 3)
	holder := f.waitOrderHolder(nil)
	var others []*edgeInstance
	for _, i := range f.instances {
		if i != holder {
			others = append(others, i)
		}
	}
	waitFor(t, "the holder to relay the list", func() bool { return strings.Count(f.readLogs(), "source=holder") >= len(others) })
	others[0].storeLink.dropData(answerDirection)
	f.Store.Put(platform.ReplicaTable, f.Apps[0].ID, f.Apps[0].Row("app", "z1", "draining"))
	f.waitNoRequests(f.Apps[0], f.instances...)
	others[0].storeLink.clearToxics()

	holder.pause()
	f.Store.Put(platform.ReplicaTable, f.Apps[0].ID, f.Apps[0].Row("app", "z1", "in_service"))
	f.Store.Put(platform.ReplicaTable, f.Apps[1].ID, f.Apps[1].Row("app", "z2", "draining"))
	f.waitNoRequests(f.Apps[1], others...)
	holder.resume()
}

// waitNoRequests waits until the instances send no more requests to a replica.
func (f *edgeFleet) waitNoRequests(r *platformtest.Replica, instances ...*edgeInstance) {
	f.t.Helper()
	for _, i := range instances {
		waitFor(f.t, i.name+" to stop sending to "+r.ID, func() bool {
			before := len(r.Runs())
			for range 10 {
				f.send(i, edgeRequest{Method: "GET", Path: "/look/x"})
			}
			return len(r.Runs()) == before
		})
	}
}

// loadAdapters sends requests for four adapters through an instance until each is
// loaded and answers.
func (f *edgeFleet) loadAdapters(i *edgeInstance) {
	f.t.Helper()
	for n := range 4 {
		waitFor(f.t, "an adapter to be loaded", func() bool {
			return f.send(i, edgeRequest{Method: "POST", Path: "/chat/x", Body: fmt.Sprint(n), Model: fmt.Sprintf("m1/a%d", 1+n)}).Status == http.StatusOK
		})
	}
}

// Guards against replicas that are ordered to load more adapters than they can hold
// when orders time out without a response and are executed later.
func TestEdgeLateOrders(t *testing.T) {
	t.Parallel()
	f := startEdgeFleet(t, 2)
	f.waitOrderHolder(nil)
	f.checkServedDuring(600, recoveryServedShare, routesWithoutAdapters, func() {
		f.Engines[0].DelayOrders(900 * time.Millisecond)
		time.Sleep(3 * time.Second)
		f.Engines[0].DelayOrders(0)
	})
	f.checkServedDuring(601, recoveryServedShare, allRoutes, func() { time.Sleep(2 * time.Second) })
}

// Guards against an answer that is delivered to another request, a request that may
// not be repeated but is sent again after a reused connection broke, and a truncated
// stream that ends as if it were complete.
func TestEdgeFaultyReplicas(t *testing.T) {
	t.Parallel()
	f := startEdgeFleet(t, 2)
	f.waitOrderHolder(nil)
	rng := rand.New(rand.NewPCG(700, 0))
	for n, fault := range []platformtest.Fault{
		platformtest.ExtraAnswer, platformtest.DropAnswer, platformtest.WrongRequestID, platformtest.CutStream, platformtest.Shed, platformtest.Fail,
	} {
		f.checkServedDuring(uint64(700+n), 0, nil, func() {
			for range 20 {
				platformtest.QueueFaultsOnAll(f.Apps, fault)
				platformtest.QueueFaultsOnAll(f.Engines, fault)
				time.Sleep(time.Duration(rng.IntN(60)) * time.Millisecond)
			}
		})
	}
	time.Sleep(2 * time.Second) // failed replicas are excluded for a while
	f.checkServedDuring(720, recoveryServedShare, allRoutes, func() { time.Sleep(2 * time.Second) })
}

// Guards against successive planned stops that break off or refuse requests that
// the instance has already read.
func TestEdgeStopsUnderStreams(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := startEdgeFleet(t, 3)
	f.waitOrderHolder(nil)
	for _, e := range f.Engines {
		e.SetEventGap(150 * time.Millisecond)
	}
	for n, i := range f.instances {
		var wg sync.WaitGroup
		replies := make([]platformtest.Reply, 5)
		for r := range replies {
			wg.Go(func() {
				replies[r] = f.send(i, edgeRequest{Method: "POST", Path: "/once/x", ID: fmt.Sprintf("stop-%d-%d", n, r), Body: fmt.Sprint(n, r), Model: "m2"})
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

// Guards against requests that fail at the other instances after one is killed, and
// against a restarted instance that does not serve, or that treats itself as a peer
// because the lease row still names it as the holder (inc-eba7).
func TestEdgeKilledInstance(t *testing.T) {
	t.Parallel()
	f := startEdgeFleet(t, 3)
	holder := f.waitOrderHolder(nil)
	f.checkServedDuring(800, 0, nil, func() {
		holder.kill()
		f.waitOrderHolder(holder)
		f.startInstance(holder)
	})
	f.checkServedDuring(801, normalServedShare, routesWithoutAdapters, func() { time.Sleep(time.Second) })
	holder = f.waitOrderHolder(nil)
	holder.kill()
	f.startInstance(holder) // the lease row still names this instance
	f.waitOrderHolder(nil)
	output, err := os.ReadFile(holder.logFile)
	if err != nil {
		t.Fatal(err)
	}
	if strings.Contains(string(output), `msg="peer seen" peer=`+holder.name) {
		t.Errorf("%s treated itself as a peer", holder.name)
	}
}

// Guards against failed requests that the explain command cannot trace by their id
// in the logs of the instances.
func TestEdgeRequestsAreExplained(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := startEdgeFleet(t, 2)
	platformtest.QueueFaultsOnAll(f.Apps, platformtest.Shed)
	f.send(f.instances[0], edgeRequest{Method: "POST", Path: "/book/x", ID: "trace-refused"})
	platformtest.QueueFaultsOnAll(f.Apps, platformtest.DropAnswer)
	f.send(f.instances[1], edgeRequest{Method: "GET", Path: "/look/x", ID: "trace-repeated"})
	platformtest.QueueFaultsOnAll(f.Engines, platformtest.CutStream)
	f.send(f.instances[0], edgeRequest{Method: "POST", Path: "/once/x", ID: "trace-broken", Model: "m1"})
	for id, fragments := range map[string][]string{
		"trace-refused":  {"outcome=not-executed", "status=503"},
		"trace-repeated": {"outcome=broken", "then replica=", `msg="request sent again"`, "after=broken"},
		"trace-broken":   {"broken-off"},
	} {
		waitFor(t, "the explanation of "+id, func() bool {
			explanation, err := exec.Command(binaryPath, "explain", id, f.instances[0].logFile, f.instances[1].logFile).CombinedOutput()
			for _, want := range fragments {
				if err != nil || !strings.Contains(string(explanation), want) {
					return false
				}
			}
			return true
		})
	}
	explanation, err := exec.Command(binaryPath, "explain", "no-such-request", f.instances[0].logFile).CombinedOutput()
	is.True(err != nil)
	is.True(strings.Contains(string(explanation), "no line on request"))
}

// Guards against requests and shutdowns that block on log output when its reader
// has stalled.
func TestEdgeStalledLogReader(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := startEdgeFleet(t, 1)
	i := f.instances[0]
	i.kill()
	reader, writer, err := os.Pipe() // the pipe is never read
	is.NoErr(err)
	defer reader.Close()
	file := f.dir + "/" + i.settings.Name + ".json"
	i.process = startProcessWithOutput(t, writer, i.settings.Name, "edge", "--log-level", "debug", "--node-file", file)
	waitListening(t, i.process, i.settings.Callers)
	f.checkServedDuring(900, recoveryServedShare, allRoutes, func() { time.Sleep(2 * time.Second) })
	i.terminate()
	<-i.done // shutdown must not wait for the log reader either
}
