package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/hyssophaven/hyssophaven/admission"
	"github.com/hyssophaven/hyssophaven/control"
	"github.com/hyssophaven/hyssophaven/engine"
	"github.com/hyssophaven/hyssophaven/fleet"
	"github.com/hyssophaven/hyssophaven/kernel"
	"github.com/hyssophaven/hyssophaven/table"
)

// instantControl grants immediately at negligible cost.
type instantControl struct {
	fakeControl
	snap control.Snapshot
}

func (c *instantControl) Admit(context.Context, admission.Request) (admission.Grant, error) {
	return admission.Grant{Endpoint: fleet.Endpoint{ID: "e"}}, nil
}
func (c *instantControl) Finish(admission.Outcome)    {}
func (c *instantControl) Snapshot() *control.Snapshot { return &c.snap }

// gatedStream is a stream with a fixed number of chunks. Each chunk after the first
// waits for a receive from gate; if gate is nil, all chunks are available immediately.
type gatedStream struct {
	request           engine.GenerateRequest
	nextIndex, chunks int
	gate              <-chan struct{}
	ctx               context.Context
	buffered          bool
}

func (s *gatedStream) Next() (engine.Chunk, error) {
	if s.nextIndex == s.chunks {
		return engine.Chunk{}, io.EOF
	}
	if s.gate != nil && s.nextIndex > 0 {
		select {
		case <-s.gate:
		case <-s.ctx.Done():
			return engine.Chunk{}, s.ctx.Err()
		}
	}
	c := engine.Chunk{RequestID: s.request.RequestID, Index: s.nextIndex, Text: " token", Tokens: 1}
	if s.nextIndex++; s.nextIndex == s.chunks {
		c.Final, c.FinishReason = true, "stop"
	}
	return c, nil
}
func (s *gatedStream) Close() error   { return nil }
func (s *gatedStream) Buffered() bool { return s.buffered }

// benchGateway starts a gateway whose engine answers with n chunks.
func benchGateway(b *testing.B, n int, buffered bool, gate <-chan struct{}) *Gateway {
	b.Helper()
	e := &fakeEngine{generate: func(ctx context.Context, r engine.GenerateRequest) (engine.Stream, error) {
		return &gatedStream{request: r, chunks: n, gate: gate, ctx: ctx, buffered: buffered}, nil
	}}
	g, err := New(Config{Address: "127.0.0.1:0", Table: &fakeStore{}, Objects: &fakeStore{}, EngineClient: func(fleet.Endpoint) engine.Client { return e }})
	if err != nil {
		b.Fatal(err)
	}
	k, err := kernel.New()
	if err != nil {
		b.Fatal(err)
	}
	k.Register(&instantControl{snap: control.Snapshot{Table: table.NewSnapshot(1, testTable), Ready: true}})
	k.Register(g)
	if err := k.Start(b.Context()); err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = k.Stop(context.Background()) })
	return g
}

// rawCaller is a caller with little overhead. It writes a prepared request and
// parses only the end of the answer.
type rawCaller struct {
	conn net.Conn
	in   *bufio.Reader
	out  []byte
}

func newRawCaller(b *testing.B, g *Gateway, body string) *rawCaller {
	b.Helper()
	return dialRaw(b, g.Addr().String(), "/v1/chat/completions", body)
}

func dialRaw(b *testing.B, address, path, body string) *rawCaller {
	b.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = conn.Close() })
	out := fmt.Appendf(nil, "POST %s HTTP/1.1\r\nHost: h\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", path, len(body), body)
	return &rawCaller{conn: conn, in: bufio.NewReaderSize(conn, 64<<10), out: out}
}

func (c *rawCaller) send(b *testing.B) {
	if _, err := c.conn.Write(c.out); err != nil {
		b.Error(err)
	}
}

// receive reads one answer with a Content-Length.
func (c *rawCaller) receive(b *testing.B) {
	length := 0
	for {
		line, err := c.in.ReadSlice('\n')
		if err != nil {
			b.Error(err)
			return
		}
		if v, ok := strings.CutPrefix(string(line), "Content-Length: "); ok {
			length, _ = strconv.Atoi(strings.TrimSpace(v))
		}
		if len(line) == 2 {
			break
		}
	}
	if _, err := c.in.Discard(length); err != nil {
		b.Error(err)
	}
}

// receiveStream reads a chunked answer to its end.
func (c *rawCaller) receiveStream(b *testing.B) {
	for {
		line, err := c.in.ReadSlice('\n')
		if err != nil {
			b.Error(err)
			return
		}
		if string(line) == "0\r\n" {
			if _, err := c.in.Discard(2); err != nil {
				b.Error(err)
			}
			return
		}
	}
}

// processorTime returns the CPU time used by this process, including that of the
// benchmark's callers.
func processorTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

const wholeBody = `{"model":"drafts","messages":[{"role":"system","content":"You answer growers briefly."},{"role":"user","content":"When is the next free slot for a visit?"}]}`

// BenchmarkWholeAnswer measures unstreamed requests over one connection. The engine
// answers with 20 chunks.
func BenchmarkWholeAnswer(b *testing.B) {
	g := benchGateway(b, 20, false, nil)
	c := newRawCaller(b, g, wholeBody)
	b.ReportAllocs()
	start := processorTime()
	for b.Loop() {
		c.send(b)
		c.receive(b)
	}
	b.ReportMetric(float64((processorTime()-start).Microseconds())/float64(b.N), "cpu-µs/op")
}

// BenchmarkHandlerOnly measures the gateway's handler without sockets.
func BenchmarkHandlerOnly(b *testing.B) {
	g := benchGateway(b, 20, false, nil)
	b.ReportAllocs()
	for b.Loop() {
		r, _ := http.NewRequest("POST", "/v1/chat/completions", strings.NewReader(wholeBody))
		g.ServeHTTP(&discardWriter{h: http.Header{}}, r)
	}
}

type discardWriter struct{ h http.Header }

func (w *discardWriter) Header() http.Header         { return w.h }
func (w *discardWriter) Write(p []byte) (int, error) { return len(p), nil }
func (w *discardWriter) WriteHeader(int)             {}

// BenchmarkStreamEvents measures relayed token events over loopback, with one write
// per event and with buffered events that are written together.
func BenchmarkStreamEvents(b *testing.B) {
	for _, buffered := range []bool{false, true} {
		name := "one-by-one"
		if buffered {
			name = "waiting-together"
		}
		b.Run(name, func(b *testing.B) {
			const streams, events = 64, 500
			g := benchGateway(b, events, buffered, nil)
			callers := make([]*rawCaller, streams)
			for i := range callers {
				callers[i] = newRawCaller(b, g, streamBody)
			}
			start, begun := processorTime(), time.Now()
			for b.Loop() {
				var wg sync.WaitGroup
				for _, c := range callers {
					wg.Go(func() {
						c.send(b)
						c.receiveStream(b)
					})
				}
				wg.Wait()
			}
			total := float64(b.N * streams * events)
			b.ReportMetric(float64((processorTime()-start).Nanoseconds())/total, "cpu-ns/event")
			b.ReportMetric(total/time.Since(begun).Seconds(), "events/s")
		})
	}
}

// BenchmarkPacedStreams measures 100,000 events/s over 3,000 streams. As in
// production, an event is rarely written together with another one.
func BenchmarkPacedStreams(b *testing.B) {
	const streams, rate = 3000, 100_000
	gate := make(chan struct{}, 4096)
	g := benchGateway(b, 1<<30, false, gate)
	for range streams {
		c := newRawCaller(b, g, streamBody)
		c.send(b)
		go func() { _, _ = io.Copy(io.Discard, c.conn) }()
	}
	start, begun, sent := processorTime(), time.Now(), 0
	for b.Loop() {
		due := begun.Add(time.Duration(sent) * time.Second / rate)
		if d := time.Until(due); d > 0 {
			time.Sleep(d)
		}
		for range 1000 {
			gate <- struct{}{}
		}
		sent += 1000
	}
	b.ReportMetric(float64((processorTime()-start).Nanoseconds())/float64(sent), "cpu-ns/event")
	b.ReportMetric(float64(sent)/time.Since(begun).Seconds(), "events/s")
	_ = g.server.Close()
}

// BenchmarkIdleStreams measures the memory of streams that wait for their next
// token, including the caller's side of the connection.
func BenchmarkIdleStreams(b *testing.B) {
	const streams = 2000
	for b.Loop() {
		gate := make(chan struct{})
		g := benchGateway(b, 1<<30, false, gate)
		before := memoryInUse()
		conns := make([]net.Conn, streams)
		for i := range conns {
			c := newRawCaller(b, g, streamBody)
			c.in = nil
			c.send(b)
			conns[i] = c.conn
		}
		for _, c := range conns {
			if _, err := c.Read(make([]byte, 1)); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric(float64(memoryInUse()-before)/streams, "bytes/stream")
		_ = g.server.Close()
	}
}

func memoryInUse() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}

// BenchmarkLatencyAt1000 sends 1,000 requests/s in an open loop. The engine answers
// immediately, so the reported latency is the gateway's.
func BenchmarkLatencyAt1000(b *testing.B) {
	const callers = 64
	g := benchGateway(b, 1, false, nil)
	idleCallers := make(chan *rawCaller, callers)
	for range callers {
		idleCallers <- newRawCaller(b, g, wholeBody)
	}
	var mu sync.Mutex
	var latencies []time.Duration
	var wg sync.WaitGroup
	var notSent atomic.Int64
	begun, sent := time.Now(), 0
	for b.Loop() {
		due := begun.Add(time.Duration(sent) * time.Millisecond)
		time.Sleep(time.Until(due))
		sent++
		select {
		case c := <-idleCallers:
			wg.Go(func() {
				start := time.Now()
				c.send(b)
				c.receive(b)
				took := time.Since(start)
				idleCallers <- c
				mu.Lock()
				latencies = append(latencies, took)
				mu.Unlock()
			})
		default:
			notSent.Add(1)
		}
	}
	wg.Wait()
	slices.Sort(latencies)
	b.ReportMetric(float64(latencies[len(latencies)/2].Microseconds()), "p50-µs")
	b.ReportMetric(float64(latencies[len(latencies)*99/100].Microseconds()), "p99-µs")
	b.ReportMetric(float64(notSent.Load()), "not-sent")
}
