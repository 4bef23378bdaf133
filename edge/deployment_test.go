package edge

import (
	"bytes"
	"context"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"

	"github.com/hyssophaven/hyssophaven/internal/loopbacktest"
	"github.com/hyssophaven/hyssophaven/nodeconfig"
	"github.com/hyssophaven/hyssophaven/platform/platformtest"
)

// hangTimeout stops a test that would otherwise hang.
const hangTimeout = 20 * time.Second

// logTimeFormat is the format of the times in the instances' logs.
const logTimeFormat = "15:04:05.000"

// deployment is the edge instances of one test with their store, replicas and caller.
type deployment struct {
	*platformtest.Backends
	t         testing.TB
	instances []*Instance
	nodesMu   sync.RWMutex // guards nodes while requests are being sent
	nodes     []nodeconfig.Node
	logs      *lockedBuffer
	caller    *platformtest.Caller
	bounds    nodeconfig.Bounds // of the instances that are added from now on
	memory    int64             // memory limit of these instances; 0 for none
}

// lockedBuffer is a log buffer that all instances of a deployment share.
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

// startDeployment starts a deployment and waits until each instance has the config and
// the list of replicas.
func startDeployment(t testing.TB, instances int) *deployment {
	t.Helper()
	return startDeploymentOn(t, platformtest.NewBackends(), instances)
}

// startDeploymentOn is startDeployment with the given stand-ins.
func startDeploymentOn(t testing.TB, backends *platformtest.Backends, instances int) *deployment {
	t.Helper()
	d := newDeploymentOn(t, backends)
	for range instances {
		d.addInstance()
	}
	return d
}

// newDeployment starts a deployment without instances.
func newDeployment(t *testing.T) *deployment {
	return newDeploymentOn(t, platformtest.NewBackends())
}

// newDeploymentOn is newDeployment with the given stand-ins.
func newDeploymentOn(t testing.TB, backends *platformtest.Backends) *deployment {
	d := &deployment{Backends: backends, t: t, logs: &lockedBuffer{}, caller: platformtest.NewCaller(hangTimeout)}
	d.bounds = nodeconfig.Bounds{
		Grace: 6 * time.Second, LeaseTurn: 300 * time.Millisecond, RetryRatio: 0.2, RetrySlack: 200,
		RetryWindow: 10 * time.Second, LoadWindow: 5 * time.Second, LoadExcess: 1.1,
	}
	t.Cleanup(d.Backends.Close)
	return d
}

// addInstance starts one more instance and waits until it serves requests.
func (d *deployment) addInstance() *Instance {
	d.t.Helper()
	host := loopbacktest.HostFor(d.t)
	node := nodeconfig.Node{
		ID: "edge-" + host, DataCentre: "z1", FirstStart: true, Callers: loopbacktest.Address(d.t, host), Readiness: loopbacktest.Address(d.t, host), PeerHost: host,
		FirstPeerPort: 17380, LastPeerPort: 17390, Store: d.Store.Address(), Bounds: d.bounds, MemoryBytes: d.memory,
	}
	d.nodesMu.Lock()
	d.instances, d.nodes = append(d.instances, nil), append(d.nodes, node)
	d.nodesMu.Unlock()
	index := len(d.nodes) - 1
	d.startInstance(index)
	return d.instances[index]
}

// startInstance starts the instance with the given index, which may have been stopped
// before, and waits until it serves requests.
func (d *deployment) startInstance(index int) {
	d.t.Helper()
	node := d.nodes[index]
	i, err := New(node, log.NewWithOptions(d.logs, log.Options{Formatter: log.LogfmtFormatter, ReportTimestamp: true, TimeFormat: logTimeFormat, Prefix: node.ID}))
	if err != nil {
		d.t.Fatal(err)
	}
	if err := i.Start(context.Background()); err != nil {
		d.t.Fatal(err)
	}
	d.instances[index] = i
	d.t.Cleanup(func() { _ = i.kernel.Stop(context.Background()); _ = i.metrics.Close() })
	d.eventually("the instance is ready", func() bool {
		status, _ := d.get("http://" + node.Readiness + "/hyssophaven/readiness")
		return status == http.StatusOK
	})
	d.eventually("the instance knows the replicas", func() bool {
		return d.do(index, request{Method: "GET", Path: "/look/ready"}).Status == http.StatusOK
	})
}

// eventually waits until condition holds, and fails the test after hangTimeout.
func (d *deployment) eventually(description string, condition func() bool) {
	d.t.Helper()
	for deadline := time.Now().Add(hangTimeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return
		}
	}
	d.t.Fatalf("condition not met in time: %s\n%s", description, d.logs.String())
}

// logged reports whether a log line contains all of the texts.
func (d *deployment) logged(texts ...string) bool { return d.logCount(texts...) > 0 }

// logCount returns the number of log lines that contain all of the texts.
func (d *deployment) logCount(texts ...string) int {
	count := 0
	for line := range strings.Lines(d.logs.String()) {
		if !slices.ContainsFunc(texts, func(text string) bool { return !strings.Contains(line, text) }) {
			count++
		}
	}
	return count
}

func (d *deployment) get(url string) (int, string) { return d.caller.Get(url) }

// request and reply are a caller's request and its result.
type (
	request = platformtest.Request
	reply   = platformtest.Reply
)

// do sends a request to the instance with the given index.
func (d *deployment) do(instance int, r request) reply {
	ctx, cancel := context.WithTimeout(context.Background(), hangTimeout)
	defer cancel()
	return d.doContext(ctx, instance, r)
}

func (d *deployment) doContext(ctx context.Context, instance int, r request) reply {
	d.nodesMu.RLock()
	address := d.nodes[instance].Callers
	d.nodesMu.RUnlock()
	return d.caller.Do(ctx, address, r)
}
