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

// edgeFleet is a deployment of `hyssophaven edge` processes, each with its own
// link to the stand-in of the platform's store, in front of stand-ins of replicas.
type edgeFleet struct {
	*platformtest.Backends
	t         *testing.T
	dir       string
	instances []*edgeInstance
	caller    *platformtest.Caller
}

type edgeInstance struct {
	*process
	settings platformtest.NodeSettings
	store    *link
}

func startEdgeFleet(t *testing.T, instances int) *edgeFleet {
	t.Helper()
	f := &edgeFleet{Backends: platformtest.NewBackends(), t: t, dir: t.TempDir(), caller: platformtest.NewCaller(patience)}
	t.Cleanup(f.Backends.Close)
	for range instances {
		f.add()
	}
	return f
}

// add starts one more instance and waits until it serves.
func (f *edgeFleet) add() *edgeInstance {
	f.t.Helper()
	host := loopbacktest.Host()
	name := fmt.Sprintf("edge-%d", len(f.instances))
	i := &edgeInstance{store: newLink(f.t, name+"-store", f.Store.Address())}
	i.settings = platformtest.NodeSettings{
		Name: name, Zone: "z1", Host: host, Callers: loopbacktest.Address(f.t, host), Readiness: loopbacktest.Address(f.t, host), Store: i.store.address(),
	}
	f.instances = append(f.instances, i)
	f.startInstance(i)
	return i
}

// startInstance starts an instance's process, for the first time or again.
func (f *edgeFleet) startInstance(i *edgeInstance) {
	f.t.Helper()
	file := filepath.Join(f.dir, i.settings.Name+".json")
	if err := i.settings.WriteFile(file); err != nil {
		f.t.Fatal(err)
	}
	i.process = startProcess(f.t, f.dir, i.settings.Name, "edge", "--node-file", file)
	waitFor(f.t, i.name+" to be ready", func() bool {
		status, _ := f.caller.Get("http://" + i.settings.Readiness + platform.ReadinessPath)
		return status == http.StatusOK
	})
	waitFor(f.t, i.name+" to know the replicas", func() bool {
		return f.do(i, edgeRequest{Method: "GET", Path: "/look/ready"}).Status == http.StatusOK
	})
}

func (f *edgeFleet) do(i *edgeInstance, r edgeRequest) platformtest.Reply {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	if r.Parts == "" {
		r.Parts = fmt.Sprintf("aa:40,%x:60", edgeSessions.Add(1))
	}
	return f.caller.Do(ctx, i.settings.Callers, r)
}

// edgeRequest is a caller's request.
type edgeRequest = platformtest.Request

// edgeSessions counts the last parts of prompts, each of which is another.
var edgeSessions atomic.Int64

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

// ordering reports whether an instance may give orders, by its log.
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
	for _, e := range f.Engines {
		last := uint64(0)
		for _, o := range e.Orders() {
			if o.FenceToken < last {
				f.t.Errorf("%s: an order of epoch %d after one of epoch %d", e.ID, o.FenceToken, last)
			}
			last = o.FenceToken
			if other, ok := holders[o.FenceToken]; ok && other != o.Holder {
				f.t.Errorf("epoch %d has the holders %s and %s", o.FenceToken, other, o.Holder)
			}
			holders[o.FenceToken] = o.Holder
		}
		if n := e.MaxAdapters(); n > platformtest.AdapterSlots {
			f.t.Errorf("%s held %d adapters of %d", e.ID, n, platformtest.AdapterSlots)
		}
	}
}
