//go:build linux

package integration

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/hyssophaven/hyssophaven/platform"
	"github.com/hyssophaven/hyssophaven/platform/platformtest"
)

// edgeFleet is a deployment of `hyssophaven edge` processes, each with its own
// link to the stand-in of the platform's store, in front of stand-ins of replicas.
type edgeFleet struct {
	t             *testing.T
	dir           string
	store         *platformtest.Store
	engines, apps []*platformtest.Replica
	instances     []*edgeInstance
	client        *http.Client
}

type edgeInstance struct {
	*process
	settings platformtest.Settings
	store    *link
}

// edgeHosts counts the loopback addresses that instances have had: the port of
// the metrics is the same for all.
var edgeHosts atomic.Int32

func startEdgeFleet(t *testing.T, instances int) *edgeFleet {
	t.Helper()
	f := &edgeFleet{t: t, dir: t.TempDir(), store: platformtest.NewStore(), client: &http.Client{
		Timeout: patience, Transport: &http.Transport{DisableKeepAlives: true},
	}}
	t.Cleanup(f.store.Close)
	f.store.Put(platform.ConfigTable, platform.ConfigKey, platformtest.Config(1, ""))
	for i, zone := range []string{"z1", "z2"} {
		engine := platformtest.NewReplica(fmt.Sprintf("engine-%d", i), "m1", "m2")
		app := platformtest.NewReplica(fmt.Sprintf("app-%d", i))
		t.Cleanup(engine.Close)
		t.Cleanup(app.Close)
		f.engines, f.apps = append(f.engines, engine), append(f.apps, app)
		f.store.Put(platform.ReplicaTable, engine.ID, engine.Entry("llm", zone, "in_service"))
		f.store.Put(platform.ReplicaTable, app.ID, app.Entry("app", zone, "in_service"))
	}
	for range instances {
		f.add()
	}
	return f
}

// add starts one more instance and waits until it serves.
func (f *edgeFleet) add() *edgeInstance {
	f.t.Helper()
	n := edgeHosts.Add(1)
	host := fmt.Sprintf("127.%d.%d.%d", 16+os.Getpid()%200, 100+n/200, 1+n%200)
	name := fmt.Sprintf("edge-%d", len(f.instances))
	i := &edgeInstance{store: newLink(f.t, name+"-store", f.store.Address())}
	i.settings = platformtest.Settings{
		Name: name, Zone: "z1", Host: host, Callers: freeAddressOn(f.t, host), Readiness: freeAddressOn(f.t, host), Store: i.store.address(),
	}
	f.instances = append(f.instances, i)
	f.startInstance(i)
	return i
}

// startInstance starts an instance's process, for the first time or again.
func (f *edgeFleet) startInstance(i *edgeInstance) {
	f.t.Helper()
	file := filepath.Join(f.dir, i.settings.Name+".json")
	if err := i.settings.Write(file); err != nil {
		f.t.Fatal(err)
	}
	i.process = startProcess(f.t, f.dir, i.settings.Name, "edge", "--node-file", file)
	waitFor(f.t, i.name+" to be ready", func() bool {
		resp, err := f.client.Get("http://" + i.settings.Readiness + platform.ReadinessPath)
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
	waitFor(f.t, i.name+" to know the replicas", func() bool {
		return f.do(i, edgeRequest{method: "GET", path: "/look/ready"}).status == http.StatusOK
	})
}

func freeAddressOn(t *testing.T, host string) string {
	t.Helper()
	l, err := net.Listen("tcp", host+":0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

type edgeRequest struct{ method, path, id, body, model string }

type edgeReply struct {
	status int
	body   string
	seal   string
	err    error // of the connection or of the body
}

var edgeIDs atomic.Int64

func (f *edgeFleet) do(i *edgeInstance, r edgeRequest) edgeReply {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, r.method, "http://"+i.settings.Callers+r.path, strings.NewReader(r.body))
	if err != nil {
		return edgeReply{err: err}
	}
	if r.id == "" {
		r.id = fmt.Sprintf("id-%d", edgeIDs.Add(1))
	}
	req.Host = "h.example"
	req.Header.Set("X-Hyssophaven-Attempt-Id", r.id)
	if r.model != "" {
		req.Header.Set("X-Hyssophaven-Model", r.model)
		req.Header.Set("X-Hyssophaven-Token-Count", "100,10")
		req.Header.Set("X-Hyssophaven-Prompt-Prefix", "aa:40,"+fmt.Sprintf("%x", edgeIDs.Add(1))+":60")
	}
	resp, err := f.client.Do(req)
	if err != nil {
		return edgeReply{err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return edgeReply{status: resp.StatusCode, body: string(body), seal: resp.Header.Get("X-Hyssophaven-Server-Seal"), err: err}
}

// runs returns all runs of a request, over all replicas.
func (f *edgeFleet) runs(id string) []platformtest.Run {
	var out []platformtest.Run
	for _, replicas := range [][]*platformtest.Replica{f.engines, f.apps} {
		for _, r := range replicas {
			for _, run := range r.Runs() {
				if run.ID == id {
					out = append(out, run)
				}
			}
		}
	}
	return out
}

func (f *edgeFleet) faultAll(replicas []*platformtest.Replica, faults ...platformtest.Fault) {
	for _, r := range replicas {
		r.Fault(faults...)
	}
}

// logs returns the output of all instances.
func (f *edgeFleet) logs() string {
	var b strings.Builder
	for _, i := range f.instances {
		data, err := os.ReadFile(i.log)
		if err != nil {
			f.t.Fatal(err)
		}
		b.Write(data)
	}
	return b.String()
}

var orderingLine = regexp.MustCompile(`msg="order lease" ordering=(true|false) holder=(\S+)`)

// ordering returns the name of the instance that may give orders, or "".
func (f *edgeFleet) ordering(i *edgeInstance) bool {
	data, err := os.ReadFile(i.log)
	if err != nil {
		f.t.Fatal(err)
	}
	lines := orderingLine.FindAllStringSubmatch(string(data), -1)
	return len(lines) > 0 && lines[len(lines)-1][1] == "true"
}

// holder waits for an instance other than the excepted one that gives orders.
func (f *edgeFleet) holder(except *edgeInstance) *edgeInstance {
	f.t.Helper()
	var holder *edgeInstance
	waitFor(f.t, "an instance to give orders", func() bool {
		for _, i := range f.instances {
			if i != except && !i.ended() && f.ordering(i) {
				holder = i
				return true
			}
		}
		return false
	})
	return holder
}

// checkOrders asserts that each epoch belongs to one holder, that epochs only
// grow, and that a replica never holds more adapters than fit.
func (f *edgeFleet) checkOrders() {
	f.t.Helper()
	holders := make(map[uint64]string)
	for _, e := range f.engines {
		last := uint64(0)
		for _, o := range e.Orders() {
			if o.Fence < last {
				f.t.Errorf("%s: an order of epoch %d after one of epoch %d", e.ID, o.Fence, last)
			}
			last = o.Fence
			if other, ok := holders[o.Fence]; ok && other != o.Holder {
				f.t.Errorf("epoch %d has the holders %s and %s", o.Fence, other, o.Holder)
			}
			holders[o.Fence] = o.Holder
		}
		if n := e.MostAdapters(); n > platformtest.AdapterSlots {
			f.t.Errorf("%s held %d adapters of %d", e.ID, n, platformtest.AdapterSlots)
		}
	}
}
