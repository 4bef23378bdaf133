package controlplane

import (
	"github.com/hyssophaven/hyssophaven/nodeconfig"
	"github.com/hyssophaven/hyssophaven/retry"
)

// setInstances sets the number of instances among which the slack of the retry
// budget is divided.
func (c *core) setInstances(n int) {
	if n != c.instanceCount {
		c.instanceCount = n
		c.dispatch.SetInstances(n)
		c.dispatch.SetRetryLimits(retryLimits(c.node.Bounds, n))
	}
}

// retryLimits returns one instance's share of the fleet's retry budget. Half of its
// share of the slack is a rate and half is a burst. At least assumedInstances are
// assumed, because an instance that has just started does not know the number.
func retryLimits(b nodeconfig.Bounds, instances int) retry.Limits {
	part := b.RetrySlack / 2 / float64(max(instances, assumedInstances))
	return retry.Limits{
		Window: b.RetryWindow, Ratio: retryRatioShare * b.RetryRatio,
		MinPerSecond: part / b.RetryWindow.Seconds(), Burst: part,
	}
}
