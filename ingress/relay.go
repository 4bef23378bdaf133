package ingress

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/hyssophaven/hyssophaven/catalog"
	"github.com/hyssophaven/hyssophaven/controlplane"
	"github.com/hyssophaven/hyssophaven/dispatch"
	"github.com/hyssophaven/hyssophaven/upstream"
)

var (
	errForeign  = errors.New("the answer belongs to another request")
	errEncoded  = errors.New("the answer has a content encoding")
	errUnsigned = errors.New("a success without the replica's signature")
	errOldEvent = errors.New("an event has no id, or one that is not greater than the last")
	// An answer without a length that ends in the middle of an event was cut off,
	// although its connection ended in order.
	errPartEvent = errors.New("the stream ends within an event")
	errNoEvent   = errors.New("the stream has no event")
	// errCaller means that the caller does not take the answer.
	errCaller = errors.New("write to the caller")
)

// relay passes an answer to the caller. A nil error means that the exchange
// with the replica was complete.
func (x *exchange) relay(f *controlplane.Flight, a *upstream.Answer, head AnswerHead, sent time.Time) (dispatch.Outcome, bool, error) {
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
		return x.relayStream(f, a, head, sent)
	}
	if x.started {
		return dispatch.Failed, false, x.discard(a) // it can't follow the events that were passed on
	}
	x.begin(f, head, sent)
	return x.relayPlain(a)
}

// begin reports that the answer of a send has begun.
func (x *exchange) begin(f *controlplane.Flight, head AnswerHead, sent time.Time) {
	x.sendFirstByte = time.Since(sent)
	x.gateway.control.FirstByte(f, x.sendFirstByte, head.Report)
}

func (x *exchange) checkHead(a *upstream.Answer, head AnswerHead) error {
	success := a.Status >= 200 && a.Status < 300
	switch {
	case head.RequestID != x.head.ID && (head.RequestID != "" || success):
		return errForeign
	case success && a.Header.Get("Content-Encoding") != "":
		return errEncoded
	case success && !head.Sealed:
		return errUnsigned
	}
	return nil
}

// discard reads an answer that is not passed on, so that its connection can be used again.
func (x *exchange) discard(a *upstream.Answer) error {
	a.SetSilence(minSilence)
	n, err := io.CopyN(io.Discard, a, maxBuffered)
	if err == io.EOF {
		return nil
	}
	if err == nil {
		err = fmt.Errorf("an answer of over %d bytes is not read to its end", n)
	}
	return err
}

// relayPlain passes on an answer that is not a stream.
func (x *exchange) relayPlain(a *upstream.Answer) (dispatch.Outcome, bool, error) {
	a.SetSilence(time.Until(x.request.Deadline))
	body, err := io.ReadAll(io.LimitReader(a, maxBuffered))
	if err != nil {
		return x.outcomeOf(err), false, err
	}
	whole := &bufferedAnswer{status: a.Status, header: a.Header, body: body}
	if len(body) < maxBuffered {
		return x.passBuffered(whole)
	}
	return x.passLarge(a, whole)
}

// passBuffered passes on an answer that was read whole. A failure of the
// replica is kept back while the request may still succeed elsewhere.
func (x *exchange) passBuffered(answer *bufferedAnswer) (dispatch.Outcome, bool, error) {
	if answer.status >= 500 {
		if x.route.Repeatable() && x.ran+1 < x.route.MaxAttempts {
			x.failure = answer
			return dispatch.Failed, false, nil
		}
		x.deliver(answer)
		return dispatch.Failed, true, nil
	}
	x.deliver(answer)
	return dispatch.Answered, true, nil
}

// deliver writes a whole answer to the caller.
func (x *exchange) deliver(answer *bufferedAnswer) {
	x.firstByte, x.status = time.Now(), answer.status
	x.gateway.protocol.CopyAnswer(x.w.Header(), answer.header)
	x.keepClose()
	if bodyAllowed(x.r.Method, answer.status) {
		x.w.Header().Set("Content-Length", strconv.Itoa(len(answer.body)))
	}
	x.w.WriteHeader(answer.status)
	_, _ = x.w.Write(answer.body) // the caller may have left
}

// bodyAllowed reports whether an answer has a body.
func bodyAllowed(method string, status int) bool {
	return method != http.MethodHead && status != http.StatusNoContent && status != http.StatusNotModified && status >= 200
}

// keepClose repeats what serve decided on the caller's connection, which the
// replica's headers don't concern.
func (x *exchange) keepClose() {
	if len(x.r.TransferEncoding) > 0 || x.gateway.stopping.Load() {
		x.w.Header().Set("Connection", "close")
	}
}

// passLarge passes on an answer while it is read.
func (x *exchange) passLarge(a *upstream.Answer, begin *bufferedAnswer) (dispatch.Outcome, bool, error) {
	x.started, x.firstByte = true, time.Now()
	x.gateway.protocol.CopyAnswer(x.w.Header(), begin.header)
	x.keepClose()
	if a.Length >= 0 {
		x.w.Header().Set("Content-Length", strconv.FormatInt(a.Length, 10))
	}
	x.w.WriteHeader(begin.status)
	if _, err := x.w.Write(begin.body); err != nil {
		return dispatch.Canceled, false, errCaller
	}
	if _, err := io.Copy(x.w, a); err != nil {
		return x.outcomeOf(err), false, err
	}
	x.status = begin.status
	return dispatch.Answered, true, nil
}

// relayStream passes on events as they come, each only when it is complete.
func (x *exchange) relayStream(f *controlplane.Flight, a *upstream.Answer, head AnswerHead, sent time.Time) (dispatch.Outcome, bool, error) {
	s := &eventStream{exchange: x, answer: a}
	x.setStreamSilence(a, x.silence(f.Decision))
	for {
		n, err := a.Read(s.space())
		if n > 0 && !s.any {
			s.any = true
			x.begin(f, head, sent)
		}
		if passErr := s.pass(n); passErr != nil {
			if errors.Is(passErr, errCaller) {
				return dispatch.Canceled, false, passErr
			}
			return dispatch.ConnectionBroken, false, passErr
		}
		switch {
		case err == io.EOF:
			return s.end()
		case err != nil:
			return x.outcomeOf(err), false, err
		}
		x.setStreamSilence(a, eventSilence)
	}
}

// setStreamSilence bounds the wait for the next part of a stream that can go on
// elsewhere.
func (x *exchange) setStreamSilence(a *upstream.Answer, d time.Duration) {
	left := time.Until(x.request.Deadline)
	if x.route.Resumable && x.ran+1 < x.route.MaxAttempts {
		left = min(left, d)
	}
	a.SetSilence(left)
}

// eventStream cuts the bytes of a stream into events.
type eventStream struct {
	exchange *exchange
	answer   *upstream.Answer
	buffer   []byte // begins with an event that is not complete
	any      bool
}

const eventBuffer = 2 << 10

var eventEnd = []byte("\n\n")

func (s *eventStream) space() []byte {
	if cap(s.buffer)-len(s.buffer) < eventBuffer/2 {
		grown := make([]byte, len(s.buffer), max(eventBuffer, 2*cap(s.buffer)))
		copy(grown, s.buffer)
		s.buffer = grown
	}
	return s.buffer[len(s.buffer):cap(s.buffer)]
}

// pass takes over n bytes that were read and passes on the events that are complete.
func (s *eventStream) pass(n int) error {
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

// checkOrder returns the id of the last event. Ids grow, also from one replica
// to the next.
func (s *eventStream) checkOrder(events []byte) (string, error) {
	last := s.exchange.lastEvent
	for _, event := range bytes.Split(events, eventEnd) {
		id := eventID(event)
		if id == "" {
			continue
		}
		if !after(id, last) {
			return "", fmt.Errorf("%w: %q after %q", errOldEvent, id, last)
		}
		last = id
	}
	return last, nil
}

// eventID returns the value of an event's id field, or "".
func eventID(event []byte) string {
	for line := range bytes.Lines(event) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(value))
		}
	}
	return ""
}

// after reports whether an event id follows another. Ids that are not numbers
// are not compared.
func after(id, last string) bool {
	a, errA := strconv.ParseInt(id, 10, 64)
	b, errB := strconv.ParseInt(last, 10, 64)
	return errA != nil || errB != nil || a > b
}

// end finishes a stream whose answer was complete.
func (s *eventStream) end() (dispatch.Outcome, bool, error) {
	x := s.exchange
	if len(bytes.TrimSpace(s.buffer)) > 0 {
		return dispatch.ConnectionBroken, false, errPartEvent
	}
	if !x.started {
		return dispatch.ConnectionBroken, false, errNoEvent
	}
	x.status = s.answer.Status
	return dispatch.Answered, true, nil
}

// writeEvents passes on bytes of a stream at once, after the head if it is the
// first time.
func (x *exchange) writeEvents(a *upstream.Answer, events []byte) error {
	if !x.started {
		x.started, x.firstByte = true, time.Now()
		x.gateway.protocol.CopyAnswer(x.w.Header(), a.Header)
		x.keepClose()
		x.w.WriteHeader(a.Status)
	}
	if _, err := x.w.Write(events); err != nil {
		return fmt.Errorf("%w: %w", errCaller, err)
	}
	if err := http.NewResponseController(x.w).Flush(); err != nil {
		return fmt.Errorf("%w: %w", errCaller, err)
	}
	return nil
}
