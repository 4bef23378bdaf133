package controlplane

import (
	"time"

	"github.com/hyssophaven/hyssophaven/catalog"
)

// LimitsChanged is published when the limits in the snapshot have changed.
type LimitsChanged struct{}

// replacedLimits are limits that a config has replaced. Callers may go by them until
// the time at which the change must be in force.
type replacedLimits struct {
	limits catalog.Limits
	until  time.Time
}

// keepLimits keeps the current limits for some time if the next ones differ.
func (c *core) keepLimits(now time.Time, next catalog.Limits) {
	if c.config != nil && c.config.Limits != next && c.node.Bounds.ConfigTime > 0 {
		c.replacedLimits = append(c.replacedLimits, replacedLimits{limits: c.config.Limits, until: now.Add(c.node.Bounds.ConfigTime)})
	}
}

// limits returns limits that allow what the current and the kept limits allow.
func (c *core) limits() catalog.Limits {
	if c.config == nil {
		return catalog.Limits{}
	}
	limits := c.config.Limits
	for _, r := range c.replacedLimits {
		limits = limits.Max(r.limits)
	}
	return limits
}

// expireLimits drops the kept limits that no caller goes by any more.
func (c *core) expireLimits(now time.Time) {
	expired := 0
	for expired < len(c.replacedLimits) && !now.Before(c.replacedLimits[expired].until) {
		expired++
	}
	if expired > 0 {
		c.replacedLimits = c.replacedLimits[expired:]
		c.publishSnapshot()
		c.publishEvent(LimitsChanged{})
	}
}
