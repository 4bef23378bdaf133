package upstream

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/hyssophaven/hyssophaven/netdial"
)

const (
	// maxIdlePerEndpoint limits the idle connections to one endpoint.
	maxIdlePerEndpoint = 24
	// maxRequestsPerConnection limits the IDs that a connection remembers.
	maxRequestsPerConnection = 100
)

var errNoID = errors.New("request without an ID")

// Endpoint is a process that listens at an address, which another process can use after
// it. No connection to one of them is used for the other.
type Endpoint struct {
	Address     string
	ID          string // of the replica
	StartMillis int64  // start of the process in Unix milliseconds; 0 if unknown
}

// Request is a call whose answer carries its ID.
type Request struct {
	ID string
	Call
}

// Pool sends requests and keeps idle connections to endpoints. It is safe for concurrent
// use.
type Pool struct {
	dialer
	answerID func(http.Header) string
	mu       sync.Mutex
	peers    map[Endpoint]*peer
	closed   bool
	idle     int // idle connections to all endpoints
	maxIdle  int // 0 if there is no limit
}

// peer holds the connections to one endpoint. The mutex of the pool guards it.
type peer struct {
	endpoint Endpoint
	idle     []*conn
	inUse    int
	ended    bool // returned connections are closed
}

// NewPool returns an empty pool. answerID reads the ID of the request from the head of an
// answer; it returns "" if there is none.
func NewPool(dial DialFunc, answerID func(http.Header) string) *Pool {
	return &Pool{dialer: dialer{dial: dial}, answerID: answerID, peers: make(map[Endpoint]*peer)}
}

// SetMaxIdle limits the idle connections to all endpoints; 0 means no limit. It must be
// called before the pool is used.
func (p *Pool) SetMaxIdle(n int) { p.maxIdle = n }

// Do sends r to e and returns the head of the answer. It waits for the head for
// answerTimeout at most. When ctx ends, the connection is closed immediately, even while
// the body is being read.
func (p *Pool) Do(ctx context.Context, e Endpoint, r *Request, answerTimeout time.Duration) (*Answer, error) {
	a, err := p.Send(ctx, e, r)
	if err != nil {
		return nil, err
	}
	if err := a.ReadHead(ctx, answerTimeout); err != nil {
		a.Close(false)
		return nil, err
	}
	return a, nil
}

// Send sends r to e. The returned answer has no head before ReadHead. When ctx ends, the
// connection is closed immediately, even while the answer is being read. A large request
// is written in another goroutine, because the endpoint may answer before it has read the
// whole body.
func (p *Pool) Send(ctx context.Context, e Endpoint, r *Request) (*Answer, error) {
	if r.ID == "" {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, errNoID)
	}
	c, err := p.acquire(ctx, e, r.ID)
	if err != nil {
		return nil, err
	}
	a := &Answer{pool: p, cutOff: &p.cutOff, conn: c, id: r.ID}
	if err := a.start(ctx, &r.Call); err != nil {
		return nil, err
	}
	return a, nil
}

// acquire returns an idle connection that is still usable, or opens a new one.
func (p *Pool) acquire(ctx context.Context, e Endpoint, id string) (*conn, error) {
	now := time.Now()
	for {
		c := p.popIdle(e, id)
		if c == nil {
			break
		}
		if now.Before(c.expires) && isReusable(c.Conn) {
			return c, nil
		}
		p.release(c)
	}
	peer := p.join(e)
	c, err := p.open(ctx, e.Address)
	if err != nil {
		p.leave(peer)
		return nil, err
	}
	c.peer = peer
	return c, nil
}

// popIdle removes and returns the idle connection that was used last, or nil if there is
// none. It leaves out connections on which the request has been answered before: a second
// copy of that answer would look like the answer to this send.
func (p *Pool) popIdle(e Endpoint, id string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	peer := p.peers[e]
	if peer == nil {
		return nil
	}
	for i, c := range slices.Backward(peer.idle) {
		if !slices.Contains(c.answered, id) {
			peer.idle = slices.Delete(peer.idle, i, i+1)
			peer.inUse++
			p.idle--
			return c
		}
	}
	return nil
}

// join counts a connection to e as in use.
func (p *Pool) join(e Endpoint) *peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.peers[e] == nil {
		p.peers[e] = &peer{endpoint: e}
	}
	p.peers[e].inUse++
	return p.peers[e]
}

// leave ends the use of a connection to a peer.
func (p *Pool) leave(peer *peer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	peer.inUse--
	p.forget(peer)
}

// forget removes a peer without connections.
func (p *Pool) forget(peer *peer) {
	if peer.inUse == 0 && len(peer.idle) == 0 && p.peers[peer.endpoint] == peer {
		delete(p.peers, peer.endpoint)
	}
}

// release closes a connection that was in use.
func (p *Pool) release(c *conn) {
	_ = c.Close()
	p.leave(c.peer)
}

// putIdle keeps a connection for reuse for the given time. It closes the connection if
// the pool is closed, holds enough of them, or the endpoint has ended.
func (p *Pool) putIdle(c *conn, idle time.Duration) {
	c.expires = time.Now().Add(idle)
	_ = c.SetDeadline(time.Time{})
	p.mu.Lock()
	defer p.mu.Unlock()
	c.peer.inUse--
	defer p.forget(c.peer)
	if p.closed || c.peer.ended || idle <= 0 || len(c.peer.idle) >= maxIdlePerEndpoint || len(c.answered) >= maxRequestsPerConnection ||
		p.maxIdle > 0 && p.idle >= p.maxIdle {
		_ = c.Close()
		return
	}
	c.peer.idle = append(c.peer.idle, c)
	p.idle++
}

// EndpointEnded closes the idle connections to e, and those in use when their answers end.
// Connections that are opened to e later are kept again.
func (p *Pool) EndpointEnded(e Endpoint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if peer := p.peers[e]; peer != nil {
		p.idle -= peer.end()
		delete(p.peers, e)
	}
}

// end closes the idle connections to the peer and returns their number.
func (p *peer) end() int {
	n := len(p.idle)
	p.ended = true
	for _, c := range p.idle {
		_ = c.Close()
	}
	p.idle = nil
	return n
}

// CloseExpired closes idle connections that have expired.
func (p *Pool) CloseExpired() {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, peer := range p.peers {
		peer.idle = slices.DeleteFunc(peer.idle, func(c *conn) bool {
			expired := !now.Before(c.expires)
			if expired {
				p.idle--
				_ = c.Close()
			}
			return expired
		})
		p.forget(peer)
	}
}

// IdleConnections returns the number of idle connections.
func (p *Pool) IdleConnections() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return int64(p.idle)
}

// Close closes all idle connections. Connections that are returned later are closed
// as well.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, peer := range p.peers {
		p.idle -= peer.end()
	}
	clear(p.peers)
}

// isReusable reports whether an idle connection is open and has no unread bytes.
// Bytes that arrive while no request is in flight do not answer any request. It
// returns true for a connection that gives no access to its file descriptor.
func isReusable(c net.Conn) bool {
	if wrapped, ok := c.(*netdial.Conn); ok {
		c = wrapped.Conn
	}
	sc, ok := c.(syscall.Conn)
	if !ok {
		return true // the next request detects a closed connection
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	nothingToRead := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		nothingToRead = n <= 0 && (err == syscall.EAGAIN || err == syscall.EWOULDBLOCK)
		return true
	})
	return err == nil && nothingToRead
}
