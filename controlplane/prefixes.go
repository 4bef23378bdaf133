package controlplane

import (
	"time"

	"github.com/hyssophaven/hyssophaven/dispatch"
)

// prefixLogInterval is the shortest time between two log lines about corrections of the
// estimate of replicas' caches.
const prefixLogInterval = 10 * time.Second

// prefixMetric is the counter of what became of the estimate of replicas' caches, by event.
const prefixMetric = "prefix_estimate"

// prefixExport holds what was last exported and logged of the estimate of replicas' caches.
type prefixExport struct {
	exported, logged dispatch.PrefixCounts
	loggedAt         time.Time
	begun            bool // the counters exist
}

// exportPrefixes updates the metrics of the estimate of replicas' caches, and logs its
// corrections.
func (c *core) exportPrefixes(now time.Time) {
	counts, last := c.dispatch.PrefixCounts(), c.prefixes.exported
	if counts == last && c.prefixes.begun {
		return
	}
	c.prefixes.exported, c.prefixes.begun = counts, true
	c.metrics.Gauge("prefix_parts").Set(int64(counts.Parts))
	for event, n := range map[string]int{
		"believed": counts.Believed - last.Believed, "hit": counts.Hits - last.Hits, "miss": counts.Misses - last.Misses,
		"corrected": counts.Corrections - last.Corrections, "dropped": counts.Dropped - last.Dropped,
	} {
		c.metrics.Counter(prefixMetric, "event", event).Add(int64(n))
	}
	logged := c.prefixes.logged
	if counts.Corrections == logged.Corrections || now.Sub(c.prefixes.loggedAt) < prefixLogInterval {
		return
	}
	c.log.Info("estimate of cached prompt parts corrected", "corrections", counts.Corrections-logged.Corrections, "parts_dropped", counts.Dropped-logged.Dropped,
		"hits", counts.Hits-logged.Hits, "misses", counts.Misses-logged.Misses, "parts", counts.Parts)
	c.prefixes.logged, c.prefixes.loggedAt = counts, now
}
