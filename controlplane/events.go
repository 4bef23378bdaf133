package controlplane

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/hyssophaven/hyssophaven/catalog"
)

// ConfigSeen is a config that was read from the store.
type ConfigSeen struct{ Config *catalog.Config }

func (e ConfigSeen) apply(c *core, _ time.Time) { c.takeConfig(e.Config) }

// RowsSeen is the newest version of a row that was read from a table.
type RowsSeen struct {
	Table   string
	Version uint64
}

func (e RowsSeen) apply(c *core, now time.Time) {
	c.storeSeen = now
	if e.Table == c.listTable {
		c.listRead = now
	}
	c.versions[e.Table] = max(c.versions[e.Table], e.Version)
	delete(c.behind, e.Table)
}

// FeedBehind says that a table's feed misses changes, or may have been lost
// with a store that was away, and is to be called again.
type FeedBehind struct{ Table string }

// behindTime is the time for which a peer must know a newer row before the feed
// is doubted: a change reaches instances within some tens of milliseconds.
const behindTime = 300 * time.Millisecond

// compareVersions doubts the feeds of tables of which a peer knows newer rows.
func (c *core) compareVersions(now time.Time, peer map[string]uint64) {
	for table, version := range peer {
		since, known := c.behind[table]
		switch {
		case version <= c.versions[table]:
			delete(c.behind, table)
		case !known:
			c.behind[table] = now
		case now.Sub(since) >= behindTime:
			c.log.Warn("feed is behind", "table", table, "version", c.versions[table], "peer_version", version)
			c.behind[table] = now
			c.send(FeedBehind{Table: table})
		}
	}
}

// leaseAnswered doubts the feeds when the store answers again: calls that were
// waiting may never be answered.
func (c *core) leaseAnswered(now time.Time) {
	c.storeSeen = now
	c.metrics.Counter("store_calls", "table", leaseCalls, "result", "answered").Add(1)
	if !c.leaseLost {
		return
	}
	c.leaseLost = false
	for table := range c.versions {
		c.send(FeedBehind{Table: table})
	}
}

// ReplicasRead is a full read of the list of replicas.
type ReplicasRead struct {
	Table   string
	Entries []catalog.Entry
	Version uint64
}

func (e ReplicasRead) apply(c *core, now time.Time) {
	c.listTable = e.Table
	var dropAt time.Time
	if now.Sub(c.storeBack) < lapseGrace {
		dropAt = c.storeBack.Add(lapseGrace)
	}
	c.rosterChanged(now, c.roster.Replace(e.Entries, e.Version, dropAt), e.Entries)
}

// ReplicasChanged are changed rows of the list of replicas.
type ReplicasChanged struct {
	Entries []catalog.Entry
	Removed []string
	Version uint64
}

func (e ReplicasChanged) apply(c *core, now time.Time) {
	c.rosterChanged(now, c.roster.Apply(e.Entries, e.Version), e.Entries)
	var dropAt time.Time
	if c.away() || now.Sub(c.storeBack) < lapseGrace {
		dropAt = now.Add(lapseGrace)
	}
	for _, id := range e.Removed {
		if c.roster.Remove(id, e.Version, dropAt) {
			c.log.Info("replica dropped", "replica", id, "reason", "entry removed", "version", e.Version)
			c.replicaChanged(now, id, nil)
		}
	}
}

// rosterChanged tells the decisions about changed entries.
func (c *core) rosterChanged(now time.Time, changed []string, entries []catalog.Entry) {
	byID := make(map[string]catalog.Entry, len(entries))
	for _, e := range entries {
		byID[e.ID] = e
	}
	for _, id := range changed {
		e := byID[id]
		c.replicaChanged(now, id, e.Replica)
		if e.Replica == nil {
			c.log.Info("replica not usable", "replica", id, "version", e.Version)
			continue
		}
		c.logReplica(e)
	}
	if len(changed) > 0 {
		c.dropSuperseded(now)
	}
}

// logReplica writes a line on an entry that says something new of its replica.
// Most entries only repeat what is known.
func (c *core) logReplica(e catalog.Entry) {
	models := make([]string, len(e.Replica.Models))
	for i, m := range e.Replica.Models {
		models[i] = m.Name
	}
	slices.Sort(models)
	said := fmt.Sprint(e.Replica.Address, e.Replica.Born, e.Replica.Leaving, models)
	if c.said[e.ID] == said {
		return
	}
	c.said[e.ID] = said
	c.log.Info("replica taken over", "replica", e.ID, "version", e.Version, "service", e.Replica.Service, "leaving", e.Replica.Leaving, "models", strings.Join(models, ","))
}

// dropSuperseded drops replicas whose address belongs to a later one. Their
// entries last until their leases run out.
func (c *core) dropSuperseded(now time.Time) {
	for _, id := range c.roster.Superseded() {
		c.replicaChanged(now, id, nil)
	}
}

// StoreState says whether the store answers reads of a table.
type StoreState struct {
	Table string
	Away  bool
}

func (e StoreState) apply(c *core, now time.Time) {
	if c.storeAway[e.Table] == e.Away {
		return
	}
	c.storeAway[e.Table] = e.Away
	if !e.Away {
		c.storeBack = now
	}
	c.log.Info("store contact changed", "table", e.Table, "away", e.Away)
}

func (c *core) away() bool {
	for _, away := range c.storeAway {
		if away {
			return true
		}
	}
	return false
}

// Stopping says that the instance is about to end.
type Stopping struct{}

func (Stopping) apply(c *core, _ time.Time) {
	c.stopping = true
	c.leader.Stop()
	c.snapshotChanged()
}

// Post hands an observation to the control goroutine.
func (s *Service) Post(o Observation) { s.post(o) }

// Observation is what another service tells the control goroutine.
type Observation interface{ event }
