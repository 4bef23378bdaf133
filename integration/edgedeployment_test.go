//go:build linux

package integration

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/hyssophaven/hyssophaven/internal/loopbacktest"
	"github.com/hyssophaven/hyssophaven/platform"
	"github.com/hyssophaven/hyssophaven/platform/platformtest"
)

// edgeFleet is a deployment of `hyssophaven edge` processes in front of stand-in
// replicas. Each process has its own link to the stand-in for the platform's store.
type edgeFleet struct {
	*platformtest.Backends
	t         *testing.T
	dir       string
	instances []*edgeInstance
	caller    *platformtest.Caller
}

// edgeInstance is a `hyssophaven edge` process with its settings and its link to the
// store.
type edgeInstance struct {
	*process
	settings  platformtest.NodeSettings
	storeLink *link
}

func startEdgeFleet(t *testing.T, instances int) *edgeFleet {
	t.Helper()
	f := newEdgeFleet(t)
	for range instances {
		f.addInstance()
	}
	return f
}

// newEdgeFleet returns a fleet without instances.
func newEdgeFleet(t *testing.T) *edgeFleet {
	f := &edgeFleet{Backends: platformtest.NewBackends(), t: t, dir: t.TempDir(), caller: platformtest.NewCaller(waitTimeout)}
	t.Cleanup(f.Backends.Close)
	return f
}

// addInstance starts a new instance and waits until it serves requests.
func (f *edgeFleet) addInstance() *edgeInstance {
	f.t.Helper()
	return f.addLimitedInstance(0, 0)
}

// addLimitedInstance is addInstance with limits in the settings, unless they are 0.
func (f *edgeFleet) addLimitedInstance(memoryMB, maxFDs int) *edgeInstance {
	f.t.Helper()
	host := loopbacktest.Host()
	name := fmt.Sprintf("edge-%d", len(f.instances))
	i := &edgeInstance{storeLink: newLink(f.t, name+"-store", f.Store.Address())}
	i.settings = platformtest.NodeSettings{
		Name: name, Zone: "z1", Host: host, Callers: loopbacktest.Address(f.t, host), Readiness: loopbacktest.Address(f.t, host), Store: i.storeLink.address(),
		MemoryMB: memoryMB, MaxFDs: maxFDs,
	}
	f.instances = append(f.instances, i)
	f.startInstance(i)
	return i
}

// startInstance starts or restarts the process of an instance and waits until it
// serves requests.
func (f *edgeFleet) startInstance(i *edgeInstance) {
	f.t.Helper()
	file := f.settingsFile(i)
	if err := i.settings.WriteFile(file); err != nil {
		f.t.Fatal(err)
	}
	i.process = startProcess(f.t, f.dir, i.settings.Name, "edge", "--node-file", file)
	waitFor(f.t, i.name+" to be ready", func() bool {
		status, _ := f.caller.Get("http://" + i.settings.Readiness + platform.ReadinessPath)
		return status == http.StatusOK
	})
	waitFor(f.t, i.name+" to know the replicas", func() bool {
		return f.send(i, edgeRequest{Method: "GET", Path: "/look/ready"}).Status == http.StatusOK
	})
}

// settingsFile returns the path of the settings file of an instance.
func (f *edgeFleet) settingsFile(i *edgeInstance) string {
	return filepath.Join(f.dir, i.settings.Name+".json")
}

func (f *edgeFleet) send(i *edgeInstance, r edgeRequest) platformtest.Reply {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	if r.Parts == "" {
		r.Parts = fmt.Sprintf("aa:40,%x:60", promptCounter.Add(1))
	}
	return f.caller.Do(ctx, i.settings.Callers, r)
}

// edgeRequest is a request that a caller sends to an edge instance.
type edgeRequest = platformtest.Request

// promptCounter makes the last part of each prompt unique.
var promptCounter atomic.Int64

// readLogs returns the concatenated logs of all instances.
func (f *edgeFleet) readLogs() string {
	var b strings.Builder
	for _, i := range f.instances {
		data, err := os.ReadFile(i.logFile)
		if err != nil {
			f.t.Fatal(err)
		}
		b.Write(data)
	}
	return b.String()
}

var orderLeaseLine = regexp.MustCompile(`msg="order lease" ordering=(true|false) holder=(\S+)`)

// mayIssueOrders reports whether the last log line on the order lease states that the
// instance may issue orders.
func (f *edgeFleet) mayIssueOrders(i *edgeInstance) bool {
	data, err := os.ReadFile(i.logFile)
	if err != nil {
		f.t.Fatal(err)
	}
	lines := orderLeaseLine.FindAllStringSubmatch(string(data), -1)
	return len(lines) > 0 && lines[len(lines)-1][1] == "true"
}

// waitOrderHolder waits until a running instance other than except may issue orders,
// and returns it.
func (f *edgeFleet) waitOrderHolder(except *edgeInstance) *edgeInstance {
	f.t.Helper()
	var holder *edgeInstance
	waitFor(f.t, "an instance to issue orders", func() bool {
		for _, i := range f.instances {
			if i != except && !i.hasEnded() && f.mayIssueOrders(i) {
				holder = i
				return true
			}
		}
		return false
	})
	return holder
}

// checkOrders asserts that each epoch belongs to one holder, that the epochs of the
// orders to a replica never decrease, and that no replica held more adapters than it
// has slots.
func (f *edgeFleet) checkOrders() {
	f.t.Helper()
	holders := make(map[uint64]string)
	for _, e := range f.Engines {
		last := uint64(0)
		for _, o := range e.Orders() {
			if o.FenceToken < last {
				f.t.Errorf("%s: order of epoch %d arrived after epoch %d", e.ID, o.FenceToken, last)
			}
			last = o.FenceToken
			if other, ok := holders[o.FenceToken]; ok && other != o.Holder {
				f.t.Errorf("epoch %d has two holders, %s and %s", o.FenceToken, other, o.Holder)
			}
			holders[o.FenceToken] = o.Holder
		}
		if n := e.MaxAdapters(); n > platformtest.AdapterSlots {
			f.t.Errorf("%s held %d adapters of %d", e.ID, n, platformtest.AdapterSlots)
		}
	}
}
