// Package operator implements the operators' interface, HTTP with JSON: reading
// and editing the table, the status of the fleet, the burn report and lifting
// quarantines. It defines the messages, the server and the client. The services
// "control", "table" and "burn" own the state and make the decisions.
package operator

import (
	"time"

	"github.com/hyssophaven/hyssophaven/control"
	"github.com/hyssophaven/hyssophaven/fleet"
)

// Status describes the fleet as seen by one instance. Ages and remaining times
// are in seconds, memory is in MB.
type Status struct {
	Instance        string       `json:"instance"`
	DataCentre      string       `json:"data_centre"`
	TableRevision   uint64       `json:"table_revision"`
	TableAgeSeconds float64      `json:"table_age_seconds"` // time since the store last confirmed TableRevision
	Ready           bool         `json:"ready"`
	NotReadyReason  string       `json:"not_ready_reason,omitempty"`
	Isolated        bool         `json:"isolated,omitempty"`
	Instances       []Instance   `json:"instances"`
	Endpoints       []Endpoint   `json:"endpoints"`
	Leases          []Lease      `json:"leases"`
	Queues          []Queue      `json:"queues"`
	Quarantine      []Quarantine `json:"quarantine"`
	Findings        []string     `json:"findings"` // constraints that the placement could not satisfy
}

// Instance describes an entry instance, its addresses and its membership state.
type Instance struct {
	ID                  string  `json:"id"`
	Incarnation         uint64  `json:"incarnation"`
	DataCentre          string  `json:"data_centre"`
	PeerAddress         string  `json:"peer_address"`
	OperatorAddress     string  `json:"operator_address,omitempty"`
	CallerAddress       string  `json:"caller_address,omitempty"`
	State               string  `json:"state"` // "listed", "alive", "suspect" or "dead"
	Leaving             bool    `json:"leaving,omitempty"`
	TableRevision       uint64  `json:"table_revision"`
	HeartbeatAgeSeconds float64 `json:"heartbeat_age_seconds"`
}

// Endpoint describes an endpoint, its load and its loaded models and adapters.
type Endpoint struct {
	ID               string     `json:"id"`
	Kind             string     `json:"kind"` // "replica" or "service"
	Pool             string     `json:"pool"`
	DataCentre       string     `json:"data_centre"`
	Address          string     `json:"address"`
	Leaving          bool       `json:"leaving,omitempty"`
	Shard            string     `json:"shard,omitempty"`
	Owner            string     `json:"owner,omitempty"`
	MemoryMB         int        `json:"memory_mb,omitempty"`
	CountedMB        int        `json:"counted_mb,omitempty"` // upper bound of the memory in use by Residents
	Slots            int        `json:"slots"`
	Running          int        `json:"running"` // Running and Waiting are from the last load report
	Waiting          int        `json:"waiting"`
	InFlight         int        `json:"in_flight"` // requests sent by the reporting instance
	ReportAgeSeconds *float64   `json:"report_age_seconds,omitempty"`
	ReservedForTrial bool       `json:"trial,omitempty"` // reserved for the trial of a request that is suspected of crashing endpoints
	Residents        []Resident `json:"residents,omitempty"`
	OpenOrders       int        `json:"open_orders,omitempty"`
}

// Resident describes a model or adapter on an endpoint.
type Resident struct {
	Name     string `json:"name"`
	Version  string `json:"version,omitempty"`
	MemoryMB int    `json:"memory_mb"`
	State    string `json:"state"` // "reserved", "loading", "ready", "draining", "unloading" or "settling"
	Running  int    `json:"running,omitempty"`
}

// Lease describes a lease held by the reporting instance.
type Lease struct {
	Shard            string  `json:"shard"`
	Epoch            uint64  `json:"epoch"`
	ExpiresInSeconds float64 `json:"expires_in_seconds"`
	OpenOrders       int     `json:"open_orders"`
}

// Queue counts the requests of one table row on the reporting instance.
type Queue struct {
	Row               string  `json:"row"`
	Rank              string  `json:"rank"`
	Queued            int     `json:"queued"`
	InFlight          int     `json:"in_flight"`
	ArrivalsPerSecond float64 `json:"arrivals_per_second"`
}

// Quarantine describes a request content that crashed endpoints.
type Quarantine struct {
	Fingerprint   string     `json:"fingerprint"` // 16 hexadecimal digits
	State         string     `json:"state"`       // "suspect", "trial" or "quarantined"
	EndpointsLost int        `json:"losses"`
	Until         *time.Time `json:"until,omitempty"`
}

// RevisionProgress reports on how many live instances a table revision is in force.
type RevisionProgress struct {
	Revision uint64   `json:"revision"`
	Live     int      `json:"live_instances"`
	InForce  int      `json:"in_force"`
	Missing  []string `json:"missing,omitempty"` // live instances at an older revision
}

// RevisionProgress returns the progress of a revision. A revision is in force on the
// instances that use it or a newer one. Instances that are not dead count as live.
func (s Status) RevisionProgress(revision uint64) RevisionProgress {
	p := RevisionProgress{Revision: revision}
	for _, i := range s.Instances {
		if i.State == "dead" {
			continue
		}
		p.Live++
		if i.TableRevision >= revision {
			p.InForce++
		} else {
			p.Missing = append(p.Missing, i.ID)
		}
	}
	return p
}

// statusOf converts the status of package control to the wire format.
func statusOf(s control.Status) Status {
	out := Status{
		Instance: string(s.Self.ID), DataCentre: string(s.Self.DataCentre),
		TableRevision: s.TableRevision, TableAgeSeconds: s.TableAge.Seconds(),
		Ready: s.Ready, NotReadyReason: s.NotReadyReason, Isolated: s.Isolated,
		Findings: s.Findings,
	}
	for _, i := range s.Instances {
		out.Instances = append(out.Instances, instanceOf(i))
	}
	for _, e := range s.Endpoints {
		out.Endpoints = append(out.Endpoints, endpointOf(e))
	}
	for _, l := range s.Leases {
		out.Leases = append(out.Leases, Lease{Shard: l.Shard, Epoch: l.Epoch, ExpiresInSeconds: l.ExpiresIn.Seconds(), OpenOrders: l.OpenOrders})
	}
	for _, q := range s.Queues {
		out.Queues = append(out.Queues, Queue{Row: q.Row, Rank: q.Rank.String(), Queued: q.Queued, InFlight: q.InFlight, ArrivalsPerSecond: q.Rate})
	}
	for _, q := range s.Quarantine {
		item := Quarantine{Fingerprint: formatFingerprint(q.Fingerprint), State: q.State, EndpointsLost: q.EndpointsLost}
		if !q.Until.IsZero() {
			until := q.Until.UTC()
			item.Until = &until
		}
		out.Quarantine = append(out.Quarantine, item)
	}
	return out
}

func instanceOf(i control.InstanceStatus) Instance {
	return Instance{
		ID: string(i.Instance.ID), Incarnation: uint64(i.Instance.Incarnation), DataCentre: string(i.Instance.DataCentre),
		PeerAddress: i.Instance.PeerAddress, OperatorAddress: i.Instance.OperatorAddress, CallerAddress: i.Instance.CallerAddress,
		State: i.State, Leaving: i.Leaving, TableRevision: i.TableRevision, HeartbeatAgeSeconds: i.HeartbeatAge.Seconds(),
	}
}

func endpointOf(e control.EndpointStatus) Endpoint {
	out := Endpoint{
		ID: string(e.Endpoint.ID), Kind: kindName(e.Endpoint.Kind), Pool: e.Endpoint.Pool,
		DataCentre: string(e.Endpoint.DataCentre), Address: e.Endpoint.Address, Leaving: e.Endpoint.Leaving,
		Shard: e.Shard, Owner: string(e.Owner), MemoryMB: e.Endpoint.MemoryMB, CountedMB: e.CountedMB,
		Slots: e.Endpoint.Slots, Running: e.Running, Waiting: e.Waiting, InFlight: e.InFlight,
		ReservedForTrial: e.ReservedForTrial, OpenOrders: e.OpenOrders,
	}
	if e.HasReport {
		age := e.ReportAge.Seconds()
		out.ReportAgeSeconds = &age
	}
	for _, r := range e.Residents {
		out.Residents = append(out.Residents, Resident{Name: r.Name, Version: r.Version, MemoryMB: r.MemoryMB, State: r.State, Running: r.Running})
	}
	return out
}

func kindName(k fleet.EndpointKind) string {
	if k == fleet.PlainService {
		return "service"
	}
	return "replica"
}
