package controlplane

import (
	"time"

	"github.com/hyssophaven/hyssophaven/bootclock"
	"github.com/hyssophaven/hyssophaven/rowstore"
)

// metricStoreRestores counts the restores of the store that this instance has noticed.
const metricStoreRestores = "store_restores"

// observeVersion records a version of the store that this instance or a peer has read. If
// it is of a later era, the store was restored from a copy: rows that were written since
// the copy are lost until their writers write them again.
//
// The tables are read again at once. The config in force and the known state of replicas
// stay until newer ones are read, the lease is acquired again, and the holder stores the
// blocked prompt parts again.
func (c *core) observeVersion(now time.Time, version rowstore.Version) {
	before := c.storeVersion
	c.storeVersion = max(before, version)
	if version.Era() > before.Era() {
		c.leader.RecordEra(bootclock.Now(), version.Era())
	}
	// Peers of earlier program versions report no era.
	if before.Era() == 0 || version.Era() <= before.Era() {
		return
	}
	c.metrics.Counter(metricStoreRestores).Add(1)
	c.log.Warn("store was restored from a copy", "era", version.Era(), "previous_era", before.Era(), "version", version.Counter(), "previous_version", before.Counter(),
		"config", c.configVersion(), "replicas", len(c.replicaList.Replicas()), "lease_held", c.leader.Held())
	c.blocksStale = true
	for table, seen := range c.tableVersions {
		if seen.Era() < version.Era() {
			c.publishEvent(FeedBehind{Table: table})
		}
	}
}
