// Package ratelimit limits the requests of customers over all instances together. One
// Owner, at the holder of the order lease, has the token buckets of all customers. Each
// instance has a Client that holds the tokens that the Owner granted to it. The package
// does no I/O and reads no clock; the control goroutine owns both.
//
// Load pattern: some dozen to some hundred instances serve customers whose limits are from
// two to some hundred requests per second. Demand is uneven, moves between instances, and
// jumps to a multiple of the limit. The owner and single instances can be lost.
//
// Invariant: in any window, over all instances, at most (rate × window + burst) ×
// (1 + excess) + slack tokens are used. The buckets grant at most rate × window + burst and
// a part of the rest, the margin of Bounds; another part covers what was granted before the
// window and is used in it. An instance without an owner uses at most its share of the
// rate, and the owner grants less by the shares of instances that it does not hear.
// Instances pool their shares at a deputy of the owner if they can reach it. A request that
// costs more than the share of an instance without a deputy can hold is admitted at random,
// so that this part of the bound holds on average.
package ratelimit

import (
	"time"

	"github.com/hyssophaven/hyssophaven/catalog"
)

const (
	// GrantLifetime is the time after which granted tokens can't be used any more,
	// counted from when they were requested.
	GrantLifetime = 1500 * time.Millisecond
	// AnswerTimeout is the time for which a client waits for the owner's answer. Requests
	// that lack tokens wait as long.
	AnswerTimeout = 150 * time.Millisecond
	// contactInterval is the longest time between two messages of a client.
	contactInterval = 200 * time.Millisecond
	// itemInterval is the longest time after which a message contains a customer, so that
	// the client's share of its limit follows the demand.
	itemInterval = 2 * time.Second
	// silenceTime is the time after which the owner reserves the shares of an instance
	// that it does not hear. The instance uses them after fallbackDelay, which is longer
	// by AnswerTimeout and one tick of the owner.
	silenceTime   = 400 * time.Millisecond
	fallbackDelay = 650 * time.Millisecond
	// poolTime is the time for which a deputy grants the share of an instance that it no
	// longer hears: silenceTime and one tick.
	poolTime = silenceTime + 100*time.Millisecond
	// reservationTime is the time without contact after which a client uses only
	// lateFallbackRatio of its shares, and after which the owner no longer reserves them.
	reservationTime   = 20 * time.Second
	lateFallbackRatio = 0.1
	// maxRetryAfter bounds the time after which a refused caller is told to return.
	maxRetryAfter = 3 * time.Second
	// noShareRetry is that time if the instance has no share of the limit.
	noShareRetry = 700 * time.Millisecond
)

// The margin of Bounds is divided between a larger bucket, so that requests just below the
// limit are not refused because of the order in which they reach the owner; grants in
// advance; what instances use at once when they are cut off, and what they can save up of
// their shares then; and shares of silent instances that are not reserved. The rest covers
// grants that are on their way.
const (
	burstPart      = 0.15
	prefetchPart   = 0.10
	creditPart     = 0.35
	savingsPart    = 0.15
	unreservedPart = 0.15
)

// Bounds is the margin of the limits over all instances.
type Bounds struct {
	Window time.Duration
	Excess float64 // part of rate × window + burst
	Slack  float64 // tokens; does not apply to quotas that count requests
}

// margin returns the amount over rate × window + burst that can be used in a window.
func (b Bounds) margin(q catalog.Quota) float64 {
	m := b.Excess * (q.PerSecond*b.Window.Seconds() + q.Burst)
	if q.CountsTokens {
		m += b.Slack
	}
	return m
}

// savings returns the amount that all instances together can save up without an owner.
func (b Bounds) savings(q catalog.Quota) float64 {
	return max((creditPart+savingsPart)*b.margin(q), minSavings*q.Burst)
}

// minSavings is the part of the burst that can be saved up if the margin is small or not
// set.
const minSavings = 0.1

// unreservedShare returns the sum of the shares of silent instances that need not be
// reserved.
func (b Bounds) unreservedShare(q catalog.Quota) float64 {
	if b.Window <= 0 {
		return 0
	}
	return min(unreservedPart*b.margin(q)/(q.PerSecond*b.Window.Seconds()), 1)
}

// Request is a message of a client to the owner. It also shows that the instance is in
// contact.
type Request struct {
	Instance string
	// Start identifies the process of the instance, and Sequence orders its requests.
	Start    int64
	Sequence uint64
	// Owner is the owner that the client heard last. Returned tokens are its grants.
	Owner int64
	// Address is where the instance can be asked as the deputy of the owner, or empty.
	Address, DataCentre string
	// Delegated is set if the request is for a deputy.
	Delegated bool
	// Leaving is set if the instance will not use its shares: its process stops, or it goes
	// back from a deputy to the owner.
	Leaving bool
	// Pooled is set if a deputy can still grant the shares of the instance.
	Pooled bool
	Items  []RequestItem
}

// RequestItem is the part of a Request about one customer. The amounts are in the unit of
// the quota.
type RequestItem struct {
	Customer     string
	CountsTokens bool    // the unit in the client's config
	Needed       float64 // by requests that wait
	Largest      float64 // largest of them
	Wanted       float64 // in advance, for requests to come
	Returned     float64 // granted tokens that the client gives back
	Left         float64 // granted tokens that the client still has
	Demand       float64 // by all requests since the last item
	Deposit      float64 // credit that the client leaves to a deputy
	Share        float64 // of the rate, as the client knows it
	Assigned     float64 // sum of the shares of all instances, as the client knows it
}

// Answer is the owner's answer to a Request.
type Answer struct {
	Owner    int64 // differs between any two owners
	Sequence uint64
	// Delegated is set if a deputy answers, and Deputy is the address of the instance that
	// is to be asked if the owner can't be reached.
	Delegated bool
	Deputy    string
	Items     []AnswerItem
}

// AnswerItem is the part of an Answer about one customer.
type AnswerItem struct {
	Customer     string
	CountsTokens bool // the unit in the owner's config
	Granted      float64
	// RoomAfter is the time until the bucket has room for the largest request that waits,
	// and ReturnAfter that until it has room for those refused earlier too. Both are 0 if
	// all that was needed is granted.
	RoomAfter, ReturnAfter time.Duration
	// Share is the part of the rate that the instance can use without an owner, and
	// Assigned the sum of the shares of all instances.
	Share, Assigned float64
}
