package dispatch

import "time"

// This file decides how often this instance sends requests to a plain service. The load
// pattern is some hundred requests per second from about a hundred instances to a few
// replicas with six slots each: an instance sends a few requests per second, a slot is
// taken and free again within 60 ms, and what an instance knows of slots is out of date
// before its next send. What is fresh is whether its own last sends were rejected.
//
// Invariant: while replicas reject more than some percent of the sends, the time between two
// sends grows, up to a multiple of this instance's share of the slots; without rejections it
// shrinks to nothing. A slot that this instance has just freed can be used at once: without
// that, the replicas would be idle for a good part of the time between sends.

const (
	// rejectedFactor multiplies the gap after a rejection, and acceptedFactor after an
	// answer. They balance at 4 % of rejections: 0.04*ln(1.6) = -0.96*ln(0.98).
	rejectedFactor, acceptedFactor = 1.6, 0.98
	// The gap ranges from firstGapShare to maxGapShare of the gap at which all instances
	// together send as many requests as the replicas can do. Below it there is none.
	firstGapShare, maxGapShare = 0.25, 2.0
	// lateGaps is the number of gaps more that a request waits which has missed its target.
	lateGaps = 4
	// freedSlotTime is how long the slot of an answer that has ended is taken for free.
	freedSlotTime = 5 * time.Millisecond
	// idleGapTime is the time without sends in which the gap halves.
	idleGapTime = time.Second
)

// pace limits the sends of this instance to one plain service.
type pace struct {
	gap      time.Duration // least time between two sends
	lastSend time.Time
}

// next returns the earliest time of the next send.
func (p *pace) next() time.Time { return p.lastSend.Add(p.gap) }

func (p *pace) recordSend(now time.Time) {
	if idle := now.Sub(p.lastSend) - p.gap; p.gap > 0 && idle > 0 {
		p.gap = time.Duration(float64(p.gap) / (1 + float64(idle)/float64(idleGapTime)))
	}
	p.lastSend = now
}

// recordRejection and recordAnswer adapt the gap. fair is the gap at which all instances
// together send as many requests as the replicas can do.
func (p *pace) recordRejection(fair time.Duration) {
	lowest, highest := time.Duration(firstGapShare*float64(fair)), time.Duration(maxGapShare*float64(fair))
	p.gap = min(max(time.Duration(rejectedFactor*float64(p.gap)), lowest), highest)
}

func (p *pace) recordAnswer(fair time.Duration) {
	p.gap = time.Duration(acceptedFactor * float64(p.gap))
	if p.gap < time.Duration(firstGapShare*float64(fair)/2) {
		p.gap = 0
	}
}

// fairGap returns the gap at which all instances together keep all slots of a plain service
// in use.
func (s *State) fairGap(now time.Time, svc *service) time.Duration {
	rate := 0.0 // requests per second
	for _, r := range svc.replicas {
		if !r.info.Leaving && r.ejectionTime == 0 {
			work := svc.plainTTFB().Seconds() * r.latencyRatio * r.slowness(now)
			rate += float64(r.info.Slots) / work
		}
	}
	if rate == 0 {
		return 0
	}
	return time.Duration(float64(max(s.instances, 1)) / rate * float64(time.Second))
}

// SetInstances records the number of instances that share the replicas; 0 if it is unknown.
func (s *State) SetInstances(n int) { s.instances = n }

// hasFreedSlot reports whether an answer of a plain replica to this instance has just ended.
func (r *replica) hasFreedSlot(now time.Time) bool { return now.Sub(r.freedAt) < freedSlotTime }
