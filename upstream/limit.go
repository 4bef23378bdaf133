package upstream

import (
	"errors"
	"fmt"
	"net"
	"os"

	"github.com/hyssophaven/hyssophaven/headlimits"
	"github.com/hyssophaven/hyssophaven/internal/answerhead"
)

const (
	// maxHeadBytes limits the head of an answer together with the interim answers
	// before it. It is the limit for callers' requests in package ingress. Replicas'
	// heads have some hundred bytes.
	maxHeadBytes = headlimits.MaxBytes
	// maxInterimAnswers limits the interim answers (status 1xx) before an answer. It
	// is the limit of http.Transport.
	maxInterimAnswers = 5
)

// LimitError means that a part of an answer exceeded its limit. The rest of the
// answer is not read and its connection is closed.
type LimitError struct {
	Part  string // what exceeded the limit, such as "head"
	Limit int64  // in bytes, except for "interim answers"
}

// Error implements error.
func (e *LimitError) Error() string {
	return fmt.Sprintf("answer exceeds a limit: %s, limit %d", e.Part, e.Limit)
}

// LimitExceeded counts the answer as cut off and returns the error for it, which is an
// ErrConnectionBroken and a LimitError. Readers of an answer call it if a part of the
// answer is larger than they accept. The limit is in bytes.
func (a *Answer) LimitExceeded(part string, limit int64) error {
	a.cutOff.Add(1)
	return fmt.Errorf("%w: %w", ErrConnectionBroken, &LimitError{Part: part, Limit: limit})
}

// headLimiter reads from a connection and, while a head is being read, limits the
// bytes that are taken from it and checks their lines. The bytes of a body need no limit
// here, because its reader does not keep them; chunkedBody limits and checks its framing.
// It repeats the error that ended the connection, which the connection reports once.
type headLimiter struct {
	conn    net.Conn
	ended   error // the error of the connection, other than a timeout
	limited bool
	left    int // bytes left while limited; -1 after a read beyond the limit
	checker answerhead.LineChecker
}

// limit begins a head, of which the given bytes were read already. It returns an error if they
// are malformed.
func (l *headLimiter) limit(n int, buffered []byte) error {
	l.limited, l.left, l.checker = true, n, answerhead.LineChecker{}
	_, err := l.checker.Check(buffered)
	return err
}

// exceeded reports whether a read was refused since limit was called.
func (l *headLimiter) exceeded() bool { return l.left < 0 }

func (l *headLimiter) unlimit() { l.limited = false }

// Read implements io.Reader.
func (l *headLimiter) Read(b []byte) (int, error) {
	if !l.limited {
		return l.readConn(b)
	}
	if l.left <= 0 {
		l.left = -1
		return 0, &LimitError{Part: "head", Limit: maxHeadBytes}
	}
	n, err := l.readConn(b[:min(len(b), l.left)])
	l.left -= n
	valid, lineErr := l.checker.Check(b[:n])
	if lineErr != nil {
		l.ended = lineErr
		return valid, lineErr
	}
	return n, err
}

func (l *headLimiter) readConn(b []byte) (int, error) {
	if l.ended != nil {
		return 0, l.ended
	}
	n, err := l.conn.Read(b)
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		l.ended = err
	}
	return n, err
}
