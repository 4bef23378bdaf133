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

// instantControl grants at once and costs next to nothing.
type instantControl struct {
	fakeControl
	snap control.Snapshot
}

func (c *instantControl) Admit(context.Context, admission.Request) (admission.Grant, error) {
	return admission.Grant{Endpoint: fleet.Endpoint{ID: "e"}}, nil
}
func (c *instantControl) Finish(admission.Outcome)    {}
func (c *instantControl) Snapshot() *control.Snapshot { return &c.snap }

// paced is a stream whose chunks after the first arrive when gate says so; a
// nil gate means at once.
type paced struct {
	r        engine.GenerateRequest
	next, n  int
	gate     <-chan struct{}
	ctx      context.Context
	buffered bool
}

func (s *paced) Next() (engine.Chunk, error) {
	if s.next == s.n {
		return engine.Chunk{}, io.EOF
	}
	if s.gate != nil && s.next > 0 {
		select {
		case <-s.gate:
		case <-s.ctx.Done():
			return engine.Chunk{}, s.ctx.Err()
		}
	}
	c := engine.Chunk{RequestID: s.r.RequestID, Index: s.next, Text: " token", Tokens: 1}
	if s.next++; s.next == s.n {
		c.Final, c.FinishReason = true, "stop"
	}
	return c, nil
}
func (s *paced) Close() error   { return nil }
func (s *paced) Buffered() bool { return s.buffered }

// benchGateway starts a gateway whose engine gives n chunks per answer.
func benchGateway(b *testing.B, n int, buffered bool, gate <-chan struct{}) *Gateway {
	b.Helper()
	e := &fakeEngine{generate: func(ctx context.Context, r engine.GenerateRequest) (engine.Stream, error) {
		return &paced{r: r, n: n, gate: gate, ctx: ctx, buffered: buffered}, nil
	}}
	g, err := New(Config{Address: "127.0.0.1:0", Table: &fakeStore{}, Objects: &fakeStore{}, Engine: func(fleet.Endpoint) engine.Client { return e }})
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

// rawCaller is a caller that costs little: it writes a prepared request and
// reads the answer through one buffer.
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

// receive reads one answer with a known length.
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

// processorTime returns the processor time that the process has used, which
// includes the callers of a benchmark.
func processorTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

const wholeBody = `{"model":"drafts","messages":[{"role":"system","content":"You answer growers briefly."},{"role":"user","content":"When is the next free slot for a visit?"}]}`

// BenchmarkWholeAnswer measures a request without a stream over one
// connection, with 20 chunks from the engine.
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

// BenchmarkHandlerOnly measures the gateway's part of a request without sockets.
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

// BenchmarkStreamEvents measures relayed token events over loopback: one write
// for each event, and with several events waiting at once.
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

// BenchmarkPacedStreams measures 100,000 events/s spread over 3,000 streams,
// as in service: an event rarely finds another one waiting.
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

// BenchmarkIdleStreams measures the memory of streams that wait for their
// next token, including the caller's end of the connection.
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

// BenchmarkLatencyAt1000 sends 1,000 requests/s, open loop, and reports the
// time that the gateway adds: the engine answers at once.
func BenchmarkLatencyAt1000(b *testing.B) {
	const callers = 64
	g := benchGateway(b, 1, false, nil)
	free := make(chan *rawCaller, callers)
	for range callers {
		free <- newRawCaller(b, g, wholeBody)
	}
	var mu sync.Mutex
	var times []time.Duration
	var wg sync.WaitGroup
	var late atomic.Int64
	begun, sent := time.Now(), 0
	for b.Loop() {
		due := begun.Add(time.Duration(sent) * time.Millisecond)
		time.Sleep(time.Until(due))
		sent++
		select {
		case c := <-free:
			wg.Go(func() {
				start := time.Now()
				c.send(b)
				c.receive(b)
				took := time.Since(start)
				free <- c
				mu.Lock()
				times = append(times, took)
				mu.Unlock()
			})
		default:
			late.Add(1)
		}
	}
	wg.Wait()
	slices.Sort(times)
	b.ReportMetric(float64(times[len(times)/2].Microseconds()), "p50-µs")
	b.ReportMetric(float64(times[len(times)*99/100].Microseconds()), "p99-µs")
	b.ReportMetric(float64(late.Load()), "not-sent")
}
