package daemon

import (
	"crypto/tls"
	"net/http"
	"time"

	"github.com/hyssophaven/hyssophaven/admission"
	"github.com/hyssophaven/hyssophaven/backing"
	"github.com/hyssophaven/hyssophaven/control"
	"github.com/hyssophaven/hyssophaven/engine"
	"github.com/hyssophaven/hyssophaven/engine/enginehttp"
	"github.com/hyssophaven/hyssophaven/engineclients"
	"github.com/hyssophaven/hyssophaven/fleet"
	"github.com/hyssophaven/hyssophaven/gateway"
	"github.com/hyssophaven/hyssophaven/membership"
	"github.com/hyssophaven/hyssophaven/memorybudget"
	"github.com/hyssophaven/hyssophaven/placement"
	"github.com/hyssophaven/hyssophaven/routing"
	"github.com/hyssophaven/hyssophaven/settings"
)

func controlConfig(s settings.Settings, self fleet.Instance) control.Config {
	queue := admission.Config{Seed: uint64(self.Incarnation)}
	switch s.Admission.Policy {
	case "round-robin":
		queue.Policy, queue.Routing = admission.FIFO, routing.RoundRobin
	case "least-loaded":
		queue.Policy, queue.Routing = admission.FIFO, routing.LeastLoaded
	}
	for _, r := range fleet.Ranks() {
		queue.QueueBound[r] = s.Admission.MaxQueued
	}
	modes := map[string]placement.Mode{"static": placement.Static, "greedy": placement.Greedy}
	c := control.Config{
		Self: self, Shards: s.Endpoints.Shards, MaxOrderDelay: time.Duration(s.Endpoints.MaxOrderDelay),
		Admission: queue, Placement: placement.Options{Mode: modes[s.Admission.Placement]},
		LoadLimit:  placement.LoadLimit{PerSecond: s.WeightStore.LoadsPerSecond, MaxConcurrent: s.WeightStore.MaxConcurrentLoads},
		Membership: membership.Config{HeartbeatInterval: time.Duration(s.Peers.Heartbeat)},
	}
	c.Lease.Seed = uint64(self.Incarnation)
	return c
}

func gatewayConfig(s settings.Settings, i *Instance, e *engineclients.Service, tables backing.TableStore, objects backing.ObjectStore, t *tls.Config, r gateway.Recorder) gateway.Config {
	return gateway.Config{
		Listener: i.listeners.callers, TLS: t,
		EngineClient: e.Client, Table: tables, Objects: objects, Recorder: r, Log: i.log,
		BalancerWait: time.Duration(s.Instance.BalancerWait), Memory: memoryBudget(s.Callers.MaxHeldBytes),
		Limits: gateway.Limits{
			MaxBodyBytes: s.Callers.MaxBodyBytes, BodyTimeout: time.Duration(s.Callers.ReadTimeout),
			WriteTimeout: time.Duration(s.Callers.WriteTimeout), IdleTimeout: time.Duration(s.Callers.IdleTimeout),
			MaxAdapterLoads: s.WeightStore.MaxAdapterLoads,
		},
	}
}

// memoryBudget returns the budget of what requests hold, or nil for no limit.
func memoryBudget(bytes int64) *memorybudget.Budget {
	if bytes == 0 {
		return nil
	}
	return memorybudget.New(bytes)
}

// dialer creates engine clients that share a connection pool.
type dialer struct{ http *http.Client }

func newDialer() *dialer { return &dialer{http: enginehttp.NewHTTPClient(0)} }

func (d *dialer) client(e fleet.Endpoint) engine.Client {
	return enginehttp.NewClient(e.Address, enginehttp.Options{HTTP: d.http})
}
