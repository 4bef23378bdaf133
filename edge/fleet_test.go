package edge

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hyssophaven/hyssophaven/internal/loopbacktest"
	"github.com/hyssophaven/hyssophaven/platform/platformtest"
)

// orderingCount returns how often an instance became the holder of the order lease.
func (d *deployment) orderingCount() int { return strings.Count(d.logs.String(), "ordering=true") }

// Guards against two instances that send orders at the same time, a lease that stays
// with a stopped holder, and epochs that are used by two holders.
func TestOnlyLeaseHolderSendsOrders(t *testing.T) {
	is := is.New(t)
	d := startDeployment(t, 3)
	d.eventually("one instance gives orders", func() bool { return d.orderingCount() == 1 })
	for i := range 3 {
		got := d.do(i, request{Method: "POST", Path: "/chat/x", Model: fmt.Sprintf("m1/a%d", i+1)})
		is.Equal(got.Status, http.StatusOK) // instances that do not hold the lease serve it too
	}
	holders := d.holders()
	is.Equal(len(holders), 1)
	for i, node := range d.nodes {
		if holders[node.ID] {
			is.NoErr(d.instances[i].kernel.Stop(context.Background()))
		}
	}
	d.eventually("another instance gives orders", func() bool { return d.orderingCount() == 2 })
	epochs := make(map[uint64]string)
	for _, e := range d.Engines {
		last := uint64(0)
		for _, o := range e.Orders() {
			is.True(o.FenceToken >= last)
			last = o.FenceToken
			is.True(epochs[o.FenceToken] == "" || epochs[o.FenceToken] == o.Holder)
			epochs[o.FenceToken] = o.Holder
		}
	}
}

// holders returns the ids of the instances that sent orders to the engines.
func (d *deployment) holders() map[string]bool {
	out := make(map[string]bool)
	for _, e := range d.Engines {
		for _, o := range e.Orders() {
			out[o.Holder] = true
		}
	}
	return out
}

// Guards against a config that is not adopted, or replaced by an older one, after the
// store was silent, compacted its history, refused calls or returned stale data.
func TestConfigIsAdoptedAfterStoreFaults(t *testing.T) {
	is := is.New(t)
	d := startDeployment(t, 2)
	d.eventually("one instance gives orders", func() bool { return d.orderingCount() == 1 })
	version := 1
	putNextConfig := func() string {
		version++
		d.PutConfig(version, fmt.Sprintf(`,{"name":"r%d","host":"h.example","path-prefix":"/r%d/","kind":"idempotent","timeout-ms":1000,"goal-ms":100,"priority":2,"service":"app","attempts":2}`, version, version))
		return fmt.Sprintf("/r%d/x", version)
	}
	servedByAll := func(path string) {
		t.Helper()
		for i := range d.instances {
			d.eventually(path+" is known", func() bool { return d.do(i, request{Method: "GET", Path: path}).Status == http.StatusOK })
		}
	}
	servedByAll(putNextConfig())

	d.Store.SetFaults(platformtest.StoreFaults{Silent: true})
	path := putNextConfig()
	is.Equal(d.do(0, request{Method: "GET", Path: "/look/x"}).Status, http.StatusOK) // requests are served while the store is silent
	d.Store.SetFaults(platformtest.StoreFaults{})
	servedByAll(path)

	path = putNextConfig()
	d.Store.Compact()
	servedByAll(path)

	d.Store.SetFaults(platformtest.StoreFaults{Refuse: true})
	path = putNextConfig()
	is.Equal(d.do(0, request{Method: "POST", Path: "/book/x"}).Status, http.StatusOK)
	d.Store.SetFaults(platformtest.StoreFaults{SnapshotVersion: 3})
	is.Equal(d.do(0, request{Method: "GET", Path: "/look/x"}).Status, http.StatusOK)
	d.Store.SetFaults(platformtest.StoreFaults{})
	servedByAll(path)
}

// Guards against new work for a draining replica, and against requests that fail when
// replicas leave.
func TestDrainingReplicaGetsNoWork(t *testing.T) {
	is := is.New(t)
	d := startDeployment(t, 1)
	d.Store.Put("servers", d.Apps[0].ID, d.Apps[0].Row("app", "z1", "draining"))
	d.eventually("the leaving replica is left alone", func() bool {
		before := len(d.Apps[0].Runs())
		for range 10 {
			is.Equal(d.do(0, request{Method: "GET", Path: "/look/x"}).Status, http.StatusOK)
		}
		return len(d.Apps[0].Runs()) == before
	})
	// Invalid rows of other writers are ignored and do not affect the other replicas.
	d.Store.Put("servers", "ghost", "not an entry")
	d.Store.Put("servers", "ghost-2", platformtest.ReplicaRow{Service: "app", State: "odd"})
	for range 10 {
		is.Equal(d.do(0, request{Method: "GET", Path: "/look/x"}).Status, http.StatusOK)
	}
}

// Guards against requests that are aborted or refused during a graceful stop.
func TestGracefulStopCompletesStreams(t *testing.T) {
	is := is.New(t)
	d := startDeployment(t, 2)
	for _, e := range d.Engines {
		e.EventGap = 150 * time.Millisecond
	}
	var wg sync.WaitGroup
	results := make([]reply, 6)
	for i := range results {
		wg.Go(func() {
			results[i] = d.do(0, request{Method: "POST", Path: "/chat/x", ID: fmt.Sprintf("stop-%d", i), Model: "m1", Body: fmt.Sprint(i)})
		})
	}
	d.eventually("all streams run", func() bool { return len(d.Engines[0].Runs())+len(d.Engines[1].Runs()) >= len(results) })
	is.NoErr(d.instances[0].Stop(context.Background()))
	wg.Wait()
	for i, r := range results {
		is.NoErr(r.Err)
		is.Equal(r.Body, platformtest.StreamBody(fmt.Sprintf("stop-%d", i), 6))
	}
	status, _ := d.get("http://" + d.nodes[0].Readiness + "/hyssophaven/readiness")
	is.True(status != http.StatusOK)
}

// Guards against an instance that reports ready, or answers 404, before it has a
// config.
func TestInstanceWithoutConfigIsNotReady(t *testing.T) {
	is := is.New(t)
	d := startDeployment(t, 1)
	d.Store.SetFaults(platformtest.StoreFaults{Refuse: true})
	running := *d.instances[0]
	node := d.nodes[0]
	node.ID, node.PeerHost = "late", loopbacktest.Host()
	node.Callers, node.Readiness = loopbacktest.Address(t, node.PeerHost), loopbacktest.Address(t, node.PeerHost)
	i, err := New(node, running.log)
	is.NoErr(err)
	is.NoErr(i.Start(context.Background()))
	defer func() { _ = i.kernel.Stop(context.Background()); _ = i.metrics.Close() }()
	status, _ := d.get("http://" + node.Readiness + "/hyssophaven/readiness")
	is.Equal(status, http.StatusServiceUnavailable)
	d.nodes = append(d.nodes, node)
	got := d.do(1, request{Method: "GET", Path: "/look/x"})
	is.Equal(got.Status, http.StatusServiceUnavailable)
	is.True(got.Header.Get("Retry-After") != "")
	d.Store.SetFaults(platformtest.StoreFaults{})
	d.eventually("the instance is ready", func() bool {
		status, _ := d.get("http://" + node.Readiness + "/hyssophaven/readiness")
		return status == http.StatusOK
	})
}

// Guards against failed requests whose cause can't be found in the log by their id,
// and against metrics that are not served.
func TestFailedRequestsAreLoggedWithID(t *testing.T) {
	is := is.New(t)
	d := startDeployment(t, 1)
	platformtest.QueueFaultsOnAll(d.Apps, platformtest.Shed)
	d.do(0, request{Method: "POST", Path: "/book/x", ID: "trace-refused"})
	platformtest.QueueFaultsOnAll(d.Apps, platformtest.DropAnswer)
	d.do(0, request{Method: "GET", Path: "/look/x", ID: "trace-repeated"})
	platformtest.QueueFaultsOnAll(d.Engines, platformtest.CutStream)
	d.do(0, request{Method: "POST", Path: "/once/x", ID: "trace-broken", Model: "m1"})
	for id, want := range map[string]string{
		"trace-refused": "outcome=not-executed", "trace-repeated": "outcome=broken", "trace-broken": "broken-off",
	} {
		d.eventually("a line on "+id, func() bool {
			for _, line := range strings.Split(d.logs.String(), "\n") {
				if strings.Contains(line, "request="+id) && strings.Contains(line, want) {
					return true
				}
			}
			return false
		})
	}
	status, text := d.get("http://" + d.nodes[0].PeerHost + ":" + MetricsPort + MetricsPath)
	is.Equal(status, http.StatusOK)
	is.True(strings.Contains(text, `requests{kind="non-idempotent"`))
	is.True(strings.Contains(text, "first_byte{"))
}

// Guards against exported metrics that docs/metrics.md does not list, and against
// listed metrics that are not exported.
func TestMetricsPage(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../docs/metrics.md")
	is.NoErr(err)
	_, section, found := strings.Cut(string(page), "## Edge instances")
	is.True(found)
	d := startDeployment(t, 1)
	d.instances[0].ExportDroppedLines(func() int64 { return 0 })
	for range 6 { // two consecutive failures eject a replica
		platformtest.QueueFaultsOnAll(d.Apps, platformtest.DropAnswer)
		d.do(0, request{Method: "GET", Path: fmt.Sprintf("/look/%d", requestNumber.Add(1))})
	}
	listed := make(map[string]bool)
	for _, line := range strings.Split(section, "\n") {
		if name, ok := strings.CutPrefix(line, "| `"); ok {
			name, _, _ = strings.Cut(name, "`")
			listed[name] = true
		}
	}
	d.eventually("all listed metrics are exported", func() bool {
		exported := d.exportedMetrics()
		for name := range listed {
			if !exported[name] {
				return false
			}
		}
		return true
	})
	for name := range d.exportedMetrics() {
		is.True(listed[name]) // docs/metrics.md lists it
	}
}

// requestNumber makes the contents of requests differ.
var requestNumber atomic.Int64

// exportedMetrics returns the names of the metrics that the first instance exports.
func (d *deployment) exportedMetrics() map[string]bool {
	d.do(0, request{Method: "POST", Path: "/chat/x", Model: "m1/a1", Body: fmt.Sprint(requestNumber.Add(1))})
	_, text := d.get("http://" + d.nodes[0].PeerHost + ":" + MetricsPort + MetricsPath)
	out := make(map[string]bool)
	for _, line := range strings.Split(strings.TrimSpace(text), "\n") {
		name, _, _ := strings.Cut(line, " ")
		name, _, _ = strings.Cut(name, "{")
		out[name] = true
	}
	return out
}
