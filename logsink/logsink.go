// Package logsink writes log lines in the background, so that nobody who logs
// waits for the reader of the log. Lines beyond a rate, or beyond what fits in
// memory while the reader stalls, are dropped, counted and reported.
package logsink

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

const (
	// queueLines bounds the lines that wait for the reader.
	queueLines = 1024
	// maxLine bounds one line; a longer one is cut.
	maxLine = 4 << 10
	// linesPerSecond and burstLines bound the volume. A busy instance ends some
	// tens of requests a second, and a failing one a few hundred.
	linesPerSecond = 300
	burstLines     = 600
	// reportEvery is the shortest time between two reports of dropped lines.
	reportEvery = 5 * time.Second
)

// Sink is an io.Writer for whole lines. It is safe for concurrent use.
type Sink struct {
	lines   chan []byte
	limiter *rate.Limiter
	dropped atomic.Int64
	stop    chan struct{}
	ended   chan struct{}
}

// New returns a sink that writes to w until Close.
func New(w io.Writer) *Sink {
	s := &Sink{
		lines: make(chan []byte, queueLines), limiter: rate.NewLimiter(linesPerSecond, burstLines),
		stop: make(chan struct{}), ended: make(chan struct{}),
	}
	go s.run(w)
	return s
}

// Write queues one line. It never waits and never fails.
func (s *Sink) Write(line []byte) (int, error) {
	n := len(line)
	if !s.limiter.Allow() {
		s.dropped.Add(1)
		return n, nil
	}
	if len(line) > maxLine {
		line = append(line[:maxLine:maxLine], '\n')
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

// Close writes the lines that wait, for as long as timeout at most.
func (s *Sink) Close(timeout time.Duration) {
	close(s.stop)
	select {
	case <-s.ended:
	case <-time.After(timeout):
	}
}

func (s *Sink) run(w io.Writer) {
	defer close(s.ended)
	var reported int64
	var at time.Time
	for {
		select {
		case line := <-s.lines:
			_, _ = w.Write(line) // there is no other place to report it
		case <-s.stop:
			s.flush(w)
			return
		}
		if n := s.dropped.Load(); n > reported && time.Since(at) > reportEvery {
			_, _ = fmt.Fprintf(w, "level=warn msg=\"log lines dropped\" since_last=%d total=%d\n", n-reported, n)
			reported, at = n, time.Now()
		}
	}
}

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
