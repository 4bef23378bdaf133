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

// The benchmarks of this file measure a gateway in a process of its own on two
// cores, with the engine client over loopback. The engine stand-in and the
// callers are in the process of the benchmark. Admission grants at once.

const (
	urgentBody = `{"model":"slots","max_tokens":256,"messages":[{"role":"user","content":"When is the next free slot for a visit?"}]}`
	relayBody  = `{"model":"base","max_tokens":256,"stream":true,"messages":[{"role":"user","content":"when?"}]}`
	directBody = `{"request_id":"r","model":"base","version":"v1","prompt":"When is the next free slot for a visit?","max_tokens":256,"priority":"urgent"}`
)

// loadRun sends requests at a fixed rate, open loop, over a fixed set of
// connections.
type loadRun struct {
	free  chan *rawCaller
	read  func(*rawCaller, *testing.B)
	wg    sync.WaitGroup
	mu    sync.Mutex
	times []time.Duration
	late  int // requests that found no free connection
}

func newLoadRun(b *testing.B, address, path, body string, read func(*rawCaller, *testing.B)) *loadRun {
	const callers = 64
	l := &loadRun{free: make(chan *rawCaller, callers), read: read}
	for range callers {
		c := dialRaw(b, address, path, body)
		c.send(b) // opens the gateway's connections to the engine
		l.free <- c
	}
	for range callers {
		c := <-l.free
		read(c, b)
		l.free <- c
	}
	return l
}

func (l *loadRun) send(b *testing.B) {
	var c *rawCaller
	select {
	case c = <-l.free:
	default:
		l.late++
		return
	}
	l.wg.Go(func() {
		start := time.Now()
		c.send(b)
		l.read(c, b)
		took := time.Since(start)
		l.free <- c
		l.mu.Lock()
		l.times = append(l.times, took)
		l.mu.Unlock()
	})
}

// quantile returns the quantile of all times in microseconds.
func (l *loadRun) quantile(q float64) float64 {
	slices.Sort(l.times)
	return float64(l.times[int(q*float64(len(l.times)-1))].Nanoseconds()) / 1000
}

// BenchmarkAddedLatency sends 1,000 requests/s through the gateway and, half a
// period apart, 1,000 requests/s to the engine, and reports both latencies and
// the gateway's processor time per request. "bytes only" has a process that
// copies bytes in place of the gateway.
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
	through := newLoadRun(b, p.gateway, path, body, read)
	direct := newLoadRun(b, p.engine, "/generate", directBody, (*rawCaller).receiveStream)
	before, _ := p.usage()
	begun, sent := time.Now(), 0
	for b.Loop() {
		due := begun.Add(time.Duration(sent) * time.Millisecond)
		time.Sleep(time.Until(due))
		through.send(b)
		time.Sleep(time.Until(due.Add(time.Millisecond / 2)))
		direct.send(b)
		sent++
	}
	through.wg.Wait()
	direct.wg.Wait()
	after, _ := p.usage()
	for name, q := range map[string]float64{"p50": 0.50, "p99": 0.99} {
		b.ReportMetric(through.quantile(q), name+"-µs")
		b.ReportMetric(direct.quantile(q), name+"-direct-µs")
		b.ReportMetric(through.quantile(q)-direct.quantile(q), name+"-added-µs")
	}
	b.ReportMetric(float64((after-before).Nanoseconds())/1000/float64(len(through.times)), "cpu-µs/request")
	b.ReportMetric(float64(through.late+direct.late), "not-sent")
}

// BenchmarkRelayedEvents relays streams that the engine sends as fast as they
// are read.
func BenchmarkRelayedEvents(b *testing.B) {
	const streams, events = 64, 500
	p := startBenchProcess(b, events, nil)
	callers := make([]*rawCaller, streams)
	for i := range callers {
		callers[i] = dialRaw(b, p.gateway, "/v1/chat/completions", relayBody)
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

// BenchmarkRelayedPacedEvents relays 1,000 streams at 30,000 events/s in all,
// so that an event rarely finds another one waiting. The cost of the gateway's
// own work is the difference between the two results.
func BenchmarkRelayedPacedEvents(b *testing.B) {
	b.Run("gateway", func(b *testing.B) {
		benchmarkPaced(b, "/v1/chat/completions", relayBody)
	})
	b.Run("bytes only", func(b *testing.B) {
		benchmarkPaced(b, "/generate", directBody, benchCopyEnv+"=1")
	})
}

func benchmarkPaced(b *testing.B, path, body string, env ...string) {
	const streams, rate, step = 1000, 30_000, 100
	gate := make(chan struct{}, 4096)
	p := startBenchProcess(b, 1<<30, gate, env...)
	for range streams {
		c := dialRaw(b, p.gateway, path, body)
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
		for range step {
			gate <- struct{}{}
		}
		sent += step
	}
	took := time.Since(begun)
	after, _ := p.usage()
	b.ReportMetric(float64((after-before).Nanoseconds())/float64(sent), "cpu-ns/event")
	b.ReportMetric(float64(sent)/took.Seconds(), "events/s")
}

// BenchmarkRelayedIdleStreams measures the gateway's memory per stream that
// waits for its next token.
func BenchmarkRelayedIdleStreams(b *testing.B) {
	const streams = 2000
	for b.Loop() {
		p := startBenchProcess(b, 1<<30, make(chan struct{}))
		_, before := p.usage()
		for range streams {
			c := dialRaw(b, p.gateway, "/v1/chat/completions", relayBody)
			c.send(b)
			if _, err := c.in.ReadByte(); err != nil {
				b.Fatal(err)
			}
		}
		_, after := p.usage()
		b.ReportMetric(float64(after-before)/streams, "bytes/stream")
	}
}

// BenchmarkUrgentBesideConnections sends 1,000 urgent requests/s, alone and
// beside 5,000 idle connections and 200 callers that send one byte of their
// body every 50 ms.
func BenchmarkUrgentBesideConnections(b *testing.B) {
	for _, crowd := range []bool{false, true} {
		b.Run(map[bool]string{false: "alone", true: "crowded"}[crowd], func(b *testing.B) {
			p := startBenchProcess(b, 1, nil)
			if crowd {
				openIdle(b, p.gateway, 5000)
				openSlowWriters(b, p.gateway, 200)
			}
			urgent := newLoadRun(b, p.gateway, "/v1/chat/completions", urgentBody, (*rawCaller).receive)
			begun, sent := time.Now(), 0
			for b.Loop() {
				time.Sleep(time.Until(begun.Add(time.Duration(sent) * time.Millisecond)))
				urgent.send(b)
				sent++
			}
			urgent.wg.Wait()
			b.ReportMetric(urgent.quantile(0.50), "p50-µs")
			b.ReportMetric(urgent.quantile(0.99), "p99-µs")
			b.ReportMetric(float64(urgent.late), "not-sent")
		})
	}
}

// openIdle opens connections that wait after a first answer. Without one, the
// header timeout would end them.
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

// BenchmarkRelayedRequests sends plain requests over 64 connections, each as
// soon as the last one is answered, so that the gateway is never idle.
func BenchmarkRelayedRequests(b *testing.B) {
	const callers, each = 64, 50
	p := startBenchProcess(b, 1, nil)
	l := newLoadRun(b, p.gateway, "/v1/chat/completions", urgentBody, (*rawCaller).receive)
	before, _ := p.usage()
	begun := time.Now()
	for b.Loop() {
		var wg sync.WaitGroup
		for range callers {
			wg.Go(func() {
				c := <-l.free
				for range each {
					c.send(b)
					c.receive(b)
				}
				l.free <- c
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
