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

// pacedBackend generates one chunk per pause, or as fast as the client reads if
// pause is 0, up to the MaxTokens of the request.
type pacedBackend struct {
	engine.Client
	pause time.Duration
}

type pacedStream struct {
	r     engine.GenerateRequest
	pause time.Duration
	index int
}

func (e pacedBackend) Generate(_ context.Context, r engine.GenerateRequest) (engine.Stream, error) {
	return &pacedStream{r: r, pause: e.pause}, nil
}

func (s *pacedStream) Next() (engine.Chunk, error) {
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

func (s *pacedStream) Close() error { return nil }

func encodeAnswer(tb testing.TB, events int) []byte {
	tb.Helper()
	var b bytes.Buffer
	s := &pacedStream{r: engine.GenerateRequest{RequestID: "request-000000001", MaxTokens: events}}
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

// Measures the decoding of an event without the network.
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

// Compares eventReader with the reader of go-sse on the same bytes.
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
		read := sse.Read(bytes.NewReader(encodeAnswer(b, b.N)), &sse.ReadConfig{MaxEventSize: maxEventBytes})
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

func cpuTime() time.Duration {
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

// Measures the CPU time per event of 64 streams over loopback TCP that are
// generated as fast as they are read, with one flush per event. The time includes
// the engine's side, which encodes and writes the events.
func BenchmarkStreamOverLoopback(b *testing.B) {
	benchmarkStreams(b, 64, 0, func(c *Client, r engine.GenerateRequest) error { return readStream(b, c, r) })
}

// Measures the CPU time per event of 1,000 streams of 100 events/s, a rate at
// which each event arrives in a read of its own. "client" decodes the events and
// "bytes only" discards them, so the difference is the cost of the client.
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
	server := httptest.NewServer(NewHandler(pacedBackend{pause: pause}, ""))
	defer server.Close()
	c := NewClient(server.Listener.Addr().String(), Options{HTTP: NewHTTPClient(streams)})
	perStream := b.N/streams + 1
	b.ReportAllocs()
	b.ResetTimer()
	start := cpuTime()
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
	b.ReportMetric(float64(cpuTime()-start)/float64(perStream*streams), "cpu-ns/event")
}
