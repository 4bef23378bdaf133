package edge

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"

	"github.com/hyssophaven/hyssophaven/nodeconfig"
	"github.com/hyssophaven/hyssophaven/platform/platformtest"
)

// hangTimeout only stops a test that would wait for ever.
const hangTimeout = 20 * time.Second

// deployment is a store, replicas and edge instances of one test.
type deployment struct {
	t         *testing.T
	store     *platformtest.Store
	engines   []*platformtest.Replica
	apps      []*platformtest.Replica
	instances []*Instance
	nodes     []nodeconfig.Node
	logs      *lockedBuffer
	client    *http.Client
}

type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// hosts counts the loopback addresses that tests have used, so that instances
// of one test do not share the fixed metrics port.
var hosts atomic.Int32

// start runs a deployment and waits until each instance knows the config and
// the replicas.
func start(t *testing.T, instances int) *deployment {
	t.Helper()
	d := &deployment{t: t, store: platformtest.NewStore(), logs: &lockedBuffer{}, client: &http.Client{
		Timeout: hangTimeout, Transport: &http.Transport{DisableKeepAlives: true},
	}}
	t.Cleanup(d.store.Close)
	d.putConfig(1, "")
	for i, zone := range []string{"z1", "z2"} {
		engine := platformtest.NewReplica(fmt.Sprintf("engine-%d", i), "m1", "m2")
		app := platformtest.NewReplica(fmt.Sprintf("app-%d", i))
		t.Cleanup(engine.Close)
		t.Cleanup(app.Close)
		d.engines, d.apps = append(d.engines, engine), append(d.apps, app)
		d.store.Put("servers", engine.ID, engine.Entry("llm", zone, "in_service"))
		d.store.Put("servers", app.ID, app.Entry("app", zone, "in_service"))
	}
	for range instances {
		d.addInstance()
	}
	return d
}

func (d *deployment) putConfig(version int, moreRoutes string) {
	d.store.Put("op", "config", platformtest.Config(version, moreRoutes))
}

func (d *deployment) addInstance() *Instance {
	d.t.Helper()
	n := hosts.Add(1)
	host := loopback(n)
	node := nodeconfig.Node{
		ID: "edge-" + host, DataCentre: "z1", Callers: freeAddress(d.t, host), Readiness: freeAddress(d.t, host), PeerHost: host,
		FirstPeerPort: 17380, LastPeerPort: 17390, Store: d.store.Address(),
		Bounds: nodeconfig.Bounds{
			Grace: 6 * time.Second, LeaseTurn: 300 * time.Millisecond, RetryRatio: 0.2, RetrySlack: 200,
			RetryWindow: 10 * time.Second, LoadWindow: 5 * time.Second, LoadExcess: 1.1,
		},
	}
	i, err := New(node, log.NewWithOptions(d.logs, log.Options{Formatter: log.LogfmtFormatter}))
	if err != nil {
		d.t.Fatal(err)
	}
	if err := i.Start(context.Background()); err != nil {
		d.t.Fatal(err)
	}
	d.instances, d.nodes = append(d.instances, i), append(d.nodes, node)
	d.t.Cleanup(func() { _ = i.kernel.Stop(context.Background()); _ = i.metrics.Close() })
	d.eventually("the instance is ready", func() bool {
		status, _ := d.get("http://" + node.Readiness + "/hyssophaven/readiness")
		return status == http.StatusOK
	})
	d.eventually("the instance knows the replicas", func() bool {
		return d.do(len(d.instances)-1, request{method: "GET", path: "/look/ready"}).status == http.StatusOK
	})
	return i
}

// loopback returns an address that no other instance of this process has, and
// hardly one of another test process.
func loopback(n int32) string {
	return fmt.Sprintf("127.%d.%d.%d", 16+os.Getpid()%200, n/200, 1+n%200)
}

func freeAddress(t *testing.T, host string) string {
	t.Helper()
	l, err := net.Listen("tcp", host+":0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// eventually waits for an observable state.
func (d *deployment) eventually(what string, condition func() bool) {
	d.t.Helper()
	for deadline := time.Now().Add(hangTimeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return
		}
	}
	d.t.Fatalf("never came about: %s\n%s", what, d.logs.String())
}

func (d *deployment) get(url string) (int, string) {
	resp, err := d.client.Get(url)
	if err != nil {
		return 0, ""
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, ""
	}
	return resp.StatusCode, string(body)
}

// request is a caller's request; reply is what came of it.
type request struct {
	method, path, id, body, model string
	header                        http.Header
	timeLeft                      time.Duration
}

type reply struct {
	status int
	body   string
	header http.Header
	err    error // of the connection or of the body
}

var ids atomic.Int64

func (d *deployment) do(instance int, r request) reply {
	d.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), hangTimeout)
	defer cancel()
	return d.doContext(ctx, instance, r)
}

func (d *deployment) doContext(ctx context.Context, instance int, r request) reply {
	d.t.Helper()
	req, err := http.NewRequestWithContext(ctx, r.method, "http://"+d.nodes[instance].Callers+r.path, strings.NewReader(r.body))
	if err != nil {
		d.t.Fatal(err)
	}
	req.Host = "h.example"
	if r.id == "" {
		r.id = fmt.Sprintf("id-%d", ids.Add(1))
	}
	for name, values := range r.header {
		req.Header[name] = values
	}
	req.Header.Set("X-Hyssophaven-Attempt-Id", r.id)
	if r.timeLeft > 0 {
		req.Header.Set("X-Hyssophaven-Deadline-Ms", fmt.Sprint(r.timeLeft.Milliseconds()))
	}
	if r.model != "" {
		req.Header.Set("X-Hyssophaven-Model", r.model)
		req.Header.Set("X-Hyssophaven-Token-Count", "100,10")
		req.Header.Set("X-Hyssophaven-Prompt-Prefix", "aa:40,bb:60")
	}
	resp, err := d.client.Do(req)
	if err != nil {
		return reply{err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return reply{status: resp.StatusCode, body: string(body), header: resp.Header, err: err}
}

// runs returns all runs of a request, over all replicas.
func (d *deployment) runs(id string) []platformtest.Run {
	var out []platformtest.Run
	for _, r := range append(append([]*platformtest.Replica{}, d.engines...), d.apps...) {
		for _, run := range r.Runs() {
			if run.ID == id {
				out = append(out, run)
			}
		}
	}
	return out
}

// faultAll sets the same fault for the next request of each replica.
func faultAll(replicas []*platformtest.Replica, f platformtest.Fault) {
	for _, r := range replicas {
		r.Fault(f)
	}
}
