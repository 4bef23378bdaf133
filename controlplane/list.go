package controlplane

import (
	"time"

	"github.com/hyssophaven/hyssophaven/catalog"
	"github.com/hyssophaven/hyssophaven/nodeconfig"
	"github.com/hyssophaven/hyssophaven/rowstore"
)

const (
	// listLifetimeShare is the fraction of the leave time for which a list of
	// replicas from the holder counts as current. It covers a call of the holder that is
	// never answered. What is left of the leave time is for two own calls, one of them on
	// a connection that has failed as well.
	listLifetimeShare = listWaitShare + listAnswerShare
	// listWaitShare and listAnswerShare are the fractions of the leave time that are the
	// age of the list up to which a call for it waits for changes, and the time for which
	// the answer is awaited beyond that. A slow store answers within 240 ms.
	listWaitShare, listAnswerShare = 0.5, 0.2
	// The pause from one call for the list to the next batches changes, which come several
	// times a second. It is a share of the leave time: holderPauseShare on the holder, whose
	// reads serve all instances, and storePauseShare on an instance without a holder. The
	// holder's pause stays below maxFeedLag, so that its feed does not count as behind.
	holderPauseShare, storePauseShare = 0.125, 0.2
	maxHolderPause                    = maxFeedLag - 50*time.Millisecond
	// An instance that gets the list from the holder, with its age, reads it only to check
	// it. The time between two checks grows with the number of instances,
	// so that their calls don't. It stays below the 20 s of changes that the store
	// keeps, after which a check would read the whole table.
	minCheckPause, maxCheckPause = 12 * time.Second, 15 * time.Second
	checkPausePerInstance        = 250 * time.Millisecond
	// lapseGapShare is the fraction of ReplicaLease for which the store must be away before
	// it can drop the entry of a healthy replica: two of three heartbeats have failed, and
	// the third one is late.
	lapseGapShare = 2.0 / 3
	// defaultReplicaLease is used if the deployment sets no heartbeat interval.
	defaultReplicaLease = 3600 * time.Millisecond
	// defaultLeaveTime is used if the deployment sets no leave time, the time within
	// which instances must stop sending requests to a leaving replica.
	defaultLeaveTime = 2 * time.Second
)

// listLifetime returns the age up to which a list from the holder counts as current.
func (c *core) listLifetime() time.Duration {
	return time.Duration(listLifetimeShare * float64(leaveTime(c.node.Bounds)))
}

// ListCallLimits returns the age of the list of replicas up to which a call for it waits
// for changes, and for how long the answer is awaited beyond that.
func ListCallLimits(b nodeconfig.Bounds) (wait, answer time.Duration) {
	leave := float64(leaveTime(b))
	return time.Duration(listWaitShare * leave), time.Duration(listAnswerShare * leave)
}

// leaveTime returns the time within which instances must stop sending requests to a
// leaving replica.
func leaveTime(b nodeconfig.Bounds) time.Duration {
	if b.Leave <= 0 {
		return defaultLeaveTime
	}
	return b.Leave
}

// listPause returns the pause between two calls for the list of replicas on one of a
// number of instances.
func listPause(source ListSource, leave time.Duration, instances int) time.Duration {
	switch source {
	case FromHolder:
		return min(max(minCheckPause, time.Duration(instances)*checkPausePerInstance), maxCheckPause)
	case FromStoreForPeers:
		return min(time.Duration(holderPauseShare*float64(leave)), maxHolderPause)
	default:
		return time.Duration(storePauseShare * float64(leave))
	}
}

// ListSource is where this instance learns of changes to the list of replicas.
type ListSource uint8

// The sources of the list.
const (
	// FromStore means that the instance reads the list from the store for itself.
	FromStore ListSource = iota
	// FromStoreForPeers means that the instance holds the order lease, and reads the
	// list from the store for itself and its peers.
	FromStoreForPeers
	// FromHolder means that the holder of the order lease sends the changes, so the
	// instance reads the store less often.
	FromHolder
)

var listSourceNames = [...]string{"store", "store-for-others", "holder"}

// String returns the source's name for logs.
func (s ListSource) String() string { return listSourceNames[s] }

// ListSourceChanged is published when the source of the list of replicas changes, or the
// pause between two calls for it.
type ListSourceChanged struct {
	Source ListSource
	Pause  time.Duration
}

// ListEvidence is where the belief that a replica is listed comes from.
type ListEvidence struct {
	Source ListSource
	Age    time.Duration // since the list was known to be current
	// RemovalPending is set if the entry is gone and the replica is kept for the grace period.
	RemovalPending bool
}

func (c *core) listEvidence(now time.Time, replica string) ListEvidence {
	return ListEvidence{Source: c.listSource, Age: now.Sub(c.listCurrentAt), RemovalPending: c.replicaList.RemovalPending(replica)}
}

// listSince returns the changes to the list of replicas after a version, or the whole list
// if this instance does not know all of them.
func (c *core) listSince(version rowstore.Version) (entries []catalog.Entry, whole bool) {
	if c.replicaList.KnowsChangesSince(version) {
		return c.replicaList.ChangedSince(version), false
	}
	return c.replicaList.ChangedSince(0), true
}

// adoptHolderList applies the changes to the list of replicas in a holder's answer.
// It ignores answers from an instance that does not hold the lease, and lists older
// than the current one.
func (c *core) adoptHolderList(now time.Time, state FleetState, sentAt time.Time) {
	if state.Holder == "" || state.ListVersion < c.replicaList.Version() {
		return
	}
	c.observeVersion(now, state.ListVersion) // before tableVersions changes
	currentAt := sentAt.Add(-state.ListAge)  // the answer can have been delayed by any time
	c.recordList(currentAt)
	c.holderListAt = currentAt
	var changed []string
	if state.ListIsWhole {
		changed = c.replicaList.Replace(state.List, state.ListVersion, c.graceAfterRestore(now, state.ListVersion))
	} else {
		changed = c.replicaList.Apply(state.List, state.ListVersion)
	}
	c.updateReplicas(now, changed, state.List)
	c.removeReplicas(now, state.PendingRemovals)
	if c.listTable != "" {
		c.tableVersions[c.listTable] = max(c.tableVersions[c.listTable], state.TableVersions[c.listTable])
	}
	c.updateListSource(now)
}

// recordList records that the list was current at a time. It starts the grace period for
// lapsed entries if that is after a gap in which the entries of healthy replicas can have
// lapsed. The gap is one of the list alone: calls for other tables that fail or succeed tell
// nothing of it.
func (c *core) recordList(currentAt time.Time) {
	before := c.listCurrentAt
	if !currentAt.After(before) {
		return
	}
	c.listCurrentAt = currentAt
	lease := c.node.ReplicaLease
	if lease <= 0 {
		lease = defaultReplicaLease
	}
	gap := currentAt.Sub(before)
	if before.IsZero() || gap < time.Duration(lapseGapShare*float64(lease)) {
		return
	}
	c.listGraceUntil = currentAt.Add(recoveryGrace)
	c.log.Info("list of replicas is current again", "gap", gap)
}

// removeReplicas applies the removal of entries. Replicas whose entries can have lapsed are
// kept for the grace period.
func (c *core) removeReplicas(now time.Time, removed []catalog.Entry) {
	dropAt := c.graceAfterGap(now)
	for _, r := range removed {
		if c.replicaList.Remove(r.ID, r.Version, dropAt) {
			c.log.Info("replica dropped", "replica", r.ID, "reason", "entry removed", "version", r.Version, "list_source", c.listSource.String(), "list_age", now.Sub(c.listCurrentAt))
			c.updateReplica(now, r.ID, nil)
		}
	}
}

// graceAfterGap returns the time until which replicas are kept whose entries were removed,
// or the zero time if they are dropped at once.
func (c *core) graceAfterGap(now time.Time) time.Time {
	if now.Before(c.listGraceUntil) {
		return c.listGraceUntil
	}
	return time.Time{}
}

// graceAfterRestore returns the time until which replicas are kept that a list lacks, or
// the zero time if they are dropped at once. The first list of an era lacks replicas that
// have joined since the copy was made; each of them writes its entry again.
func (c *core) graceAfterRestore(now time.Time, list rowstore.Version) time.Time {
	if list.Era() == c.replicaList.Version().Era() {
		return time.Time{}
	}
	return now.Add(recoveryGrace)
}

// releaseHeldRows applies the restored rows that are still the newest ones after the time
// in which replicas write theirs again and the store drops those of replicas that have left.
func (c *core) releaseHeldRows(now time.Time) {
	entries := c.replicaList.ReleaseHeld(now, c.node.ReplicaLease+recoveryGrace)
	ids := make([]string, len(entries))
	for i, e := range entries {
		ids[i] = e.ID
	}
	c.updateReplicas(now, ids, entries)
}

// updateListSource determines the source of the list of replicas and the pause between
// two calls for it, publishes a change of either, and logs a change of the source.
func (c *core) updateListSource(now time.Time) {
	source := FromStore
	switch {
	case c.leader.Held():
		source = FromStoreForPeers
	case now.Sub(c.holderListAt) < c.listLifetime():
		source = FromHolder
	}
	pause := listPause(source, leaveTime(c.node.Bounds), c.instanceCount)
	if source == c.listSource && pause == c.listPause {
		return
	}
	changed := source != c.listSource
	c.listSource, c.listPause = source, pause
	c.publishEvent(ListSourceChanged{Source: source, Pause: pause})
	if !changed {
		return
	}
	c.log.Info("list of replicas", "source", source.String(), "age", now.Sub(c.holderListAt), "version", c.replicaList.Version())
}
