package ratelimit

import (
	"math"
	"time"
)

const (
	// evenPart is the part of the rate that is divided evenly between instances; the rest
	// follows their demand.
	evenPart = 0.5
	// maxShareFactor and maxShare bound the share of one instance. What is reserved for a
	// killed instance is missing until reservationTime is over: the owner can still grant
	// the usual demand without it.
	maxShareFactor = 3.0
	maxShare       = 0.4
)

// stake is the part of one instance in the limit of a customer.
type stake struct {
	share       float64 // largest share that the instance can be using
	reported    bool    // the instance has reported its share
	unused      float64 // tokens granted in advance
	unusedUntil time.Time
	demand      float64 // moving average, per second
	demandAt    time.Time
}

// shares divides the limit of a customer between the instances, for the time when they
// have no owner. The sum of all shares is at most 1.
type shares struct {
	stakes   map[string]*stake
	assigned float64 // sum of all shares
	silent   float64 // sum of the shares of silent instances
	demand   float64 // sum of the demand of all instances
	unused   float64 // sum of the tokens granted in advance
	// inherited is the sum of the shares that the owner before has assigned, and heard the
	// part of it that instances have reported to this one.
	inherited, heard float64
}

func newShares() shares { return shares{stakes: make(map[string]*stake)} }

// unknown returns the sum of the shares that the owner before assigned to instances that
// this owner has not heard yet. age is the time since it started.
func (s *shares) unknown(age time.Duration) float64 {
	if age > reservationTime+fallbackDelay {
		return 0
	}
	return max(s.inherited-s.heard, 0)
}

// update recomputes the sums.
func (s *shares) update(now time.Time, members map[string]*member) {
	s.assigned, s.silent, s.demand, s.unused = 0, 0, 0, 0
	for name, k := range s.stakes {
		k.decay(now)
		if !now.Before(k.unusedUntil) {
			k.unused = 0
		}
		s.assigned += k.share
		s.demand += k.demand
		s.unused += k.unused
		if m := members[name]; m == nil || m.silent(now) {
			s.silent += k.share
		}
	}
}

// decay brings the average demand up to date.
func (k *stake) decay(now time.Time) {
	if elapsed := now.Sub(k.demandAt); elapsed > 0 {
		k.demand *= math.Exp(-elapsed.Seconds() / demandTime.Seconds())
		k.demandAt = now
	}
}

func (s *shares) stake(now time.Time, instance string) *stake {
	k := s.stakes[instance]
	if k == nil {
		k = &stake{demandAt: now}
		s.stakes[instance] = k
	}
	return k
}

func (s *shares) remove(instance string) {
	k := s.stakes[instance]
	if k == nil {
		return
	}
	s.assigned -= k.share
	s.demand -= k.demand
	s.unused -= k.unused
	delete(s.stakes, instance)
}

func (s *shares) addDemand(now time.Time, instance string, amount float64) {
	k := s.stake(now, instance)
	before := k.demand
	k.decay(now)
	k.demand += max(amount, 0) / demandTime.Seconds()
	s.demand += k.demand - before
}

func (s *shares) unusedWithout(instance string) float64 {
	if k := s.stakes[instance]; k != nil {
		return s.unused - k.unused
	}
	return s.unused
}

func (s *shares) setUnused(now time.Time, instance string, amount float64) {
	k := s.stake(now, instance)
	s.unused += amount - k.unused
	k.unused, k.unusedUntil = amount, now.Add(GrantLifetime)
}

// assign returns the new share of an instance. Until the instance reports the new one, it
// counts as using the larger of the two, so that the sum stays at most 1 if the answer is
// lost. age is the time since the owner started.
func (s *shares) assign(now time.Time, age time.Duration, instance string, item RequestItem, instances int, leaving bool) float64 {
	k := s.stake(now, instance)
	if !k.reported {
		k.reported = true
		s.inherited, s.heard = max(s.inherited, item.Assigned), s.heard+item.Share
	}
	others := s.assigned - k.share
	next := 0.0
	if !leaving {
		n := float64(max(instances, 1))
		next = 1 / n
		if s.demand > 0 {
			next = evenPart/n + (1-evenPart)*k.demand/s.demand
		}
		free := 1 - others - s.unknown(age)
		next = roundShare(max(min(next, maxShareFactor/n, maxShare, free), 0))
	}
	k.share = max(next, item.Share)
	s.assigned = others + k.share
	return next
}

// pool records the share that an instance leaves to a deputy.
func (s *shares) pool(now time.Time, instance string, share float64) {
	k := s.stake(now, instance)
	s.assigned += share - k.share
	k.share = share
}

// roundShare rounds a share down to a ten-thousandth, which keeps messages short.
func roundShare(share float64) float64 { return math.Floor(share*1e4) / 1e4 }
