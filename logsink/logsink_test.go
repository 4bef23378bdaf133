package logsink

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// stalledWriter blocks each write until release is closed.
type stalledWriter struct{ release chan struct{} }

func (s stalledWriter) Write(p []byte) (int, error) {
	<-s.release
	return len(p), nil
}

// Guards against log calls that block while the reader of the log stalls, and
// against a queue that grows without limit meanwhile.
func TestStalledReaderBlocksNoWriter(t *testing.T) {
	is := is.New(t)
	out := stalledWriter{release: make(chan struct{})}
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
		t.Fatal("Write blocked on the stalled reader")
	}
	is.True(s.Dropped() >= 9*queueLines)
	close(out.release)
	s.Close(time.Second)
}

// Guards against lines within the limits that are dropped or split, and against
// lines that are not truncated to maxLineBytes.
func TestLinesArriveWhole(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	s := New(&out)
	_, _ = s.Write([]byte("one\n"))
	_, _ = s.Write([]byte(strings.Repeat("x", 2*maxLineBytes)))
	s.Close(time.Second)
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	is.Equal(len(lines), 2)
	is.Equal(lines[0], "one")
	is.Equal(len(lines[1]), maxLineBytes)
	is.Equal(s.Dropped(), int64(0))
}
