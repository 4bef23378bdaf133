package controlplane

import (
	"fmt"
	"time"

	"github.com/hyssophaven/hyssophaven/rowstore"
	"github.com/hyssophaven/hyssophaven/suspect"
)

// settleIntervals is how many states of each instance the holder waits for before it
// blocks a suspected part: one that follows the announcement of the part, and the next
// one, which can carry answers that have cleared it.
const settleIntervals = 2

// updateSuspects blocks and unblocks prompt parts if this instance holds the order lease
// or hears no decisions of a holder. Otherwise the holder decides.
func (c *core) updateSuspects(now time.Time) {
	if now.Sub(c.suspectsDecidedAt) < StateInterval {
		return // there is hardly anything new
	}
	c.suspectsDecidedAt = now
	suspects := c.dispatch.Suspects()
	switch {
	case c.leader.Held():
		role := suspect.Role{Holder: c.node.ID}
		if len(c.peers) > 0 {
			role.Settle = settleIntervals * stateInterval(len(c.peers), c.node.AvoidLease())
		}
		c.logPartChanges(suspects.Decide(now, role), c.node.ID)
		c.saveBlocks(now)
	case now.Sub(c.decisionsSeenAt) > c.maxHolderSilence():
		c.logPartChanges(suspects.Decide(now, suspect.Role{}), c.node.ID)
	default:
		suspects.Expire(now)
	}
	blocked, suspected := suspects.Counts()
	c.metrics.Gauge("parts", "state", "blocked").Set(int64(blocked))
	c.metrics.Gauge("parts", "state", "suspected").Set(int64(suspected))
}

// SaveBlocks is published to store the blocked prompt parts, so that they are known after
// a restart of all instances.
type SaveBlocks struct{ Blocks []suspect.Block }

// saveBlocks publishes SaveBlocks if the blocks differ from the stored ones in more than
// their times, or if the store may have lost them.
func (c *core) saveBlocks(now time.Time) {
	blocks := c.dispatch.Suspects().Blocks(now)
	key := ""
	for _, b := range blocks {
		key += fmt.Sprint(b.Parts, b.Failures)
	}
	if key == c.storedBlocks && !c.blocksStale || now.Sub(c.blocksFailedAt) < blocksRetryInterval {
		return
	}
	c.storedBlocks, c.blocksStale = key, false
	c.publishEvent(SaveBlocks{Blocks: blocks})
}

// blocksRetryInterval is the pause after a failed write of the blocked prompt parts.
const blocksRetryInterval = time.Second

// BlocksSaved reports the outcome of SaveBlocks. Version is that of the row.
type BlocksSaved struct {
	Version rowstore.Version
	Err     error
}

func (e BlocksSaved) apply(c *core, now time.Time) {
	if e.Err != nil {
		c.blocksStale, c.blocksFailedAt = true, now
		c.log.Warn("blocked prompt parts could not be stored", "error", e.Err)
		return
	}
	c.observeVersion(now, e.Version)
	c.blocksStale = e.Version.Era() < c.storeVersion.Era()
}

// BlocksRead reports the blocked prompt parts that were read from the store.
type BlocksRead struct{ Blocks []suspect.Block }

func (e BlocksRead) apply(c *core, now time.Time) {
	c.dispatch.Suspects().Restore(now, e.Blocks)
	c.log.Info("blocked prompt parts read", "sets", len(e.Blocks))
}

// maxLoggedParts limits the parts in a log line. A set of blocked parts can have as many
// as a long prompt, about a thousand.
const maxLoggedParts = 16

// logPartChanges logs the sets of parts that decidedBy has blocked or unblocked. Parts are
// named by their hash; refused requests name the part itself.
func (c *core) logPartChanges(changes suspect.Changes, decidedBy string) {
	for _, parts := range changes.Blocked {
		c.log.Warn("prompt parts blocked", "part_hashes", fmt.Sprint(parts[:min(len(parts), maxLoggedParts)]), "parts", len(parts), "decided_by", decidedBy, "own_crashes", c.dispatch.Suspects().DescribeCrashes(parts))
	}
	for _, parts := range changes.Unblocked {
		c.log.Info("prompt parts unblocked", "part_hashes", fmt.Sprint(parts[:min(len(parts), maxLoggedParts)]), "parts", len(parts), "decided_by", decidedBy)
	}
}
