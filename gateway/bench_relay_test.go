package gateway

import (
	"fmt"
	"io"
	"net"
	"slices"
	"sync"
	"testing"
	"time"
)

// The benchmarks in this file measure a gateway in a separate process on two cores,
// which reaches the engine over loopback. The engine stand-in and the callers run in
// the benchmark's process. Admission grants immediately.

const (
	urgentBody = `{"model":"slots","max_tokens":256,"messages":[{"role":"user","content":"When is the next free slot for a visit?"}]}`
	relayBody  = `{"model":"base","max_tokens":256,"stream":true,"messages":[{"role":"user","content":"when?"}]}`
	directBody = `{"request_id":"r","model":"base","version":"v1","prompt":"When is the next free slot for a visit?","max_tokens":256,"priority":"urgent"}`
)

// openLoopLoad sends requests in an open loop over a fixed set of connections and
// records their latencies.
type openLoopLoad struct {
	idleCallers chan *rawCaller
	readAnswer  func(*rawCaller, *testing.B)
	wg          sync.WaitGroup
	mu          sync.Mutex
	latencies   []time.Duration
	notSent     int // requests dropped because no connection was free
}

func newOpenLoopLoad(b *testing.B, address, path, body string, read func(*rawCaller, *testing.B)) *openLoopLoad {
	const callers = 64
	l := &openLoopLoad{idleCallers: make(chan *rawCaller, callers), readAnswer: read}
	for range callers {
		c := dialRaw(b, address, path, body)
		c.send(b) // makes the gateway open its connections to the engine
		l.idleCallers <- c
	}
	for range callers {
		c := <-l.idleCallers
		read(c, b)
		l.idleCallers <- c
	}
	return l
}

func (l *openLoopLoad) send(b *testing.B) {
	var c *rawCaller
	select {
	case c = <-l.idleCallers:
	default:
		l.notSent++
		return
	}
	l.wg.Go(func() {
		start := time.Now()
		c.send(b)
		l.readAnswer(c, b)
		took := time.Since(start)
		l.idleCallers <- c
		l.mu.Lock()
		l.latencies = append(l.latencies, took)
		l.mu.Unlock()
	})
}

// quantile returns the q-quantile of the latencies in microseconds.
func (l *openLoopLoad) quantile(q float64) float64 {
	slices.Sort(l.latencies)
	return float64(l.latencies[int(q*float64(len(l.latencies)-1))].Nanoseconds()) / 1000
}

// BenchmarkAddedLatency sends 1,000 requests/s through the gateway and, offset by
// half a period, 1,000 requests/s directly to the engine. It reports both latencies
// and the gateway's CPU time per request. In "bytes only", a process that only
// copies bytes replaces the gateway.
func BenchmarkAddedLatency(b *testing.B) {
	b.Run("gateway", func(b *testing.B) {
		benchmarkAddedLatency(b, "/v1/chat/completions", urgentBody, (*rawCaller).receive)
	})
	b.Run("bytes only", func(b *testing.B) {
		benchmarkAddedLatency(b, "/generate", directBody, (*rawCaller).receiveStream, benchCopyEnv+"=1")
	})
}

func benchmarkAddedLatency(b *testing.B, path, body string, read func(*rawCaller, *testing.B), env ...string) {
	p := startBenchProcess(b, 1, nil, env...)
	viaGateway := newOpenLoopLoad(b, p.gatewayAddress, path, body, read)
	direct := newOpenLoopLoad(b, p.engineAddress, "/generate", directBody, (*rawCaller).receiveStream)
	before, _ := p.usage()
	begun, sent := time.Now(), 0
	for b.Loop() {
		due := begun.Add(time.Duration(sent) * time.Millisecond)
		time.Sleep(time.Until(due))
		viaGateway.send(b)
		time.Sleep(time.Until(due.Add(time.Millisecond / 2)))
		direct.send(b)
		sent++
	}
	viaGateway.wg.Wait()
	direct.wg.Wait()
	after, _ := p.usage()
	for name, q := range map[string]float64{"p50": 0.50, "p99": 0.99} {
		b.ReportMetric(viaGateway.quantile(q), name+"-µs")
		b.ReportMetric(direct.quantile(q), name+"-direct-µs")
		b.ReportMetric(viaGateway.quantile(q)-direct.quantile(q), name+"-added-µs")
	}
	b.ReportMetric(float64((after-before).Nanoseconds())/1000/float64(len(viaGateway.latencies)), "cpu-µs/request")
	b.ReportMetric(float64(viaGateway.notSent+direct.notSent), "not-sent")
}

// BenchmarkRelayedEvents measures streams that the engine sends as fast as they are
// read.
func BenchmarkRelayedEvents(b *testing.B) {
	const streams, events = 64, 500
	p := startBenchProcess(b, events, nil)
	callers := make([]*rawCaller, streams)
	for i := range callers {
		callers[i] = dialRaw(b, p.gatewayAddress, "/v1/chat/completions", relayBody)
	}
	before, _ := p.usage()
	begun := time.Now()
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
	took := time.Since(begun)
	after, _ := p.usage()
	total := float64(b.N * streams * events)
	b.ReportMetric(float64((after-before).Nanoseconds())/total, "cpu-ns/event")
	b.ReportMetric(total/took.Seconds(), "events/s")
}

// BenchmarkRelayedPacedEvents measures 1,000 streams with 30,000 events/s in total,
// so that an event is rarely written together with another one. In "bytes only", a
// process that only copies bytes replaces the gateway; the difference between the
// two results is the cost of the gateway's own work.
func BenchmarkRelayedPacedEvents(b *testing.B) {
	b.Run("gateway", func(b *testing.B) {
		benchmarkPaced(b, "/v1/chat/completions", relayBody)
	})
	b.Run("bytes only", func(b *testing.B) {
		benchmarkPaced(b, "/generate", directBody, benchCopyEnv+"=1")
	})
}

func benchmarkPaced(b *testing.B, path, body string, env ...string) {
	const streams, rate, batch = 1000, 30_000, 100
	gate := make(chan struct{}, 4096)
	p := startBenchProcess(b, 1<<30, gate, env...)
	for range streams {
		c := dialRaw(b, p.gatewayAddress, path, body)
		c.send(b)
		if _, err := c.in.ReadByte(); err != nil {
			b.Fatal(err)
		}
		go func() { _, _ = io.Copy(io.Discard, c.in) }()
	}
	before, _ := p.usage()
	begun, sent := time.Now(), 0
	for b.Loop() {
		time.Sleep(time.Until(begun.Add(time.Duration(sent) * time.Second / rate)))
		for range batch {
			gate <- struct{}{}
		}
		sent += batch
	}
	took := time.Since(begun)
	after, _ := p.usage()
	b.ReportMetric(float64((after-before).Nanoseconds())/float64(sent), "cpu-ns/event")
	b.ReportMetric(float64(sent)/took.Seconds(), "events/s")
}

// BenchmarkRelayedIdleStreams measures the gateway's memory for each stream that
// waits for its next token.
func BenchmarkRelayedIdleStreams(b *testing.B) {
	const streams = 2000
	for b.Loop() {
		p := startBenchProcess(b, 1<<30, make(chan struct{}))
		_, before := p.usage()
		for range streams {
			c := dialRaw(b, p.gatewayAddress, "/v1/chat/completions", relayBody)
			c.send(b)
			if _, err := c.in.ReadByte(); err != nil {
				b.Fatal(err)
			}
		}
		_, after := p.usage()
		b.ReportMetric(float64(after-before)/streams, "bytes/stream")
	}
}

// BenchmarkUrgentBesideConnections sends 1,000 urgent requests/s, first alone, then
// together with 5,000 idle connections and 200 callers that send one byte of their
// body every 50 ms.
func BenchmarkUrgentBesideConnections(b *testing.B) {
	for _, crowded := range []bool{false, true} {
		b.Run(map[bool]string{false: "alone", true: "crowded"}[crowded], func(b *testing.B) {
			p := startBenchProcess(b, 1, nil)
			if crowded {
				openIdle(b, p.gatewayAddress, 5000)
				openSlowWriters(b, p.gatewayAddress, 200)
			}
			urgent := newOpenLoopLoad(b, p.gatewayAddress, "/v1/chat/completions", urgentBody, (*rawCaller).receive)
			begun, sent := time.Now(), 0
			for b.Loop() {
				time.Sleep(time.Until(begun.Add(time.Duration(sent) * time.Millisecond)))
				urgent.send(b)
				sent++
			}
			urgent.wg.Wait()
			b.ReportMetric(urgent.quantile(0.50), "p50-µs")
			b.ReportMetric(urgent.quantile(0.99), "p99-µs")
			b.ReportMetric(float64(urgent.notSent), "not-sent")
		})
	}
}

// openIdle opens n connections that stay idle after a first answer. Without that
// answer, the header timeout would close them.
func openIdle(b *testing.B, address string, n int) {
	for range n {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			b.Fatal(err)
		}
		b.Cleanup(func() { _ = conn.Close() })
		_, _ = io.WriteString(conn, "GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n")
		if _, err := conn.Read(make([]byte, 512)); err != nil {
			b.Fatal(err)
		}
	}
}

// openSlowWriters opens n connections that send one byte of a body every 50 ms.
func openSlowWriters(b *testing.B, address string, n int) {
	for range n {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			b.Fatal(err)
		}
		b.Cleanup(func() { _ = conn.Close() })
		_, _ = fmt.Fprint(conn, "POST /v1/completions HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\n")
		go func() {
			for {
				if _, err := conn.Write([]byte(" ")); err != nil {
					return
				}
				time.Sleep(50 * time.Millisecond)
			}
		}()
	}
}

// BenchmarkRelayedRequests sends unstreamed requests in a closed loop over 64
// connections, so that the gateway is never idle.
func BenchmarkRelayedRequests(b *testing.B) {
	const callers, each = 64, 50
	p := startBenchProcess(b, 1, nil)
	l := newOpenLoopLoad(b, p.gatewayAddress, "/v1/chat/completions", urgentBody, (*rawCaller).receive)
	before, _ := p.usage()
	begun := time.Now()
	for b.Loop() {
		var wg sync.WaitGroup
		for range callers {
			wg.Go(func() {
				c := <-l.idleCallers
				for range each {
					c.send(b)
					c.receive(b)
				}
				l.idleCallers <- c
			})
		}
		wg.Wait()
	}
	took := time.Since(begun)
	after, _ := p.usage()
	total := float64(b.N * callers * each)
	b.ReportMetric(float64((after-before).Nanoseconds())/1000/total, "cpu-µs/request")
	b.ReportMetric(total/took.Seconds(), "requests/s")
}
