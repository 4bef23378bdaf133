package ingress

import (
	"bytes"
	"fmt"
	"strconv"

	"github.com/hyssophaven/hyssophaven/dispatch"
	"github.com/hyssophaven/hyssophaven/upstream"
)

// eventStream splits a replica's answer into events and relays them.
type eventStream struct {
	exchange *exchange
	answer   *upstream.Answer
	buffer   []byte // bytes of an event that is not complete yet
	begun    bool
}

const (
	// eventBufferBytes is the initial size of a stream's buffer.
	eventBufferBytes = 2 << 10
	// maxEventBytes limits one event of a replica's answer. Engines send events of
	// some hundred bytes.
	maxEventBytes = 64 << 10
)

var eventEnd = []byte("\n\n")

// freeSpace returns the unused part of the buffer, and grows the buffer if less than
// half of its initial size is unused.
func (s *eventStream) freeSpace() []byte {
	if cap(s.buffer)-len(s.buffer) < eventBufferBytes/2 {
		grown := make([]byte, len(s.buffer), max(eventBufferBytes, 2*cap(s.buffer)))
		copy(grown, s.buffer)
		s.buffer = grown
	}
	return s.buffer[len(s.buffer):cap(s.buffer)]
}

// forwardEvents adds n bytes, which were read into freeSpace, to the buffer and relays
// the events that are complete.
func (s *eventStream) forwardEvents(n int) error {
	s.buffer = s.buffer[:len(s.buffer)+n]
	end := bytes.LastIndex(s.buffer, eventEnd)
	if end < 0 {
		if len(s.buffer) > maxEventBytes {
			return s.answer.LimitExceeded("event", maxEventBytes)
		}
		return nil
	}
	end += len(eventEnd)
	events := s.buffer[:end]
	last, err := s.checkOrder(events)
	if err != nil {
		return err
	}
	if err := s.exchange.writeEvents(s.answer, events); err != nil {
		return err
	}
	if last != "" {
		s.exchange.lastEvent = last
	}
	s.buffer = s.buffer[:copy(s.buffer, s.buffer[end:])]
	return nil
}

// checkOrder returns the id of the last event. It returns an error if the ids do not
// increase, including from one replica of a resumed stream to the next.
func (s *eventStream) checkOrder(events []byte) (string, error) {
	last := s.exchange.lastEvent
	for _, event := range bytes.Split(events, eventEnd) {
		id := eventID(event)
		if id == "" {
			continue
		}
		if !followsEvent(id, last) {
			return "", fmt.Errorf("%w: %q after %q", errEventOrder, id, last)
		}
		last = id
	}
	return last, nil
}

// eventID returns the value of an event's id field, or "" if it has none.
func eventID(event []byte) string {
	for line := range bytes.Lines(event) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(value))
		}
	}
	return ""
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
	if len(bytes.TrimSpace(s.buffer)) > 0 {
		return dispatch.ConnectionBroken, false, errTruncatedEvent
	}
	if !x.headSent {
		return dispatch.ConnectionBroken, false, errNoEvent
	}
	x.status = s.answer.Status
	return dispatch.Answered, true, nil
}
