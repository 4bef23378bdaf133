package upstream

import (
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hyssophaven/hyssophaven/internal/rawservertest"
	"github.com/hyssophaven/hyssophaven/netdial"
)

const (
	// longUpload is still being written when its answer arrives, and blockedUpload is more than
	// the buffers of both ends take.
	longUpload, blockedUpload = 4 << 20, 16 << 20

	unboundedHead = "HTTP/1.1 200 OK\r\n\r\n" // neither a length nor chunks
	partOfAnswer  = "part of an answer"
)

// readUpload sends a request to address and returns the body of the answer.
func readUpload(t *testing.T, p *testPool, address string, upload []byte) (string, error) {
	t.Helper()
	const timeout = 2 * writeTimeout
	a, err := p.Do(t.Context(), address, &Call{Method: "POST", Target: "/x", Host: "h", Body: upload}, timeout)
	if err != nil {
		return "", err
	}
	defer a.Close(true)
	a.SetReadTimeout(timeout)
	body, err := io.ReadAll(a)
	return string(body), err
}

// Guards against the part of an answer without a length that is taken for the whole, because
// the write of the request, and not the read, got the error of the connection.
func TestResetDuringUploadIsNoEndOfAnswer(t *testing.T) {
	for name, size := range map[string]int{"written before the read": maxSyncWriteBytes / 2, "written meanwhile": longUpload} {
		t.Run(name, func(t *testing.T) {
			e := rawservertest.StartEarly(t, func(c net.Conn, _ int64) { rawservertest.AnswerAndReset(c, unboundedHead+partOfAnswer) })
			p, upload := newPool(), make([]byte, size)
			whole := 0
			for range 300 {
				_, err := readUpload(t, p, e.Address, upload)
				if err == nil {
					whole++
				} else if !errors.Is(err, ErrConnectionBroken) || errors.Is(err, ErrNotSent) {
					t.Errorf("error %v", err)
				}
			}
			if whole > 0 {
				t.Errorf("%d answers were taken for whole ones", whole)
			}
			is.New(t).Equal(p.IdleConnections(), int64(0))
		})
	}
}

// Guards against the part of an answer without a length that is taken for the whole, because
// the operating system gave up the connection while the request was being written.
func TestTimeoutOfConnectionDuringUploadIsNoEndOfAnswer(t *testing.T) {
	is := is.New(t)
	e := rawservertest.StartEarly(t, func(c net.Conn, _ int64) {
		_, _ = io.WriteString(c, unboundedHead+partOfAnswer)
		<-t.Context().Done()
	})
	p := newPoolWith(netdial.NewDialFuncWithUserTimeout(time.Second, 300*time.Millisecond))
	_, err := readUpload(t, p, e.Address, make([]byte, blockedUpload))
	is.True(errors.Is(err, ErrConnectionBroken))
	is.Equal(p.IdleConnections(), int64(0))
}

// Guards against the loss of a whole answer that an endpoint gives before it has read the
// request, and against one that waits for the end of the upload.
func TestWholeAnswerDuringUploadIsKept(t *testing.T) {
	for name, afterAnswer := range map[string]func(c net.Conn){
		"closed":   func(c net.Conn) { _ = c.Close() },
		"reset":    func(c net.Conn) { _ = rawservertest.Reset(c) },
		"not read": func(net.Conn) { <-t.Context().Done() },
		"read":     func(c net.Conn) { _, _ = io.Copy(io.Discard, c) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e := rawservertest.StartEarly(t, func(c net.Conn, _ int64) {
				rawservertest.AnswerAndHalfClose(c, unboundedHead+"ok")
				afterAnswer(c)
			})
			p, upload := newPool(), make([]byte, blockedUpload)
			for range 100 {
				is := is.New(t)
				begun := time.Now()
				body, err := readUpload(t, p, e.Address, upload)
				is.NoErr(err)
				is.Equal(body, "ok")
				is.True(time.Since(begun) < writeTimeout/2) // no wait for a blocked write
			}
			is.New(t).Equal(p.IdleConnections(), int64(0))
		})
	}
}
