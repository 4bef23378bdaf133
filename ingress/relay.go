package ingress

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/hyssophaven/hyssophaven/catalog"
	"github.com/hyssophaven/hyssophaven/dispatch"
	"github.com/hyssophaven/hyssophaven/suspect"
	"github.com/hyssophaven/hyssophaven/upstream"
)

var (
	errWrongRequest = errors.New("answer carries the id of another request")
	errEncoded      = errors.New("answer has a content encoding")
	errUnsigned     = errors.New("successful answer lacks the replica's signature")
	errEventOrder   = errors.New("event id is not greater than the last one")
	// errTruncatedEvent is needed for answers without a declared length: such an
	// answer is truncated if it ends within an event, even if the connection was
	// closed normally.
	errTruncatedEvent = errors.New("stream ends within an event")
	errNoEvent        = errors.New("stream has no event")
	// errCallerWrite means that the answer could not be written to the caller.
	errCallerWrite = errors.New("write to the caller failed")
)

// relay relays a replica's answer to the caller, or discards it if the request is to
// be retried. It returns the outcome of the send and whether the caller has the whole
// answer. A nil error means that the replica's answer was read to its end.
func (x *exchange) relay(ctx context.Context, s *send) (dispatch.Outcome, bool, error) {
	a, head := s.answer, s.head
	if err := x.checkHead(a, head); err != nil {
		return dispatch.ConnectionBroken, false, err
	}
	if head.NotExecuted || head.Misdirected {
		outcome := dispatch.NotExecuted
		if head.Misdirected {
			outcome = dispatch.Misdirected
		}
		return outcome, false, x.discard(a)
	}
	if x.route.Kind == catalog.Stream && a.Status == http.StatusOK {
		return x.relayStream(ctx, s)
	}
	if x.headSent {
		return dispatch.Failed, false, x.discard(a) // can't be appended to the events that were relayed
	}
	x.reportFirstByte(s)
	return x.relayPlain(a)
}

// reportFirstByte reports the time to the first byte of a send to the control
// goroutine.
func (x *exchange) reportFirstByte(s *send) {
	x.timeToFirstByte = time.Since(s.sentAt)
	x.enter(phaseAnswering)
	x.service.control.FirstByte(s.flight, x.timeToFirstByte, s.head.Report)
}

// checkHead returns an error if the head of an answer shows that it can't be relayed.
func (x *exchange) checkHead(a *upstream.Answer, head AnswerHead) error {
	success := a.Status >= 200 && a.Status < 300
	switch {
	case head.RequestID != x.head.ID && (head.RequestID != "" || success):
		return errWrongRequest
	case success && a.Header.Get("Content-Encoding") != "":
		return errEncoded
	case success && !head.Signed:
		return errUnsigned
	}
	return nil
}

// discard reads an answer without relaying it, so that its connection can be reused.
// It fails if the answer has maxBufferedBytes or more.
func (x *exchange) discard(a *upstream.Answer) error {
	a.SetReadTimeout(minAnswerTimeout)
	n, err := io.CopyN(io.Discard, a, maxBufferedBytes)
	if err == io.EOF {
		return nil
	}
	if err == nil {
		err = fmt.Errorf("discarded answer has %d bytes or more", n)
	}
	return err
}

// relayPlain relays an answer that is not a stream.
func (x *exchange) relayPlain(a *upstream.Answer) (dispatch.Outcome, bool, error) {
	a.SetReadTimeout(time.Until(x.request.Deadline))
	body, err := io.ReadAll(io.LimitReader(a, maxBufferedBytes))
	if err != nil {
		return x.outcomeOf(err), false, err
	}
	whole := &bufferedAnswer{status: a.Status, header: a.Header, body: body}
	if len(body) < maxBufferedBytes {
		return x.relayBuffered(whole)
	}
	return x.relayLarge(a, whole)
}

// relayBuffered relays an answer that was read completely. It keeps a failure of the
// replica (status 5xx) in failedAnswer while the request can be retried.
func (x *exchange) relayBuffered(answer *bufferedAnswer) (dispatch.Outcome, bool, error) {
	if answer.status >= 500 {
		if x.route.Repeatable() && x.possibleRuns+1 < x.route.MaxAttempts {
			x.failedAnswer = answer
			return dispatch.Failed, false, nil
		}
		x.deliver(answer)
		return dispatch.Failed, true, nil
	}
	x.deliver(answer)
	return dispatch.Answered, true, nil
}

// deliver writes a complete answer to the caller.
func (x *exchange) deliver(answer *bufferedAnswer) {
	x.firstByte, x.status = time.Now(), answer.status
	x.service.protocol.CopyAnswer(x.w.Header(), answer.header)
	x.setConnectionClose()
	if bodyAllowed(x.r.Method, answer.status) {
		x.w.Header().Set("Content-Length", strconv.Itoa(len(answer.body)))
	}
	x.w.WriteHeader(answer.status)
	_, _ = x.w.Write(answer.body) // the caller may have disconnected
}

// bodyAllowed reports whether an answer to the method with the status can have a
// body.
func bodyAllowed(method string, status int) bool {
	return method != http.MethodHead && status != http.StatusNoContent && status != http.StatusNotModified && status >= 200
}

// setConnectionClose sets Connection: close again if serve chose it for the caller's
// connection. The replica's headers do not apply to that connection.
func (x *exchange) setConnectionClose() {
	if len(x.r.TransferEncoding) > 0 || x.service.stopping.Load() {
		x.w.Header().Set("Connection", "close")
	}
}

// relayLarge relays an answer of maxBufferedBytes or more while it is being read.
// prefix holds the bytes that were read already.
func (x *exchange) relayLarge(a *upstream.Answer, prefix *bufferedAnswer) (dispatch.Outcome, bool, error) {
	if err := x.beginAnswer(); err != nil {
		return dispatch.Canceled, false, err
	}
	x.service.protocol.CopyAnswer(x.w.Header(), prefix.header)
	x.setConnectionClose()
	if a.Length >= 0 {
		x.w.Header().Set("Content-Length", strconv.FormatInt(a.Length, 10))
	}
	x.w.WriteHeader(prefix.status)
	if _, err := x.w.Write(prefix.body); err != nil {
		return dispatch.Canceled, false, errCallerWrite
	}
	if _, err := io.Copy(x.w, a); err != nil {
		return x.outcomeOf(err), false, err
	}
	x.status = prefix.status
	return dispatch.Answered, true, nil
}

// relayStream relays events as they arrive, each as soon as it is complete.
//
// A begun stream whose replica is silent is resumed at another replica if one can take
// it over.
func (x *exchange) relayStream(ctx context.Context, from *send) (dispatch.Outcome, bool, error) {
	a := from.answer
	s := &eventStream{exchange: x, answer: a}
	x.setEventTimeout(a, x.answerTimeout(from))
	for {
		n, err := a.Read(s.freeSpace())
		if n > 0 {
			s.reportProgress(from)
		}
		if relayErr := s.forwardEvents(n); relayErr != nil {
			if errors.Is(relayErr, errCallerWrite) || errors.Is(relayErr, errStopping) {
				return dispatch.Canceled, false, relayErr
			}
			return dispatch.ConnectionBroken, false, relayErr
		}
		switch {
		case err == io.EOF:
			return s.finish()
		case x.headSent && a.IsSilent() && time.Until(x.request.Deadline) > 0 && !x.handOver(ctx, from):
		case err != nil:
			return x.outcomeOf(err), false, err
		}
		x.setEventTimeout(a, eventTimeout)
	}
}

// reportProgress reports the first byte of a stream, and later that its answer has
// settled.
func (s *eventStream) reportProgress(from *send) {
	switch {
	case s.begunAt.IsZero():
		s.begunAt = time.Now()
		s.exchange.reportFirstByte(from)
	case !s.settled && time.Since(s.begunAt) >= suspect.SettleTime:
		s.settled = true
		s.exchange.service.control.Settled(from.flight)
	}
}

// setEventTimeout limits the wait for the next part of a stream to d if the stream can
// be resumed at another replica, and otherwise to the request's deadline.
func (x *exchange) setEventTimeout(a *upstream.Answer, d time.Duration) {
	left := time.Until(x.request.Deadline)
	if x.route.Resumable && x.possibleRuns+1 < x.route.MaxAttempts {
		left = min(left, d)
	}
	a.SetReadTimeout(left)
}

// eventStream splits a replica's answer into events and relays them.
type eventStream struct {
	exchange *exchange
	answer   *upstream.Answer
	buffer   []byte // bytes of an event that is not complete yet
	begunAt  time.Time
	settled  bool // the answer has gone on for suspect.SettleTime
}

// eventBufferBytes is the initial size of a stream's buffer.
const eventBufferBytes = 2 << 10

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

// writeEvents writes events to the caller and flushes them. Before the first events of
// a stream, it writes the head of the answer.
func (x *exchange) writeEvents(a *upstream.Answer, events []byte) error {
	if !x.headSent {
		if err := x.beginAnswer(); err != nil {
			return err
		}
		x.service.protocol.CopyAnswer(x.w.Header(), a.Header)
		x.setConnectionClose()
		x.w.WriteHeader(a.Status)
	}
	if _, err := x.w.Write(events); err != nil {
		return fmt.Errorf("%w: %w", errCallerWrite, err)
	}
	if err := http.NewResponseController(x.w).Flush(); err != nil {
		return fmt.Errorf("%w: %w", errCallerWrite, err)
	}
	return nil
}
