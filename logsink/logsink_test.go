package logsink

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// stalled is a reader of logs that takes nothing until it is released.
type stalled struct{ release chan struct{} }

func (s stalled) Write(p []byte) (int, error) {
	<-s.release
	return len(p), nil
}

// Guards against requests or control that wait for a log reader that stalls,
// and against memory that grows with it.
func TestStalledReaderHoldsUpNobody(t *testing.T) {
	is := is.New(t)
	out := stalled{release: make(chan struct{})}
	s := New(out)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 10 * queueLines {
			_, err := s.Write([]byte("a line\n"))
			is.NoErr(err)
		}
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("a writer waits for the reader")
	}
	is.True(s.Dropped() >= 9*queueLines)
	close(out.release)
	s.Close(time.Second)
}

// Guards against lines that are lost although they fit, or cut in two.
func TestLinesArriveWhole(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	s := New(&out)
	_, _ = s.Write([]byte("one\n"))
	_, _ = s.Write([]byte(strings.Repeat("x", 2*maxLine)))
	s.Close(time.Second)
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	is.Equal(len(lines), 2)
	is.Equal(lines[0], "one")
	is.Equal(len(lines[1]), maxLine)
	is.Equal(s.Dropped(), int64(0))
}
