// Package logsink writes log lines from a background goroutine, so that logging
// never blocks on a slow reader of the log. Lines that exceed the rate limit or
// arrive while the queue is full are dropped and counted; a line in the log reports
// their number.
package logsink

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

const (
	// queueLines is the number of lines that can wait to be written.
	queueLines = 1024
	// maxLineBytes limits the length of a line. Longer lines are truncated.
	maxLineBytes = 4 << 10
	// linesPerSecond and burstLines limit the rate of lines. A busy instance logs
	// some tens of ended requests per second, and a failing one a few hundred.
	linesPerSecond = 300
	burstLines     = 600
	// reportInterval is the minimum time between two reports of dropped lines.
	reportInterval = 5 * time.Second
)

// Sink is an io.Writer that expects one whole line per call of Write. It is safe
// for concurrent use.
type Sink struct {
	lines   chan []byte
	limiter *rate.Limiter
	dropped atomic.Int64
	stop    chan struct{}
	done    chan struct{}
}

// New returns a Sink that writes to w until it is closed.
func New(w io.Writer) *Sink {
	s := &Sink{
		lines: make(chan []byte, queueLines), limiter: rate.NewLimiter(linesPerSecond, burstLines),
		stop: make(chan struct{}), done: make(chan struct{}),
	}
	go s.run(w)
	return s
}

// Write queues one line, or drops it. It never blocks and never fails.
func (s *Sink) Write(line []byte) (int, error) {
	n := len(line)
	if !s.limiter.Allow() {
		s.dropped.Add(1)
		return n, nil
	}
	if len(line) > maxLineBytes {
		line = append(line[:maxLineBytes:maxLineBytes], '\n')
	}
	select {
	case s.lines <- append([]byte(nil), line...):
	default:
		s.dropped.Add(1)
	}
	return n, nil
}

// Dropped returns the number of lines that were dropped.
func (s *Sink) Dropped() int64 { return s.dropped.Load() }

// Close writes the queued lines and stops the sink. It returns after timeout even
// if lines are left.
func (s *Sink) Close(timeout time.Duration) {
	close(s.stop)
	select {
	case <-s.done:
	case <-time.After(timeout):
	}
}

// run writes queued lines to w and reports dropped ones until the sink is closed.
func (s *Sink) run(w io.Writer) {
	defer close(s.done)
	var reported int64
	var lastReport time.Time
	for {
		select {
		case line := <-s.lines:
			_, _ = w.Write(line) // a failed write of the log can't be logged
		case <-s.stop:
			s.flush(w)
			return
		}
		if n := s.dropped.Load(); n > reported && time.Since(lastReport) > reportInterval {
			_, _ = fmt.Fprintf(w, "level=warn msg=\"log lines dropped\" since_last=%d total=%d\n", n-reported, n)
			reported, lastReport = n, time.Now()
		}
	}
}

// flush writes the lines that are queued now.
func (s *Sink) flush(w io.Writer) {
	for {
		select {
		case line := <-s.lines:
			_, _ = w.Write(line)
		default:
			return
		}
	}
}
