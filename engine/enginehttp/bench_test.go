package enginehttp

import (
	"bytes"
	"context"
	"errors"
	"io"
	"iter"
	"net/http/httptest"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/tmaxmax/go-sse"

	"github.com/hyssophaven/hyssophaven/engine"
)

// endless is a backend that generates one event per pause, or as fast as its
// client reads.
type endless struct {
	engine.Client
	pause time.Duration
}

type endlessStream struct {
	r     engine.GenerateRequest
	pause time.Duration
	index int
}

func (e endless) Generate(_ context.Context, r engine.GenerateRequest) (engine.Stream, error) {
	return &endlessStream{r: r, pause: e.pause}, nil
}

func (s *endlessStream) Next() (engine.Chunk, error) {
	time.Sleep(s.pause)
	if s.index == s.r.MaxTokens {
		return engine.Chunk{}, io.EOF
	}
	c := engine.Chunk{RequestID: s.r.RequestID, Index: s.index, Text: " meadow", Tokens: 1}
	s.index++
	if s.index == s.r.MaxTokens {
		c.Final, c.FinishReason, c.CompletionTokens = true, "length", s.r.MaxTokens
	}
	return c, nil
}

func (s *endlessStream) Close() error { return nil }

func encodeAnswer(tb testing.TB, events int) []byte {
	tb.Helper()
	var b bytes.Buffer
	s := &endlessStream{r: engine.GenerateRequest{RequestID: "request-000000001", MaxTokens: events}}
	for {
		c, err := s.Next()
		if errors.Is(err, io.EOF) {
			return b.Bytes()
		}
		if err := writeChunk(&b, c); err != nil {
			tb.Fatal(err)
		}
	}
}

// Measures the decoding of one event without the network.
func BenchmarkStreamNext(b *testing.B) {
	data := encodeAnswer(b, b.N)
	ctx, cancel := context.WithCancel(b.Context())
	s := newStream(ctx, cancel, io.NopCloser(bytes.NewReader(data)), engine.GenerateRequest{RequestID: "request-000000001"})
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		if _, err := s.Next(); err != nil {
			b.Fatal(err)
		}
	}
}

// Compares the event reader with that of go-sse on the same bytes.
func BenchmarkReadEvents(b *testing.B) {
	b.Run("bufio", func(b *testing.B) {
		r := newEventReader(bytes.NewReader(encodeAnswer(b, b.N)))
		b.ReportAllocs()
		b.ResetTimer()
		for range b.N {
			if _, _, err := r.next(); err != nil {
				b.Fatal(err)
			}
		}
	})
	b.Run("go-sse", func(b *testing.B) {
		read := sse.Read(bytes.NewReader(encodeAnswer(b, b.N)), &sse.ReadConfig{MaxEventSize: maxEvent})
		next, stop := iter.Pull2(iter.Seq2[sse.Event, error](read))
		defer stop()
		b.ReportAllocs()
		b.ResetTimer()
		for range b.N {
			if _, err, ok := next(); err != nil || !ok {
				b.Fatal(err)
			}
		}
	})
}

func processorTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// readStream reads an answer to its end and returns the error that ended it.
func readStream(b *testing.B, c *Client, r engine.GenerateRequest) error {
	s, err := c.Generate(b.Context(), r)
	if err != nil {
		return err
	}
	defer func() { _ = s.Close() }()
	for err == nil {
		_, err = s.Next()
	}
	return err
}

// Measures events over loopback TCP, one flush per event, over 64 streams that
// are generated as fast as they are read. The processor time includes the
// engine's side, which encodes and writes the events.
func BenchmarkStreamOverLoopback(b *testing.B) {
	benchmarkStreams(b, 64, 0, func(c *Client, r engine.GenerateRequest) error { return readStream(b, c, r) })
}

// Measures 1,000 streams of 100 events/s, so that every event is a read of its
// own. The cost of the client is the difference between the two results.
func BenchmarkPacedStreams(b *testing.B) {
	b.Run("client", func(b *testing.B) {
		benchmarkStreams(b, 1000, 10*time.Millisecond, func(c *Client, r engine.GenerateRequest) error { return readStream(b, c, r) })
	})
	b.Run("bytes only", func(b *testing.B) {
		benchmarkStreams(b, 1000, 10*time.Millisecond, func(c *Client, r engine.GenerateRequest) error {
			res, err := c.send(b.Context(), "POST", pathGenerate, newGenerateMessage(r))
			if err != nil {
				return err
			}
			defer func() { _ = res.Body.Close() }()
			buffer := make([]byte, 4096)
			for err == nil {
				_, err = res.Body.Read(buffer)
			}
			return err
		})
	})
}

func benchmarkStreams(b *testing.B, streams int, pause time.Duration, run func(*Client, engine.GenerateRequest) error) {
	server := httptest.NewServer(NewHandler(endless{pause: pause}, ""))
	defer server.Close()
	c := NewClient(server.Listener.Addr().String(), Options{HTTP: NewHTTPClient(streams)})
	perStream := b.N/streams + 1
	b.ReportAllocs()
	b.ResetTimer()
	start := processorTime()
	var wg sync.WaitGroup
	for i := range streams {
		wg.Go(func() {
			err := run(c, engine.GenerateRequest{RequestID: strconv.Itoa(i), Model: "m", MaxTokens: perStream})
			if !errors.Is(err, io.EOF) {
				b.Error(err)
			}
		})
	}
	wg.Wait()
	b.ReportMetric(float64(processorTime()-start)/float64(perStream*streams), "cpu-ns/event")
}
