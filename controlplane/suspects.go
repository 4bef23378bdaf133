package controlplane

import (
	"fmt"
	"time"

	"github.com/hyssophaven/hyssophaven/suspect"
)

// settleIntervals is how many states of each instance the holder waits for before it
// blocks a suspected part: one that follows the announcement of the part, and the next
// one, which can carry answers that have cleared it.
const settleIntervals = 2

// updateSuspects blocks and unblocks prompt parts if this instance holds the order lease
// or hears of no holder. Otherwise the holder decides.
func (c *core) updateSuspects(now time.Time) {
	suspects := c.dispatch.Suspects()
	switch {
	case c.leader.Held():
		role := suspect.Role{Holder: c.node.ID}
		if len(c.peers) > 0 {
			role.Settle = settleIntervals * stateInterval(len(c.peers), c.node.AvoidLease())
		}
		c.logPartChanges(suspects.Decide(now, role), c.node.ID)
	case now.Sub(c.holderSeenAt) > c.maxHolderSilence():
		c.logPartChanges(suspects.Decide(now, suspect.Role{}), c.node.ID)
	default:
		suspects.Expire(now)
	}
	blocked, suspected := suspects.Counts()
	c.metrics.Gauge("parts", "state", "blocked").Set(int64(blocked))
	c.metrics.Gauge("parts", "state", "suspected").Set(int64(suspected))
}

// logPartChanges logs the sets of parts that decidedBy has blocked or unblocked. Parts are
// named by their hash; refused requests name the part itself.
func (c *core) logPartChanges(changes suspect.Changes, decidedBy string) {
	for _, parts := range changes.Blocked {
		c.log.Warn("prompt parts blocked", "part_hashes", fmt.Sprint(parts), "decided_by", decidedBy, "own_crashes", c.dispatch.Suspects().DescribeCrashes(parts))
	}
	for _, parts := range changes.Unblocked {
		c.log.Info("prompt parts unblocked", "part_hashes", fmt.Sprint(parts), "decided_by", decidedBy)
	}
}
