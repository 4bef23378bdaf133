package ingress

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/hyssophaven/hyssophaven/catalog"
	"github.com/hyssophaven/hyssophaven/dispatch"
	"github.com/hyssophaven/hyssophaven/failover"
	"github.com/hyssophaven/hyssophaven/heldbytes"
	"github.com/hyssophaven/hyssophaven/memorybudget"
	"github.com/hyssophaven/hyssophaven/upstream"
)

var (
	errEncoded    = errors.New("answer has a content encoding")
	errUnsigned   = errors.New("successful answer lacks the replica's signature")
	errOtherType  = errors.New("resumed stream has another media type")
	errEventOrder = errors.New("event id is not greater than the last one")
	// errTruncatedEvent is needed for answers without a declared length: such an
	// answer is truncated if it ends within an event, even if the connection was
	// closed normally.
	errTruncatedEvent = errors.New("stream ends within an event")
	errNoEvent        = errors.New("stream has no event")
	// errCallerWrite means that the answer could not be written to the caller.
	errCallerWrite = errors.New("write to the caller failed")
)

// isInvalid reports whether an answer was broken off for what it held, while its
// connection was still open.
func isInvalid(err error) bool {
	var limit *upstream.LimitError
	for _, invalid := range []error{upstream.ErrForeignAnswer, errEncoded, errUnsigned, errOtherType, errEventOrder} {
		if errors.Is(err, invalid) {
			return true
		}
	}
	return errors.As(err, &limit)
}

// relay relays a replica's answer to the caller, or discards it if the request is to
// be retried. It returns the outcome of the send and whether the caller has the whole
// answer. A nil error means that the replica's answer was read to its end.
func (x *exchange) relay(ctx context.Context, s *send) (dispatch.Outcome, bool, error) {
	a, head := s.answer, s.head
	if err := x.checkHead(s); err != nil {
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
	if x.relayed != failover.Nothing {
		return dispatch.Failed, false, x.discard(a) // can't be appended to the events that were relayed
	}
	x.reportFirstByte(s)
	return x.relayPlain(s)
}

// isShared reports whether another replica has the request while a send answers it: the
// silent replica from which the send is to take the request over, or the successor.
func (x *exchange) isShared(s *send) bool { return s.fromSilent || x.successor != nil }

// reportFirstByte reports the time to the first byte of a send to the control
// goroutine.
func (x *exchange) reportFirstByte(s *send) {
	x.timeToFirstByte = time.Since(s.sentAt)
	x.enter(phaseAnswering)
	x.service.control.FirstByte(s.flight, x.timeToFirstByte, s.head.Report)
}

// checkHead returns an error if the head of an answer shows that it can't be relayed.
func (x *exchange) checkHead(s *send) error {
	a, head := s.answer, s.head
	success := a.Status >= 200 && a.Status < 300
	switch {
	case success && a.Header.Get("Content-Encoding") != "":
		return errEncoded
	case success && !head.Signed:
		return errUnsigned
	case success && x.relayed == failover.Events && !sameType(x.streamType, mediaType(a.Header)):
		return errOtherType
	}
	return nil
}

// mediaType returns the media type of an answer without its parameters, or "" if the head
// names none.
func mediaType(h http.Header) string {
	name, _, _ := strings.Cut(h.Get("Content-Type"), ";")
	return strings.ToLower(strings.TrimSpace(name))
}

// sameType reports whether two media types are the same or either is missing.
func sameType(a, b string) bool { return a == "" || b == "" || a == b }

// discard reads an answer without relaying it, so that its connection can be reused.
// It fails if the answer has maxBufferedBytes or more.
func (x *exchange) discard(a *upstream.Answer) error {
	a.SetReadTimeout(minAnswerTimeout)
	_, err := io.CopyN(io.Discard, a, maxBufferedBytes)
	if err == io.EOF {
		return nil
	}
	if err == nil {
		err = a.LimitExceeded("discarded body", maxBufferedBytes)
	}
	return err
}

// relayPlain relays an answer that is not a stream.
//
// A failure too large to be held is left if another replica has the request, because no other
// answer can follow it once a part of it was relayed.
func (x *exchange) relayPlain(s *send) (dispatch.Outcome, bool, error) {
	a, timeout := s.answer, time.Until(x.request.Deadline)
	if x.isShared(s) {
		timeout = min(timeout, minAnswerTimeout) // the other replica can go on meanwhile
	}
	if a.Length > maxAnswerBytes && bodyAllowed(x.r.Method, a.Status) {
		return dispatch.ConnectionBroken, false, a.LimitExceeded("body", maxAnswerBytes)
	}
	a.SetReadTimeout(timeout)
	initial := int64(initialAnswerBytes)
	if a.Length >= 0 {
		initial = min(a.Length+1, maxInitialAnswerBytes) // the reader reports the end after the last byte
	}
	body, err := heldbytes.ReadAll(a, initial, maxBufferedBytes, &x.memory, memorybudget.Other)
	noRoom := errors.Is(err, heldbytes.ErrNoRoom)
	if err != nil && !noRoom {
		return x.outcomeOf(err), false, err
	}
	whole := &bufferedAnswer{status: a.Status, header: a.Header, body: body}
	if len(body) < maxBufferedBytes && !noRoom {
		return x.relayBuffered(whole)
	}
	if outcome := outcomeOfStatus(a.Status); outcome == dispatch.Failed && x.isShared(s) {
		return outcome, false, a.LimitExceeded("failure", maxBufferedBytes)
	}
	return x.relayLarge(a, whole)
}

// relayBuffered relays an answer that was read completely. It keeps a failure of the
// replica (status 5xx) in failedAnswer while the request can be retried.
func (x *exchange) relayBuffered(answer *bufferedAnswer) (dispatch.Outcome, bool, error) {
	if outcome := outcomeOfStatus(answer.status); outcome == dispatch.Failed && x.route.Repeatable() && x.possibleRuns+1 < x.route.MaxAttempts {
		x.failedAnswer = answer
		return outcome, false, nil
	}
	x.deliver(answer)
	return outcomeOfStatus(answer.status), true, nil
}

// outcomeOfStatus returns the outcome of a complete answer.
func outcomeOfStatus(status int) dispatch.Outcome {
	if status >= 500 {
		return dispatch.Failed
	}
	return dispatch.Answered
}

// deliver writes a complete answer to the caller.
func (x *exchange) deliver(answer *bufferedAnswer) {
	x.firstByte, x.status = time.Now(), answer.status
	x.service.protocol.CopyAnswer(x.w.Header(), answer.header)
	x.setConnectionHeaders()
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

// setConnectionHeaders sets the headers that apply to the caller's connection. It is
// called again after a replica's headers were copied.
func (x *exchange) setConnectionHeaders() {
	// Request smuggling: a request with both a length and chunked encoding can hide
	// another request after its body, and net/http does not report the conflict.
	// Connections are therefore closed after any request with chunked encoding.
	if len(x.r.TransferEncoding) > 0 || x.service.stopping.Load() {
		closeConnection(x.w.Header())
		return
	}
	if seconds := int(x.service.callers.idleTimeout().Seconds()); seconds > 0 {
		x.w.Header().Set("Keep-Alive", fmt.Sprintf("timeout=%d", seconds))
	}
}

// closeConnection sets the headers of an answer after which the connection is closed.
func closeConnection(h http.Header) {
	h.Set("Connection", "close")
	h.Del("Keep-Alive")
}

// relayLarge relays an answer of maxBufferedBytes or more, or one for which there is no
// memory, while it is being read.
// prefix holds the bytes that were read already.
func (x *exchange) relayLarge(a *upstream.Answer, prefix *bufferedAnswer) (dispatch.Outcome, bool, error) {
	if err := x.beginAnswer(failover.Plain); err != nil {
		return dispatch.Canceled, false, err
	}
	x.service.protocol.CopyAnswer(x.w.Header(), prefix.header)
	x.setConnectionHeaders()
	if a.Length >= 0 {
		x.w.Header().Set("Content-Length", strconv.FormatInt(a.Length, 10))
	}
	x.w.WriteHeader(prefix.status)
	if _, err := x.w.Write(prefix.body); err != nil {
		return dispatch.Canceled, false, errCallerWrite
	}
	if _, err := io.Copy(x.w, io.LimitReader(a, int64(maxAnswerBytes-len(prefix.body)))); err != nil {
		return x.outcomeOf(err), false, err
	}
	switch n, err := io.ReadFull(a, make([]byte, 1)); {
	case n > 0:
		return dispatch.ConnectionBroken, false, a.LimitExceeded("body", maxAnswerBytes)
	case err != io.EOF:
		return x.outcomeOf(err), false, err
	}
	x.status = prefix.status
	return outcomeOfStatus(prefix.status), true, nil
}

// relayStream relays events as they arrive, each as soon as it is complete.
//
// A stream whose replica is silent is resumed at another replica if one can take it
// over.
func (x *exchange) relayStream(ctx context.Context, from *send) (dispatch.Outcome, bool, error) {
	a := from.answer
	s := &eventStream{exchange: x, answer: a}
	s.setTimeout(x.answerTimeout(from))
	for {
		n, err := s.readNext(from)
		relayed, relayErr := s.forwardEvents(n)
		if relayErr != nil {
			if errors.Is(relayErr, errCallerWrite) || errors.Is(relayErr, errStopping) {
				return dispatch.Canceled, false, relayErr
			}
			return dispatch.ConnectionBroken, false, relayErr
		}
		if err == io.EOF {
			return s.finish()
		}
		stays := err != nil && x.canStay(a) && !x.handOver(ctx, from)
		if err != nil && !stays {
			return x.outcomeOf(err), false, err
		}
		switch {
		case relayed:
			s.setTimeout(eventTimeout)
		case stays:
			s.setTimeout(handoverInterval)
		}
	}
}

// canStay reports whether an answer whose read has failed can go on: its replica is only
// silent, and the request has time left.
func (x *exchange) canStay(a *upstream.Answer) bool {
	return a.IsSilent() && time.Until(x.request.Deadline) > 0
}

// writeEvents writes events to the caller and flushes them. Before the first events of
// a stream, it writes the head of the answer.
func (x *exchange) writeEvents(a *upstream.Answer, events []byte) error {
	if x.relayed == failover.Nothing {
		if err := x.beginAnswer(failover.Events); err != nil {
			return err
		}
		x.streamType = mediaType(a.Header)
		x.service.protocol.CopyAnswer(x.w.Header(), a.Header)
		x.setConnectionHeaders()
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
