package memorybudget

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// progressHalfLife is the time after which bytes that have arrived count half as
	// progress. It covers a few retransmissions on a lossy link.
	progressHalfLife = time.Second
	// stalledProgress is the progress per byte held below which an account can be evicted. A
	// new connection has 1 and is below it after two half-lives without a byte.
	stalledProgress = 0.25
)

// movedBy returns the bytes that have arrived, the older ones counted less.
func (a *Account) movedBy(now time.Time) float64 {
	age := now.Sub(a.movedAt)
	if age <= 0 {
		return a.moved
	}
	return a.moved * math.Exp2(-float64(age)/float64(progressHalfLife))
}

// progress returns the progress of the account per byte that it holds.
func (a *Account) progress(now time.Time) float64 {
	return a.movedBy(now) / float64(max(a.held, 1))
}

// candidate is an account that can be evicted.
type candidate struct {
	account  *Account
	order    order
	progress float64
}

// order tells which accounts are evicted first.
type order uint8

const (
	finished order = iota // the last answer has been written
	unused                // no request has begun, and another connection needs the place
	stalled               // too little progress
	kept                  // is not evicted
)

// orderOf returns the order of an account when bytes, or connections of g, are needed. A
// new connection gives its place to another one as soon as it is the one with the least
// progress among those without a request, because clients that only connect, or send a head
// without end, would keep all others out otherwise; for bytes it has the time of two
// half-lives to send some.
func (a *Account) orderOf(progress float64, g *Group) order {
	switch {
	case a.protected || a.evicted || g != nil && a.group != g:
		return kept
	case a.finished:
		return finished
	case g != nil && !a.begun:
		return unused
	case progress < stalledProgress:
		return stalled
	}
	return kept
}

// evictFor marks accounts as evicted, those with the least progress per byte first, until
// enough returns true. It takes only accounts of g, unless that is nil, and none that are
// protected or make progress. If all do, requests that ask for more are refused instead.
// b.mu must be held.
func (b *Budget) evictFor(now time.Time, asker *Account, g *Group, enough func() bool) []*Account {
	var found []candidate
	for _, a := range b.accounts {
		progress := a.progress(now)
		if o := a.orderOf(progress, g); o != kept && a != asker {
			found = append(found, candidate{account: a, order: o, progress: progress})
		}
	}
	slices.SortFunc(found, func(x, y candidate) int {
		return cmp.Or(cmp.Compare(x.order, y.order), cmp.Compare(x.progress, y.progress))
	})
	var out []*Account
	for _, c := range found {
		if enough() {
			break
		}
		a := c.account
		a.evicted = true
		a.group.leaving++
		b.leaving += a.held
		b.counts.Evicted++
		out = append(out, a)
	}
	return out
}

// Reservation is the bytes that one user of an account has reserved. A nil Reservation, and
// one of a nil account, has no limit. It is used by one goroutine.
type Reservation struct {
	Account *Account
	held    int64
}

// Grow reserves n more bytes for p, as Account.Grow does.
func (r *Reservation) Grow(now time.Time, n int64, p Purpose) bool {
	if r == nil {
		return true
	}
	if !r.Account.Grow(now, n, p) {
		return false
	}
	r.held += n
	return true
}

// Return gives back n of the bytes.
func (r *Reservation) Return(n int64) {
	if r == nil {
		return
	}
	n = min(n, r.held)
	r.held -= n
	r.Account.Return(n)
}

// Release gives back all bytes. Further calls have no effect.
func (r *Reservation) Release() {
	if r != nil {
		r.Return(r.held)
	}
}
