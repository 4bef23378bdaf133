package memorybudget

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Unix(1_000_000, 0)

// client is a connection of a replay.
type client struct {
	Account
	memory    Reservation
	evictions int
}

func open(g *Group, now time.Time) (*client, bool) {
	c := &client{}
	c.memory.Account = &c.Account
	ok := g.OpenAccount(&c.Account, now, func() { c.evictions++ })
	return c, ok
}

// leave ends a client, as its connection does after an eviction.
func (c *client) leave() {
	c.memory.Release()
	c.Account.Close()
}

// Guards against bodies that stop short of their end and keep the memory that a body that
// makes progress needs, against more bytes than the limit, and against the end of a request
// that can have been sent to a replica.
func TestBodiesWithoutProgressMakeRoom(t *testing.T) {
	is := is.New(t)
	const body, piece = 4 << 20, 64 << 10
	b := New(LimitFor(144 << 20))
	g := b.NewGroup(0)
	sent, _ := open(g, start)
	is.True(sent.memory.Grow(start, body, Body))
	is.True(sent.Protect())
	var stalled []*client
	refused := 0
	for range 60 {
		c, ok := open(g, start)
		is.True(ok)
		for c.memory.held < body && c.memory.Grow(start, piece, Body) {
			c.Moved(start, piece)
		}
		if c.memory.held < body {
			refused++
			c.leave()
			continue
		}
		stalled = append(stalled, c)
	}
	is.True(refused > 0)      // none of them was stalled yet
	is.True(len(stalled) > 3) // the others found room
	now := start.Add(4 * progressHalfLife)
	slow, ok := open(g, now)
	is.True(ok)
	served := int64(0)
	for served < body {
		now = now.Add(20 * time.Millisecond)
		if slow.memory.Grow(now, piece, Body) {
			slow.Moved(now, piece)
			served += piece
		} else {
			t.Fatalf("no room after %d bytes, %d held", served, b.Counts().Held)
		}
		for i, c := range stalled {
			if c != nil && c.evictions > 0 {
				c.leave()
				stalled[i] = nil
			}
		}
		is.True(b.Counts().Held <= b.limitOf(Body)+2*ConnectionBytes*61)
	}
	is.True(b.Counts().Evicted > 0)
	is.Equal(sent.evictions, 0)
	is.Equal(slow.evictions, 0)
}

// Guards against connections without a request that keep others from connecting, and
// against the end of one that makes progress.
func TestConnectionsWithoutProgressMakeRoom(t *testing.T) {
	is := is.New(t)
	b := New(0)
	g, others := b.NewGroup(100), b.NewGroup(10)
	var silent []*client
	for range 87 {
		c, ok := open(g, start)
		is.True(ok)
		silent = append(silent, c)
	}
	peer, ok := open(others, start)
	is.True(ok)
	now := start.Add(3 * progressHalfLife)
	busy, _ := open(g, now)
	busy.Begin()
	busy.Moved(now, ConnectionBytes)
	for range 50 {
		now = now.Add(10 * time.Millisecond)
		c, ok := open(g, now)
		is.True(ok)
		c.Moved(now, ConnectionBytes)
		c.leave()
		for i, s := range silent {
			if s != nil && s.evictions > 0 {
				s.leave()
				silent[i] = nil
			}
		}
	}
	is.True(b.Counts().Evicted > 0)
	is.Equal(busy.evictions, 0)
	is.Equal(peer.evictions, 0) // its group has room
}

// Guards against clients that only connect and thereby keep all others out, against closing
// a connection that sends for one that has sent nothing, and against keeping one whose last
// answer has been written.
func TestOrderOfEvictionForConnections(t *testing.T) {
	is := is.New(t)
	g := New(0).NewGroup(8)
	var clients []*client
	for i := range 7 {
		c, ok := open(g, start.Add(time.Duration(i)*time.Millisecond))
		is.True(ok)
		clients = append(clients, c)
	}
	now := start.Add(10 * time.Millisecond)
	clients[0].Moved(now, 1)
	clients[0].Begin()
	clients[2].Moved(now, 1)
	clients[2].Protect()
	clients[2].Finish()
	for n, want := range []int{2, 1, 3, 4} { // the finished one, then the oldest ones without a request
		_, ok := open(g, now)
		is.True(ok)
		is.Equal(clients[want].evictions, 1)
		clients[want].leave()
		total := 0
		for _, c := range clients {
			total += c.evictions
		}
		is.Equal(total, n+1)
	}
}

// Guards against bytes that are given back twice or never, against bytes and connections
// beyond the limits, and against a second eviction.
func TestReservationsAtRandom(t *testing.T) {
	for seed := range uint64(40) {
		rng := rand.New(rand.NewPCG(seed, 0))
		b := New(4 << 20)
		groups := []*Group{b.NewGroup(20), b.NewGroup(0)}
		var clients []*client
		now := start
		for range 3000 {
			now = now.Add(time.Duration(rng.IntN(50)) * time.Millisecond)
			if len(clients) == 0 || rng.IntN(4) == 0 {
				if c, ok := open(groups[rng.IntN(2)], now); ok {
					clients = append(clients, c)
				}
				continue
			}
			i := rng.IntN(len(clients))
			c := clients[i]
			switch rng.IntN(7) {
			case 6:
				c.Finish()
			case 0:
				c.memory.Grow(now, rng.Int64N(300<<10), Purpose(rng.IntN(2)))
			case 1:
				c.Moved(now, rng.IntN(100<<10))
			case 2:
				c.Protect()
			case 3:
				c.Unprotect()
			case 4:
				c.memory.Return(rng.Int64N(100 << 10))
			default:
				if c.evictions > 0 || rng.IntN(3) == 0 {
					c.Account.Close()
					c.leave()
					clients = append(clients[:i], clients[i+1:]...)
				}
			}
			check(t, b, groups, clients)
		}
		for _, c := range clients {
			c.leave()
		}
		if b.held != 0 || b.leaving != 0 || len(b.accounts) != 0 {
			t.Fatalf("seed %d: %d bytes held, %d leaving, %d accounts at the end", seed, b.held, b.leaving, len(b.accounts))
		}
	}
}

func check(t *testing.T, b *Budget, groups []*Group, clients []*client) {
	t.Helper()
	held, leaving := int64(0), int64(0)
	for _, c := range clients {
		held += c.Account.held
		if c.evicted {
			leaving += c.Account.held
		}
		if c.evictions > 1 {
			t.Fatalf("%d evictions", c.evictions)
		}
	}
	if held != b.held || leaving != b.leaving || held > b.limit {
		t.Fatalf("%d bytes held, %d leaving; counted %d and %d", held, leaving, b.held, b.leaving)
	}
	if groups[0].open > groups[0].max || groups[0].open+groups[1].open != len(clients) {
		t.Fatalf("%d and %d connections of %d", groups[0].open, groups[1].open, len(clients))
	}
}

// Guards against limits that callers reach although the settings name none, and against
// shares that exceed the descriptors.
func TestShares(t *testing.T) {
	is := is.New(t)
	is.Equal(SharesOf(0), Shares{})
	for _, descriptors := range []int{300, 500, 3075, 10250} {
		s := SharesOf(descriptors)
		is.True(2*s.Callers+s.IdleReplicas+s.Peers+2*s.Checks < descriptors) // a replica's connection for each caller
		is.True(s.Callers > 0 && s.IdleReplicas > 0 && s.Peers > 0 && s.Checks > 0)
	}
	var none *Budget
	c, ok := open(none.NewGroup(1), start)
	is.True(ok && c.memory.Grow(start, 1<<40, Body) && c.Protect() && !c.Evicted())
	c.leave()
	unlimited, ok := open(New(0).NewGroup(0), start)
	is.True(ok && unlimited.memory.Grow(start, 1<<40, Body))
}
