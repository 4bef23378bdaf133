package control

import (
	"time"

	"github.com/hyssophaven/hyssophaven/fleet"
	"github.com/hyssophaven/hyssophaven/lease"
	"github.com/hyssophaven/hyssophaven/ledger"
)

// status returns the status of this instance and its view of the fleet.
func (c *core) status(now time.Time) Status {
	s := Status{
		Self: c.config.Self, TableRevision: c.tableRevision(), TableAge: c.tableAge(now),
		Ready: c.snapshot.Ready, NotReadyReason: c.snapshot.NotReadyReason, Isolated: c.members.Isolated(now),
		Findings: c.allFindings(),
	}
	s.Instances = c.instanceStatuses(now)
	owners := c.owners(now)
	for _, e := range c.listing.Endpoints {
		s.Endpoints = append(s.Endpoints, c.endpointStatus(now, e, owners))
	}
	for _, h := range c.leases.Held(now) {
		_, until, _ := c.leases.Holds(h.Shard, now)
		s.Leases = append(s.Leases, LeaseStatus{Shard: string(h.Shard), Epoch: h.Epoch, ExpiresIn: until.Sub(now), OpenOrders: c.openOrders(h.Shard)})
	}
	for _, r := range c.queue.Stats(now).Rows {
		s.Queues = append(s.Queues, QueueStatus{Row: r.Row, Rank: r.Rank, Queued: r.Queued, InFlight: r.InFlight, Rate: r.Rate})
	}
	s.Quarantine = c.quarantineStatuses(now)
	return s
}

func (c *core) instanceStatuses(now time.Time) []InstanceStatus {
	out := []InstanceStatus{{Instance: c.config.Self, State: "alive", Leaving: c.stopping, TableRevision: c.tableRevision()}}
	for _, m := range c.members.Members() {
		i := InstanceStatus{Instance: m.Instance, State: m.Status.String(), Leaving: m.Leaving, HeartbeatAge: now.Sub(m.LastHeard)}
		if m.LastHeard.IsZero() {
			i.HeartbeatAge = 0
		}
		if m.Heartbeat != nil {
			i.TableRevision = m.Heartbeat.TableRevision
		}
		out = append(out, i)
	}
	return out
}

// owners returns the holder of each shard's lease, as reported in heartbeats. The
// highest epoch wins.
func (c *core) owners(now time.Time) map[lease.Shard]fleet.InstanceID {
	owners := make(map[lease.Shard]fleet.InstanceID)
	epochs := make(map[lease.Shard]uint64)
	add := func(id fleet.InstanceID, held []lease.HeldShard) {
		for _, h := range held {
			if h.Epoch >= epochs[h.Shard] {
				owners[h.Shard], epochs[h.Shard] = id, h.Epoch
			}
		}
	}
	for _, m := range c.members.Members() {
		if m.Heartbeat != nil {
			add(m.Instance.ID, m.Heartbeat.Leases)
		}
	}
	add(c.config.Self.ID, c.leases.Held(now))
	return owners
}

func (c *core) endpointStatus(now time.Time, e fleet.Endpoint, owners map[lease.Shard]fleet.InstanceID) EndpointStatus {
	r, reported := c.reports[e.ID]
	s := EndpointStatus{
		Endpoint: e, Running: r.running, Waiting: r.waiting, InFlight: len(c.requests.byEndpoint[e.ID]),
		HasReport: reported, ReservedForTrial: c.quarantineState.Reserved(e.ID),
	}
	s.Endpoint.Leaving = c.leaving(e)
	if reported {
		s.ReportAge = now.Sub(r.takenAt)
	}
	if e.Kind != fleet.ModelEngine {
		return s
	}
	shard := c.shardOf(e.ID)
	s.Shard, s.Owner = string(shard), owners[shard]
	if o := c.ownership.owned[e.ID]; o != nil && o.adopted {
		s.CountedMB, s.OpenOrders = o.replica.CountedMB(), len(o.replica.OpenOrders())
		for _, entry := range o.replica.Entries() {
			s.Residents = append(s.Residents, entryStatus(entry.Entry, entry.Running))
		}
		return s
	}
	for _, entry := range c.ownership.stored[e.ID].Entries {
		if !entry.Freed {
			s.CountedMB += entry.MemoryMB
		}
		s.Residents = append(s.Residents, entryStatus(entry, 0))
	}
	return s
}

func entryStatus(e ledger.Entry, running int) EntryStatus {
	return EntryStatus{Name: e.Name, Version: e.Version, MemoryMB: e.MemoryMB, State: e.State.String(), Running: running}
}

func (c *core) quarantineStatuses(now time.Time) []QuarantineStatus {
	var out []QuarantineStatus
	for _, n := range c.quarantineState.Notices(now) {
		q := QuarantineStatus{Fingerprint: uint64(n.Fingerprint), State: "suspect", EndpointsLost: len(n.Losses), Until: n.Until}
		switch {
		case n.Until.After(now):
			q.State = "quarantined"
		case n.Trial != nil:
			q.State = "trial"
		case len(n.Losses) == 0:
			continue
		}
		out = append(out, q)
	}
	return out
}
