package ingress

import (
	"bytes"
	"context"
	"net"
	"os"
	"time"

	"github.com/hyssophaven/hyssophaven/memorybudget"
)

// noRoomRetry is the time after which a caller should retry that was refused because the
// memory budget has no room. Connections without progress are closed meanwhile.
const noRoomRetry = time.Second

// causeNoRoom is the cause of such refusals.
const causeNoRoom = "no-room"

// connContextKey is the key of the connection in the context of its requests.
type connContextKey struct{}

// withConn implements http.Server.ConnContext.
func withConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connContextKey{}, conn)
}

// connOf returns the connection of a request, or nil.
func connOf(ctx context.Context) *trackedConn {
	c, _ := ctx.Value(connContextKey{}).(*trackedConn)
	return c
}

// accountOf returns the account of a request's connection, or nil.
func accountOf(ctx context.Context) *memorybudget.Account {
	if c := connOf(ctx); c != nil {
		return &c.account
	}
	return nil
}

// evict ends a connection whose memory or descriptor is needed. If a head or a body is being
// read, the read fails and the request is refused. Otherwise it is closed at once.
func (c *trackedConn) evict() {
	c.mu.Lock()
	c.evicted = true
	reading := !c.halfClosed && (c.state == connReadingHead || c.state == connHandling)
	c.mu.Unlock()
	if reading {
		_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
		return
	}
	_ = c.Conn.Close()
	c.account.Close()
}

const (
	// headLineBytes is what package net/http takes for a line of a head besides its bytes:
	// the key, the value and their places in a map that grows.
	headLineBytes = 256
	// usualHeadLines is the number of lines that need no reservation.
	usualHeadLines = 64
	// headElementBytes covers what is kept of an element of a list in a head, such as a part
	// of the prompt, besides its bytes. Elements are separated by commas and can be empty.
	headElementBytes = 48
	// usualHeadElements is the number of elements that need no reservation.
	usualHeadElements = 64
)

// headSize counts what of a head takes memory.
type headSize struct{ bytes, lines, elements int }

// reserveHead reserves memory for bytes of a head that were read, and for what is decoded
// from them. The usual head needs no reservation.
func (c *trackedConn) reserveHead(now time.Time, b []byte) bool {
	before := c.headSize
	c.headSize.bytes += len(b)
	c.headSize.lines += bytes.Count(b, []byte{'\n'})
	c.headSize.elements += bytes.Count(b, []byte{','})
	more := 2*int64(beyond(memorybudget.BufferBytes, before.bytes, c.headSize.bytes)) +
		headLineBytes*int64(beyond(usualHeadLines, before.lines, c.headSize.lines)) +
		headElementBytes*int64(beyond(usualHeadElements, before.elements, c.headSize.elements))
	return more == 0 || c.head.Grow(now, more, memorybudget.Other)
}

// beyond returns by how much the part of a count above limit grows.
func beyond(limit, before, after int) int { return max(after-limit, 0) - max(before-limit, 0) }

// releaseHead gives back the memory of a head.
func (c *trackedConn) releaseHead() {
	c.headSize = headSize{}
	c.head.Release()
}

// refuseHead refuses a request whose head finds no room.
func (c *trackedConn) refuseHead() error {
	c.mu.Lock()
	c.evicted = true
	c.closeCause = closedForRoom
	c.mu.Unlock()
	c.writeRefusal(noRoomAnswer)
	return os.ErrDeadlineExceeded // net/http adds no answer of its own
}

// noRoomAnswer refuses a request before its head has been read.
const noRoomAnswer = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\nContent-Length: 8\r\n\r\nno-room\n"

// logBudget logs how many clients have found no room since the last call, if any.
func (s *Service) logBudget() {
	now, last := s.budget.Counts(), s.lastCounts
	s.lastCounts = now
	if now.Refused == last.Refused && now.Turned == last.Turned && now.Evicted == last.Evicted {
		return
	}
	s.log.Warn("memory or descriptors are short", "bytes_held", now.Held, "reservations_refused", now.Refused-last.Refused,
		"connections_turned_away", now.Turned-last.Turned, "connections_evicted", now.Evicted-last.Evicted, "caller_connections", s.callers.conns.group.Open())
}
