// Package memorybudget decides how much memory and how many connections the clients of a
// process can take. It addresses this load: many clients, which need not keep to any limit,
// open connections, send heads and bodies that don't end, or leave answers unread, and each
// of them alone stays within the limits of one request. Its invariant is that the bytes of
// all accounts never exceed the limit of the budget, and the accounts of a group never its
// number.
//
// An account belongs to one connection. It reserves bytes before they are held and returns
// each of them once. A reservation that finds no room is refused. Before that, when little
// room is left, the accounts with the least progress per byte held are evicted: their
// connections are closed, and their bytes are returned when their users have ended. An
// account is never evicted while it is protected, that is, from the time at which its
// request can be sent to a replica.
//
// The package uses no clock, network or log: times are arguments, and evicting calls the
// function that the account was opened with.
//
// The budget is one per process and shared by its traffic goroutines, which must know at
// once whether they can allocate. It is therefore guarded by a mutex, as the tracker of
// callers' connections in package ingress is, and is not state of the control goroutine.
// The mutex guards counts of bytes and connections only, is held for no input or output,
// and no decision about routes, replicas or orders depends on it.
package memorybudget

import (
	"sync"
	"time"
)

const (
	// memoryShare is the divisor of a process's memory that gives the limit of its budget.
	// The runtime's soft memory limit is 0.6 of the memory; the rest of that is for control
	// state, stacks, and garbage that has not been collected.
	memoryShare = 5
	// reservedShare is the divisor of the limit that gives the part that bodies of requests
	// can't use, so that connections, heads and answers still find room.
	reservedShare = 4
	// roomShare is the divisor of a limit that gives the room below which accounts without
	// progress are evicted.
	roomShare = 8
)

// ConnectionBytes is what an open connection takes: its goroutine's stack, the buffers on
// both sides, the usual head, and the first BufferBytes of a body and of an answer, which
// need no reservation.
const (
	ConnectionBytes = 32 << 10
	BufferBytes     = 4 << 10
)

// LimitFor returns the limit of the budget of a process with the given memory; 0 for no
// limit if the memory is not limited.
func LimitFor(memory int64) int64 { return memory / memoryShare }

// Purpose tells what bytes are reserved for.
type Purpose uint8

const (
	// Body is for bodies of requests, which can't use the reserved part of the budget.
	Body Purpose = iota
	// Other is for everything else.
	Other
)

// Budget is the memory that the clients of a process can take. A nil Budget has no limit.
// It is safe for concurrent use.
type Budget struct {
	limit int64 // 0 if there is none

	mu       sync.Mutex
	held     int64 // by all accounts
	leaving  int64 // by accounts that have been evicted
	accounts []*Account
	counts   Counts
}

// Counts are figures of a budget since it was created.
type Counts struct {
	Held    int64 // bytes held now
	Refused int64 // reservations that found no room
	Turned  int64 // connections that found no room
	Evicted int64 // accounts that were evicted
}

// New returns a budget of limit bytes; 0 means no limit.
func New(limit int64) *Budget { return &Budget{limit: limit} }

// Counts returns the figures of the budget.
func (b *Budget) Counts() Counts {
	if b == nil {
		return Counts{}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.counts
	c.Held = b.held
	return c
}

// limitOf returns the bytes that can be held in all when bytes are reserved for p.
func (b *Budget) limitOf(p Purpose) int64 {
	if p == Body {
		return b.limit - b.limit/reservedShare
	}
	return b.limit
}

// Group is a part of the connections of a process, such as those of one listener.
type Group struct {
	budget  *Budget
	max     int // 0 if there is no limit
	open    int // the budget's mutex guards it
	leaving int // evicted accounts that are not closed
}

// NewGroup returns a group of at most maxConnections accounts; 0 means no limit. The
// group of a nil budget has no limit.
func (b *Budget) NewGroup(maxConnections int) *Group {
	if b == nil {
		return nil
	}
	return &Group{budget: b, max: maxConnections}
}

// Open returns the number of open accounts of the group.
func (g *Group) Open() int {
	if g == nil {
		return 0
	}
	g.budget.mu.Lock()
	defer g.budget.mu.Unlock()
	return g.open
}

// Account is what one connection holds. The zero Account has no limit. It must not be
// copied once it is in use.
type Account struct {
	group     *Group
	evict     func()
	index     int // in Budget.accounts
	held      int64
	moved     float64 // bytes that have arrived, the older ones counted less
	movedAt   time.Time
	begun     bool // a request, or another message, has begun
	finished  bool
	protected bool
	evicted   bool
	closed    bool
}

// OpenAccount opens a for a connection, for which it reserves ConnectionBytes. It returns
// false if there is no room. evict is called at most once, in any goroutine, without locks
// of the budget, when the connection is to be closed.
func (g *Group) OpenAccount(a *Account, now time.Time, evict func()) bool {
	if g == nil {
		return true
	}
	b := g.budget
	b.mu.Lock()
	out := b.makeRoom(now, a, g, Other)
	b.mu.Unlock()
	evictAll(out)
	b.mu.Lock()
	defer b.mu.Unlock()
	if g.max > 0 && g.open >= g.max || !b.fits(ConnectionBytes, Other) {
		b.counts.Turned++
		return false
	}
	a.group, a.evict, a.movedAt, a.moved = g, evict, now, ConnectionBytes
	g.open++
	a.index = len(b.accounts)
	b.accounts = append(b.accounts, a)
	a.add(ConnectionBytes)
	return true
}

// Grow reserves n more bytes for p. It returns false, and reserves nothing, if there is no
// room or the account was evicted.
func (a *Account) Grow(now time.Time, n int64, p Purpose) bool {
	if a == nil || a.group == nil {
		return true
	}
	b := a.group.budget
	b.mu.Lock()
	fits := !a.evicted && b.fits(n, p)
	if fits {
		a.add(n)
	} else {
		b.counts.Refused++
	}
	out := b.makeRoom(now, a, nil, p)
	b.mu.Unlock()
	evictAll(out)
	return fits
}

// Return gives back n bytes that Grow has reserved.
func (a *Account) Return(n int64) {
	if a == nil || a.group == nil || n == 0 {
		return
	}
	b := a.group.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	a.add(-n)
}

// Close gives back what OpenAccount has reserved. Bytes that Grow has reserved must be given
// back by Return, before or after it. Further calls have no effect.
func (a *Account) Close() {
	if a == nil || a.group == nil {
		return
	}
	b := a.group.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if a.closed {
		return
	}
	a.closed = true
	a.add(-ConnectionBytes)
	a.group.open--
	if a.evicted {
		a.group.leaving--
	}
	last := len(b.accounts) - 1
	b.accounts[a.index] = b.accounts[last]
	b.accounts[a.index].index = a.index
	b.accounts[last] = nil
	b.accounts = b.accounts[:last]
}

// Moved records that n bytes of the connection have arrived.
func (a *Account) Moved(now time.Time, n int) {
	if a == nil || a.group == nil {
		return
	}
	b := a.group.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	a.moved, a.movedAt = a.movedBy(now)+float64(n), now
}

// Begin records that the first request of the connection has begun, that is, that its head
// has been read. Until then it is one of the first to be closed.
func (a *Account) Begin() {
	if a == nil || a.group == nil {
		return
	}
	b := a.group.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	a.begun = true
}

// Finish records that the last answer of the connection has been written, so that it can be
// closed at any time. It ends the effect of Protect.
func (a *Account) Finish() {
	if a == nil || a.group == nil {
		return
	}
	b := a.group.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	a.finished, a.protected = true, false
}

// Protect keeps the account from being evicted until Unprotect. It returns false if it was
// evicted before.
func (a *Account) Protect() bool { return a.setProtected(true) }

// Unprotect ends the effect of Protect.
func (a *Account) Unprotect() { a.setProtected(false) }

func (a *Account) setProtected(protected bool) bool {
	if a == nil || a.group == nil {
		return true
	}
	b := a.group.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	a.protected = protected
	return !a.evicted
}

// Evicted reports whether the account was evicted.
func (a *Account) Evicted() bool {
	if a == nil || a.group == nil {
		return false
	}
	a.group.budget.mu.Lock()
	defer a.group.budget.mu.Unlock()
	return a.evicted
}

// fits reports whether n more bytes can be reserved for p. b.mu must be held.
func (b *Budget) fits(n int64, p Purpose) bool { return b.limit == 0 || b.held+n <= b.limitOf(p) }

// add changes the bytes of the account. The mutex of the budget must be held.
func (a *Account) add(n int64) {
	b := a.group.budget
	a.held += n
	b.held += n
	if a.evicted {
		b.leaving += n
	}
}

// makeRoom marks accounts as evicted if little room is left for p, or for one more
// connection of g unless it is nil, and returns them. b.mu must be held.
func (b *Budget) makeRoom(now time.Time, asker *Account, g *Group, p Purpose) []*Account {
	var out []*Account
	if limit := b.limitOf(p); b.limit > 0 && b.held-b.leaving > limit-limit/roomShare {
		out = b.evictFor(now, asker, nil, func() bool { return b.held-b.leaving <= limit-limit/roomShare })
	}
	if g != nil && g.max > 0 && g.open-g.leaving >= g.max-g.max/roomShare {
		out = append(out, b.evictFor(now, asker, g, func() bool { return g.open-g.leaving < g.max-g.max/roomShare })...)
	}
	return out
}

func evictAll(accounts []*Account) {
	for _, a := range accounts {
		a.evict()
	}
}
