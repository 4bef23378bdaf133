package controlplane

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/hyssophaven/hyssophaven/catalog"
	"github.com/hyssophaven/hyssophaven/rowstore"
)

// RowsSeen reports the newest row version that was read from a table, after the rows
// themselves. SentAt is when the read or the call of the feed was sent.
type RowsSeen struct {
	Table   string
	Version rowstore.Version
	SentAt  time.Time
}

func (e RowsSeen) apply(c *core, now time.Time) {
	c.observeVersion(now, e.Version)
	c.tableVersions[e.Table] = max(c.tableVersions[e.Table], e.Version)
	delete(c.behindSince, e.Table)
	if e.Table == c.configState.row.Table {
		c.configState.confirm(c.configState.row.Version, e.SentAt)
	}
}

// FeedBehind is published to replace the pending call of a table's feed with a new
// one, because the feed misses changes or the call may have been lost while the
// store was unavailable.
type FeedBehind struct{ Table string }

// maxFeedLag is how long a peer must have a newer row before the feed counts as
// behind. A change normally reaches all instances within some tens of milliseconds.
const maxFeedLag = 300 * time.Millisecond

// checkFeedLag compares the table versions with those of a peer, and requests a new
// call of each feed that has been behind for maxFeedLag.
func (c *core) checkFeedLag(now time.Time, peer map[string]rowstore.Version) {
	for table, version := range peer {
		c.observeVersion(now, version)
		since, known := c.behindSince[table]
		switch {
		case version <= c.tableVersions[table]:
			delete(c.behindSince, table)
		case !known:
			c.behindSince[table] = now
		case now.Sub(since) >= maxFeedLag:
			c.log.Warn("feed is behind", "table", table, "version", c.tableVersions[table], "peer_version", version)
			c.behindSince[table] = now
			c.publishEvent(FeedBehind{Table: table})
		}
	}
}

// leaseCallAnswered records an answered lease call, which tells nothing of the age of
// other tables. After failed lease calls it requests a new call of every feed, because
// pending calls may never be answered.
func (c *core) leaseCallAnswered() {
	c.metrics.Counter("store_calls", "table", leaseCalls, "result", "answered").Add(1)
	if !c.leaseCallFailed {
		return
	}
	c.leaseCallFailed = false
	for table := range c.tableVersions {
		c.publishEvent(FeedBehind{Table: table})
	}
}

// ReplicasRead reports a full read of the list of replicas. CurrentAt is a time at which
// it was current.
type ReplicasRead struct {
	Table     string
	Entries   []catalog.Entry
	Version   rowstore.Version
	CurrentAt time.Time
}

func (e ReplicasRead) apply(c *core, now time.Time) {
	c.listTable = e.Table
	c.recordList(e.CurrentAt)
	dropAt := c.graceAfterRestore(now, e.Version)
	if dropAt.IsZero() {
		dropAt = c.graceAfterGap(now)
	}
	c.updateReplicas(now, c.replicaList.Replace(e.Entries, e.Version, dropAt), e.Entries)
}

// ReplicasChanged reports changed and removed rows of the list of replicas. A row can be
// in both if it was removed and written again, or the other way round. CurrentAt is a
// time at which the list was current.
type ReplicasChanged struct {
	Entries   []catalog.Entry
	Removed   []catalog.Entry // with the versions of the removals
	Version   rowstore.Version
	CurrentAt time.Time
}

func (e ReplicasChanged) apply(c *core, now time.Time) {
	c.recordList(e.CurrentAt)
	c.updateReplicas(now, c.replicaList.Apply(e.Entries, e.Version), e.Entries)
	c.removeReplicas(now, e.Removed)
}

// updateReplicas passes the replicas whose ids are in changed on, as they are now in the
// list, and logs them. entries holds the rows that changed them.
func (c *core) updateReplicas(now time.Time, changed []string, entries []catalog.Entry) {
	byID := make(map[string]catalog.Entry, len(entries))
	for _, e := range entries {
		byID[e.ID] = e
	}
	for _, id := range changed {
		e := byID[id]
		e.Replica = c.replicaList.Replica(id)
		c.updateReplica(now, id, e.Replica)
		if e.Replica == nil {
			c.log.Info("replica entry is not usable", "replica", id, "version", e.Version)
			continue
		}
		c.logReplica(e)
	}
	if len(changed) > 0 {
		c.dropSuperseded(now)
	}
}

// ReplicaEnded is published when a replica is dropped from the list, or its entry describes
// another process or address. Replica is its last description before.
type ReplicaEnded struct{ Replica *catalog.Replica }

// logReplica logs an entry if its description differs from the last one logged.
// Most entries are heartbeats that change nothing.
func (c *core) logReplica(e catalog.Entry) {
	models := make([]string, len(e.Replica.Models))
	for i, m := range e.Replica.Models {
		models[i] = m.Name
	}
	slices.Sort(models)
	description := fmt.Sprint(e.Replica.Address, e.Replica.StartMillis, e.Replica.Leaving, models)
	if c.loggedReplicas[e.ID] == description {
		return
	}
	c.loggedReplicas[e.ID] = description
	c.log.Info("replica taken over", "replica", e.ID, "version", e.Version, "service", e.Replica.Service, "leaving", e.Replica.Leaving, "models", strings.Join(models, ","))
}

// dropSuperseded drops replicas whose address is now used by a newer replica. Their
// entries stay in the store until their leases expire.
func (c *core) dropSuperseded(now time.Time) {
	for _, id := range c.replicaList.Superseded() {
		c.updateReplica(now, id, nil)
	}
}

// StoreState reports whether the last call for a table was answered.
type StoreState struct {
	Table       string
	Unavailable bool
}

func (e StoreState) apply(c *core, _ time.Time) {
	if c.storeUnavailable[e.Table] == e.Unavailable {
		return
	}
	c.storeUnavailable[e.Table] = e.Unavailable
	c.log.Info("store contact changed", "table", e.Table, "away", e.Unavailable)
}

// Stopping reports that the instance has begun to shut down. Until is when requests
// whose answer has not begun are given up.
type Stopping struct{ Until time.Time }

func (e Stopping) apply(c *core, now time.Time) {
	c.stopping = true
	c.leader.Stop()
	c.quotas.client.Leave()
	c.dispatch.SetStopTime(e.Until)
	c.wakeAllModelWaiters()
	c.serveAllWaiters(now)
	c.publishSnapshot()
}

// Post queues an observation for the control goroutine.
func (s *Service) Post(o Observation) { s.post(o) }

// Observation is an event that another service posts to the control goroutine.
type Observation interface{ event }
