// Package boundedlisten limits the connections of a listener to a group of the memory
// budget. It is for listeners whose connections need no other tracking: readiness checks,
// metrics and peers.
package boundedlisten

import (
	"net"
	"sync"
	"time"

	"github.com/hyssophaven/hyssophaven/memorybudget"
)

// New returns a listener whose connections are accounts of group. A connection that finds
// no room is closed when it is accepted.
func New(l net.Listener, group *memorybudget.Group) net.Listener {
	return &listener{Listener: l, group: group}
}

type listener struct {
	net.Listener
	group *memorybudget.Group
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &Conn{Conn: raw}
		if l.group.OpenAccount(&c.account, time.Now(), c.evict) {
			return c, nil
		}
		_ = raw.Close()
	}
}

// Conn is a connection with an account of the memory budget.
type Conn struct {
	net.Conn
	account memorybudget.Account
	begun   bool // only the goroutine that reads uses it
	once    sync.Once
}

// Account returns the account of the connection.
func (c *Conn) Account() *memorybudget.Account { return &c.account }

// Read implements net.Conn.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.account.Moved(time.Now(), n)
		if !c.begun {
			c.begun = true
			c.account.Begin()
		}
	}
	return n, err
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	err := c.Conn.Close()
	c.once.Do(c.account.Close)
	return err
}

// evict closes the connection.
func (c *Conn) evict() { _ = c.Close() }
