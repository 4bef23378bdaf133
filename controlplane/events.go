package controlplane

import (
	"time"

	"github.com/hyssophaven/hyssophaven/catalog"
)

// ConfigSeen is a config that was read from the store.
type ConfigSeen struct{ Config *catalog.Config }

func (e ConfigSeen) apply(c *core, _ time.Time) { c.takeConfig(e.Config) }

// ReplicasRead is a full read of the list of replicas.
type ReplicasRead struct {
	Entries []catalog.Entry
	Version uint64
}

func (e ReplicasRead) apply(c *core, now time.Time) {
	var dropAt time.Time
	if now.Sub(c.storeBack) < lapseGrace {
		dropAt = c.storeBack.Add(lapseGrace)
	}
	c.rosterChanged(c.roster.Replace(e.Entries, e.Version, dropAt), e.Entries)
}

// ReplicasChanged are changed rows of the list of replicas.
type ReplicasChanged struct {
	Entries []catalog.Entry
	Removed []string
	Version uint64
}

func (e ReplicasChanged) apply(c *core, now time.Time) {
	c.rosterChanged(c.roster.Apply(e.Entries, e.Version), e.Entries)
	var dropAt time.Time
	if c.away() || now.Sub(c.storeBack) < lapseGrace {
		dropAt = now.Add(lapseGrace)
	}
	for _, id := range e.Removed {
		if c.roster.Remove(id, e.Version, dropAt) {
			c.log.Info("replica dropped", "replica", id, "reason", "entry removed", "version", e.Version)
			c.replicaChanged(id, nil)
		}
	}
}

// rosterChanged tells the decisions about changed entries.
func (c *core) rosterChanged(changed []string, entries []catalog.Entry) {
	byID := make(map[string]catalog.Entry, len(entries))
	for _, e := range entries {
		byID[e.ID] = e
	}
	for _, id := range changed {
		e := byID[id]
		c.replicaChanged(id, e.Replica)
		if e.Replica == nil {
			c.log.Info("replica not usable", "replica", id, "version", e.Version)
			continue
		}
		c.log.Debug("replica seen", "replica", id, "version", e.Version, "leaving", e.Replica.Leaving, "models", len(e.Replica.Models))
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
