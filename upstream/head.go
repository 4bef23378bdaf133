package upstream

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/hyssophaven/hyssophaven/internal/answerhead"
)

// ReadHead waits for the head of the answer, for timeout until its first byte and as
// long again for the rest. A head larger than the read buffer can't be read again after a
// timeout within it. It returns ErrAnswerTimeout if the head does not arrive in
// time; IsSilent then tells whether ReadHead can be called again.
//
// An answer from a pool that does not carry the ID of the request is an ErrForeignAnswer,
// except that one extra answer to an earlier request on the connection is skipped. The
// connection is not used for another request then.
func (a *Answer) ReadHead(ctx context.Context, timeout time.Duration) error {
	defer a.conn.limiter.unlimit()
	end := time.Now().Add(timeout)
	for {
		if err := a.readOneHead(timeout); err != nil {
			return contextError(ctx, err)
		}
		if a.pool == nil || a.pool.answerID(a.Header) == a.id {
			return nil
		}
		if err := a.skipExtra(); err != nil {
			return contextError(ctx, err)
		}
		timeout = max(time.Until(end), time.Millisecond) // a read with a passed deadline would fail
	}
}

// readOneHead waits for the next head on the connection.
func (a *Answer) readOneHead(timeout time.Duration) error {
	a.SetReadTimeout(timeout)
	a.silent = false
	buffered, _ := a.conn.reader.Peek(a.conn.reader.Buffered())
	if err := a.conn.limiter.limit(maxHeadBytes, buffered); err != nil {
		return a.readError(err)
	}
	if err := a.awaitByte(); err != nil {
		return err
	}
	a.SetReadTimeout(timeout)
	return a.parseHead()
}

// parseHead reads the head of the answer and skips up to maxInterimAnswers interim
// answers (status 1xx). All heads together have at most maxHeadBytes.
func (a *Answer) parseHead() error {
	request := &http.Request{Method: a.method}
	for skipped := 0; ; skipped++ {
		if skipped > maxInterimAnswers {
			return a.LimitExceeded("interim answers", maxInterimAnswers)
		}
		if err := a.awaitWholeHead(); err != nil {
			return err
		}
		response, err := http.ReadResponse(a.conn.reader, request)
		if err != nil {
			return a.headError(err)
		}
		if err := answerhead.Check(response); err != nil {
			return a.readError(err)
		}
		status := response.StatusCode
		interim := status >= 100 && status < 200 && status != http.StatusSwitchingProtocols
		if !interim && !answerhead.IsFinal(status) {
			return a.readError(fmt.Errorf("%w %d", errInvalidStatus, status))
		}
		if interim {
			continue
		}
		a.Status, a.Header, a.Length, a.body = response.StatusCode, response.Header, response.ContentLength, response.Body
		a.remaining = response.ContentLength
		a.chunked = false
		switch {
		case response.Body == http.NoBody:
			a.remaining = 0
		case len(response.TransferEncoding) > 0:
			a.chunked, a.body = true, io.NopCloser(&chunkedBody{reader: a.conn.reader})
		}
		a.noReuse = a.skipped || response.Close || response.ContentLength < 0 && len(response.TransferEncoding) == 0
		a.bodyRead = false
		return nil
	}
}

// headError returns the error for a head that http.ReadResponse has rejected. Package textproto
// can return another error for a line that was not read to its end.
func (a *Answer) headError(err error) error {
	limiter := a.conn.limiter
	if limiter.exceeded() {
		return a.LimitExceeded("head", maxHeadBytes)
	}
	if errors.Is(limiter.ended, answerhead.ErrMalformedLine) {
		err = limiter.ended
	}
	return a.readError(err)
}

// awaitWholeHead waits until the read buffer has a whole head or is full, or shows that
// there is no valid head. Nothing is consumed, so that the wait can be repeated after a
// timeout. The end of the connection is left to the parser.
func (a *Answer) awaitWholeHead() error {
	r := a.conn.reader
	for {
		b, _ := r.Peek(r.Buffered())
		whole := bytes.Contains(b, []byte("\n\r\n")) || bytes.Contains(b, []byte("\n\n"))
		if whole || len(b) == r.Size() || !isHeadPrefix(b) {
			return nil
		}
		_, err := r.Peek(len(b) + 1)
		if errors.Is(err, os.ErrDeadlineExceeded) {
			a.silent, a.partial = true, len(b)
			return a.readError(err)
		}
		if err != nil {
			return nil
		}
	}
}

// isHeadPrefix reports whether b can be the beginning of a head that is not complete.
func isHeadPrefix(b []byte) bool {
	const protocol = "HTTP/"
	if !bytes.HasPrefix(b, []byte(protocol)[:min(len(b), len(protocol))]) {
		return false
	}
	lines := b[:bytes.LastIndexByte(b, '\n')+1]
	if len(lines) == 0 {
		return true
	}
	_, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(lines)), nil)
	return errors.Is(err, io.ErrUnexpectedEOF)
}
