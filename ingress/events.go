package ingress

import (
	"bytes"
	"fmt"
	"strconv"
	"time"

	"github.com/hyssophaven/hyssophaven/dispatch"
	"github.com/hyssophaven/hyssophaven/heldbytes"
	"github.com/hyssophaven/hyssophaven/memorybudget"
	"github.com/hyssophaven/hyssophaven/suspect"
	"github.com/hyssophaven/hyssophaven/upstream"
)

// eventStream splits a replica's answer into events and relays them.
type eventStream struct {
	exchange *exchange
	answer   *upstream.Answer
	buffer   []byte // bytes of an event that is not complete yet
	read     int64  // bytes read so far
	begunAt  time.Time
	settled  bool // the answer has gone on for suspect.SettleTime
	// deadline limits the wait for the next whole event, and silent is set once the
	// control goroutine has been told that the stream is silent.
	deadline time.Time
	silent   bool
}

const (
	// eventBufferBytes is the initial size of a stream's buffer.
	eventBufferBytes = 2 << 10
	// maxEventBytes limits one event of a replica's answer. Engines send events of
	// some hundred bytes.
	maxEventBytes = 64 << 10
)

// setTimeout limits the wait for the next whole event of a stream to d if the stream can
// be resumed at another replica, and otherwise to the request's deadline.
func (s *eventStream) setTimeout(d time.Duration) {
	x := s.exchange
	left := time.Until(x.request.Deadline)
	if x.route.Resumable && !x.unresumable && x.possibleRuns+1 < x.route.MaxAttempts {
		left = min(left, d)
	}
	s.deadline = time.Now().Add(left)
	if !s.begunAt.IsZero() {
		left = min(left, silenceTime)
	}
	s.answer.SetReadTimeout(left)
}

// readNext reads the next bytes. It tells the control goroutine if a stream that has begun
// is silent, and if it goes on.
func (s *eventStream) readNext(from *send) (int, error) {
	control := s.exchange.service.control
	space := s.freeSpace()
	if space == nil {
		return 0, heldbytes.ErrNoRoom
	}
	n, err := s.answer.Read(space)
	if left := time.Until(s.deadline); err != nil && s.answer.IsSilent() && left > 0 {
		s.silent = true
		control.Silent(from.flight)
		s.answer.SetReadTimeout(left)
		n, err = s.answer.Read(space)
	}
	if n > 0 && s.silent {
		s.silent = false
		control.GoesOn(from.flight)
	}
	if n > 0 {
		s.reportProgress(from)
	}
	return n, err
}

// reportProgress reports the first byte of a stream, and later that its answer has
// settled.
func (s *eventStream) reportProgress(from *send) {
	switch {
	case s.begunAt.IsZero():
		s.begunAt = time.Now()
		from.flight.EventsBegun = true
		s.exchange.reportFirstByte(from)
	case !s.settled && time.Since(s.begunAt) >= suspect.SettleTime:
		s.settled = true
		s.exchange.service.control.Settled(from.flight)
	}
}

// freeSpace returns the unused part of the buffer, and grows the buffer if less than
// half of its initial size is unused. It returns nil if there is no memory for that.
func (s *eventStream) freeSpace() []byte {
	if cap(s.buffer)-len(s.buffer) < eventBufferBytes/2 {
		size := max(eventBufferBytes, 2*cap(s.buffer))
		if size > memorybudget.BufferBytes && !s.exchange.memory.Grow(time.Now(), int64(size-cap(s.buffer)), memorybudget.Other) {
			return nil
		}
		grown := make([]byte, len(s.buffer), size)
		copy(grown, s.buffer)
		s.buffer = grown
	}
	return s.buffer[len(s.buffer):cap(s.buffer)]
}

// forwardEvents adds n bytes, which were read into freeSpace, to the buffer and relays
// the events that are complete. It reports whether there was one that is not only
// comments and blank lines.
func (s *eventStream) forwardEvents(n int) (bool, error) {
	s.buffer = s.buffer[:len(s.buffer)+n]
	if s.read += int64(n); s.read > maxAnswerBytes {
		return false, s.answer.LimitExceeded("body", maxAnswerBytes)
	}
	x := s.exchange
	found, err := scanEvents(s.buffer, x.lastEvent)
	if err != nil {
		return false, err
	}
	if len(s.buffer)-found.end > maxEventBytes {
		return false, s.answer.LimitExceeded("event", maxEventBytes)
	}
	if found.end == 0 {
		return false, nil
	}
	if err := x.writeEvents(s.answer, s.buffer[:found.end]); err != nil {
		return false, err
	}
	if found.any {
		x.recordEventGap(time.Now())
		x.anyEvent, x.lastEvent, x.unresumable = true, found.lastID, !found.numbered
	}
	s.buffer = s.buffer[:copy(s.buffer, s.buffer[found.end:])]
	return found.any, nil
}

// recordEventGap updates the longest time between two events.
func (x *exchange) recordEventGap(now time.Time) {
	if !x.eventAt.IsZero() {
		x.longestGap = max(x.longestGap, now.Sub(x.eventAt))
	}
	x.eventAt = now
}

// foundEvents describes the complete events at the beginning of a buffer.
type foundEvents struct {
	end      int    // end of the last one
	any      bool   // there is one that is not only comments and blank lines
	numbered bool   // the last such one has an id
	lastID   string // id of the last one that has an id
}

// scanEvents finds the complete events in b, which follow an event with the id last.
// It returns an error if the ids do not increase, including from one replica of a
// resumed stream to the next.
func scanEvents(b []byte, last string) (foundEvents, error) {
	found := foundEvents{lastID: last}
	for {
		n := eventLength(b[found.end:])
		if n == 0 {
			return found, nil
		}
		event := b[found.end : found.end+n]
		id := eventID(event)
		if id != "" && !followsEvent(id, found.lastID) {
			return foundEvents{}, fmt.Errorf("%w: %q after %q", errEventOrder, id, found.lastID)
		}
		if id != "" {
			found.lastID = id
		}
		if id != "" || hasField(event) {
			found.any, found.numbered = true, id != ""
		}
		found.end += n
	}
}

// hasField reports whether an event has a line that is neither a comment nor blank.
func hasField(event []byte) bool {
	for {
		line, n := cutLine(event)
		if n == 0 {
			return false
		}
		if len(line) > 0 && line[0] != ':' {
			return true
		}
		event = event[n:]
	}
}

// eventLength returns the length of the first event in b with the blank line at its
// end, or 0 if that line has not arrived. A blank line alone counts as an event.
func eventLength(b []byte) int {
	for end := 0; ; {
		line, n := cutLine(b[end:])
		if n == 0 {
			return 0
		}
		end += n
		if len(line) == 0 {
			return end
		}
	}
}

// cutLine returns the first line in b without its end, and its length with the end,
// which is CR, LF or CRLF. The length is 0 if there is no whole line. A CR at the end
// of b counts as the end of a line; if an LF follows it later, the LF counts as one
// more blank line after the event, which is relayed like any other.
func cutLine(b []byte) (line []byte, length int) {
	end := lineEnd(b)
	switch {
	case end < 0:
		return nil, 0
	case b[end] == '\r' && end+1 < len(b) && b[end+1] == '\n':
		return b[:end], end + 2
	}
	return b[:end], end + 1
}

// lineEnd returns the index of the first CR or LF in b, or -1. It searches both in windows:
// a search for one of them through the whole of b would be repeated for each line that
// ends with the other.
func lineEnd(b []byte) int {
	const window = 512
	for start := 0; start < len(b); start += window {
		part := b[start:min(start+window, len(b))]
		end, cr := bytes.IndexByte(part, '\n'), bytes.IndexByte(part, '\r')
		if end < 0 || cr >= 0 && cr < end {
			end = cr
		}
		if end >= 0 {
			return start + end
		}
	}
	return -1
}

// eventID returns the value of an event's id field, or "" if it has none.
func eventID(event []byte) string {
	for {
		line, n := cutLine(event)
		if n == 0 {
			return ""
		}
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(value))
		}
		event = event[n:]
	}
}

// followsEvent reports whether an event id is greater than the last one. If either is
// not a number, it returns true.
func followsEvent(id, last string) bool {
	a, errA := strconv.ParseInt(id, 10, 64)
	b, errB := strconv.ParseInt(last, 10, 64)
	return errA != nil || errB != nil || a > b
}

// finish returns the result of relayStream for an answer that was read to its end.
func (s *eventStream) finish() (dispatch.Outcome, bool, error) {
	x := s.exchange
	if len(s.buffer) > 0 {
		return dispatch.ConnectionBroken, false, errTruncatedEvent
	}
	if !x.anyEvent {
		return dispatch.ConnectionBroken, false, errNoEvent
	}
	x.status = s.answer.Status
	return dispatch.Answered, true, nil
}
