//go:build linux

package integration

import (
	"bufio"
	"bytes"
	"cmp"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hyssophaven/hyssophaven/platform"
)

// The tests in this file send more than the limits allow to real processes with little
// memory and few descriptors. They check only that the process lives and stays within its
// limits, and that an ordinary request is answered afterwards. None of them calls
// t.Parallel, so that each runs alone.

const (
	crowdMemoryMB = 128 // limits.memory-mb of the instances
	crowdMaxFDs   = 500 // limits.max-fds of the instances
	// crowdMemoryShare is the share of memory-mb that a process can have resident.
	crowdMemoryShare = 0.8
	crowdBodyBytes   = 4 << 20 // max-body-bytes of the config
	crowdTime        = 5 * time.Second
)

// crowd is a group of clients that connect to an instance again and again.
type crowd struct {
	clients int
	// port selects the listeners; the clients connect to them in turn. Nil selects that of
	// callers.
	ports func(*edgeInstance) []string
	// misbehave uses a new connection. Its errors are ignored: the instance can close the
	// connection at any time. Afterwards the connection stays open until the instance
	// closes it.
	misbehave func(net.Conn)
	// neverReads leaves what the instance sends unread.
	neverReads bool
}

// everyPort returns the addresses of all listeners of an instance.
func everyPort(i *edgeInstance) []string {
	return []string{
		i.settings.Callers, i.settings.Readiness, net.JoinHostPort(i.settings.Host, "9464"), net.JoinHostPort(i.settings.Host, "17380"),
	}
}

// join starts the clients of the crowd. They leave when stop is closed.
func (c crowd) join(i *edgeInstance, stop <-chan struct{}, wg *sync.WaitGroup) {
	addresses := []string{i.settings.Callers}
	if c.ports != nil {
		addresses = c.ports(i)
	}
	for n := range c.clients {
		wg.Go(func() {
			for {
				c.connect(addresses[n%len(addresses)], stop)
				select {
				case <-stop:
					return
				case <-time.After(50 * time.Millisecond):
				}
			}
		})
	}
}

// connect uses one connection until the instance closes it or stop is closed.
func (c crowd) connect(address string, stop <-chan struct{}) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	if tcp, ok := conn.(*net.TCPConn); ok && c.neverReads {
		_ = tcp.SetReadBuffer(4 << 10)
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		c.misbehave(conn)
		if c.neverReads {
			<-stop
		}
		_, _ = io.Copy(io.Discard, conn)
	}()
	select {
	case <-stop:
		_ = conn.Close()
		<-ended
	case <-ended:
	}
}

const crowdHead = " HTTP/1.1\r\nHost: h.example\r\nX-Hyssophaven-Attempt-Id: "

var (
	crowdField  = "X-Filler: " + strings.Repeat("f", 100) + "\r\n"
	crowdChunks = bytes.Repeat([]byte("1\r\nb\r\n"), 64<<10)
)

// writeHead writes the request line and some headers, without the end of the head.
func writeHead(w io.Writer, request string) {
	_, _ = fmt.Fprintf(w, "%s%screw-%d\r\n", request, crowdHead, promptCounter.Add(1))
}

// headOverLimit sends 900 KB of a head, which is over the limit of the config and below the
// default limit of net/http, and stops before its end.
func headOverLimit(c net.Conn) {
	writeHead(c, "GET /look/x")
	_, _ = io.WriteString(c, strings.Repeat(crowdField, 900_000/len(crowdField)))
}

// headWithoutEnd sends fields until the connection is closed.
func headWithoutEnd(c net.Conn) {
	writeHead(c, "GET /look/x")
	repeat(c, []byte(crowdField))
}

// shortLines sends a head of many short lines, as large as the server reads, and stops before
// its end.
func shortLines(c net.Conn) {
	writeHead(c, "GET /look/x")
	var b strings.Builder
	for n := 0; b.Len() < 60<<10; n++ {
		_, _ = fmt.Fprintf(&b, "%x:\r\n", n)
	}
	_, _ = io.WriteString(c, b.String())
}

// emptyLinesWithoutEnd sends empty lines until the connection is closed.
func emptyLinesWithoutEnd(c net.Conn) { repeat(c, bytes.Repeat([]byte("\r\n"), 32)) }

// repeat writes b until the connection is closed.
func repeat(c net.Conn, b []byte) {
	for {
		if _, err := c.Write(b); err != nil {
			return
		}
	}
}

// largeChunks sends a body of the largest size in one chunk and stops before its end.
func largeChunks(c net.Conn) {
	writeHead(c, "POST /book/x")
	_, _ = fmt.Fprintf(c, "Transfer-Encoding: chunked\r\n\r\n%x\r\n", crowdBodyBytes)
	_, _ = c.Write(make([]byte, crowdBodyBytes-1))
}

// smallChunks sends a body in chunks of one byte and stops before its end.
func smallChunks(c net.Conn) {
	writeHead(c, "POST /book/x")
	_, _ = io.WriteString(c, "Transfer-Encoding: chunked\r\n\r\n")
	for range 16 {
		if _, err := c.Write(crowdChunks); err != nil {
			return
		}
	}
}

// announcedBody announces a body of the largest size and sends none of it.
func announcedBody(c net.Conn) {
	writeHead(c, "POST /book/x")
	_, _ = fmt.Fprintf(c, "Content-Length: %d\r\n\r\n", crowdBodyBytes)
}

// wholeBody sends a request with a body of the largest size.
func wholeBody(c net.Conn) {
	announcedBody(c)
	_, _ = c.Write(make([]byte, crowdBodyBytes))
}

// unknownNames asks for models, adapters and prompt parts that don't exist, each time for
// others with names as long as a head can be, until the connection is closed.
func unknownNames(c net.Conn) {
	answers := bufio.NewReader(c)
	for {
		n := promptCounter.Add(1)
		name := fmt.Sprintf("%d-%s", n, strings.Repeat("n", 12_000))
		if n%3 == 0 {
			name = "m1/" + name
		}
		writeHead(c, "POST /chat/x")
		_, _ = fmt.Fprintf(c, "X-Hyssophaven-Model: %s\r\nX-Hyssophaven-Token-Count: 100,10\r\nX-Hyssophaven-Prompt-Prefix: ", name)
		for part := range 100 {
			_, _ = fmt.Fprintf(c, "%x:0,", n<<8+int64(part))
		}
		_, _ = io.WriteString(c, "ff:1\r\nContent-Length: 0\r\n\r\n")
		answer, err := http.ReadResponse(answers, nil)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, answer.Body); err != nil {
			return
		}
	}
}

// plainRequest sends a request without a body.
func plainRequest(c net.Conn) {
	writeHead(c, "GET /look/x")
	_, _ = io.WriteString(c, "\r\n")
}

// silent sends nothing.
func silent(net.Conn) {}

// largeAnswer answers with nearly as much as an instance buffers.
func largeAnswer(c net.Conn, head string, _ int) {
	const size = 250_000
	_, _ = fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n", head, size)
	_, _ = c.Write(make([]byte, size))
}

// answerHeadWithoutEnd sends fields until the connection is closed.
func answerHeadWithoutEnd(c net.Conn, head string, _ int) {
	_, _ = io.WriteString(c, head)
	repeat(c, []byte(crowdField))
}

// usage holds the largest figures of a process so far.
type usage struct {
	name        string
	peakKB, fds int
}

// readUsage returns the peak of the resident memory of a process, and its open
// descriptors. It returns false if the process has ended.
func readUsage(p *process) (usage, bool) {
	dir := fmt.Sprintf("/proc/%d", p.cmd.Process.Pid)
	status, err := os.ReadFile(dir + "/status")
	files, errFiles := os.ReadDir(dir + "/fd")
	if err != nil || errFiles != nil {
		return usage{}, false
	}
	_, text, found := strings.Cut(string(status), "VmHWM:")
	fields := strings.Fields(text)
	if !found || len(fields) == 0 {
		return usage{}, false
	}
	peak, err := strconv.Atoi(fields[0])
	return usage{name: p.name, peakKB: peak, fds: len(files)}, err == nil
}

// watchUsage samples a process until it ends or stop is closed, and returns the largest
// figures.
func watchUsage(p *process, stop <-chan struct{}) <-chan usage {
	result := make(chan usage, 1)
	go func() {
		most := usage{name: p.name}
		for {
			if now, ok := readUsage(p); ok {
				most.peakKB, most.fds = max(most.peakKB, now.peakKB), max(most.fds, now.fds)
			}
			select {
			case <-stop:
			case <-p.done:
			case <-time.After(20 * time.Millisecond):
				continue
			}
			result <- most
			return
		}
	}()
	return result
}

// check asserts that the process stayed within its limits.
func (u usage) check(t *testing.T, maxFDs int) {
	t.Helper()
	t.Logf("%s: at most %d KB resident, %d descriptors", u.name, u.peakKB, u.fds)
	if limit := crowdMemoryShare * crowdMemoryMB * 1024; float64(u.peakKB) >= limit {
		t.Errorf("%s: %d KB were resident, want under %.0f", u.name, u.peakKB, limit)
	}
	if u.fds >= maxFDs {
		t.Errorf("%s: %d descriptors were open, want under %d", u.name, u.fds, maxFDs)
	}
}

// startCrowdedFleet returns a fleet whose instances have little memory and maxFDs descriptors.
func startCrowdedFleet(t *testing.T, instances, maxFDs int) *edgeFleet {
	f := newEdgeFleet(t)
	f.PutConfigWithBodies(2, "", crowdBodyBytes)
	for range instances {
		f.addLimitedInstance(crowdMemoryMB, maxFDs)
	}
	return f
}

// checkServes asserts that the process of an instance lives and answers a request.
func (f *edgeFleet) checkServes(i *edgeInstance) {
	f.t.Helper()
	if i.hasEnded() {
		f.t.Errorf("%s has ended", i.name)
		return
	}
	waitFor(f.t, i.name+" to answer an ordinary request", func() bool {
		return f.send(i, edgeRequest{Method: "GET", Path: "/look/after"}).Status == http.StatusOK
	})
}

// Guards against clients and replicas that exceed the limits and thereby end an instance,
// or make it use more memory or descriptors than its machine has.
func TestCrowds(t *testing.T) {
	for _, c := range []struct {
		name    string
		crowd   crowd
		prepare func(*edgeFleet)
		maxFDs  int // limits.max-fds of the instance; 0 selects crowdMaxFDs
	}{
		{name: "HeadsOverTheLimit", crowd: crowd{clients: 300, ports: everyPort, misbehave: headOverLimit}},
		{name: "HeadsWithoutEnd", crowd: crowd{clients: 40, ports: everyPort, misbehave: headWithoutEnd}},
		{name: "HeadsOfShortLines", crowd: crowd{clients: 200, misbehave: shortLines}},
		{name: "EmptyPromptParts", crowd: crowd{clients: 600, misbehave: emptyParts}, maxFDs: 4000},
		{name: "ShortPromptParts", crowd: crowd{clients: 900, misbehave: shortParts}, maxFDs: 4000},
		{name: "PromptPartsOverTheLimit", crowd: crowd{clients: 300, misbehave: partsOverLimit}},
		{name: "EmptyLinesWithoutEnd", crowd: crowd{clients: 40, ports: everyPort, misbehave: emptyLinesWithoutEnd}},
		{name: "LargeChunks", crowd: crowd{clients: 60, misbehave: largeChunks}},
		{name: "SmallChunks", crowd: crowd{clients: 60, misbehave: smallChunks}},
		{name: "AnnouncedBodies", crowd: crowd{clients: 60, misbehave: announcedBody}},
		{name: "UnreadAnswers", crowd: crowd{clients: 300, misbehave: plainRequest, neverReads: true}, prepare: func(f *edgeFleet) {
			for _, r := range f.Apps {
				r.SetRawAnswer(largeAnswer)
			}
		}},
		{name: "UnreadBodies", crowd: crowd{clients: 40, misbehave: wholeBody}, prepare: func(f *edgeFleet) {
			for _, r := range f.Apps {
				r.SetIgnoresBodies(true)
			}
		}},
		{name: "AnswerHeadsWithoutEnd", crowd: crowd{clients: 60, misbehave: plainRequest}, prepare: func(f *edgeFleet) {
			for _, r := range f.Apps {
				r.SetRawAnswer(answerHeadWithoutEnd)
			}
		}},
		{name: "UnknownNames", crowd: crowd{clients: 12, misbehave: unknownNames}},
		{name: "SilentConnections", crowd: crowd{clients: 700, misbehave: silent}},
		{name: "SilentConnectionsToAllPorts", crowd: crowd{clients: 700, ports: everyPort, misbehave: silent}},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := startCrowdedFleet(t, 1, cmp.Or(c.maxFDs, crowdMaxFDs))
			if c.prepare != nil {
				c.prepare(f)
			}
			i := f.instances[0]
			stop := make(chan struct{})
			most := watchUsage(i.process, stop)
			var clients sync.WaitGroup
			c.crowd.join(i, stop, &clients)
			time.Sleep(crowdTime)
			close(stop)
			clients.Wait()
			(<-most).check(t, cmp.Or(c.maxFDs, crowdMaxFDs))
			for _, r := range f.Apps {
				r.SetRawAnswer(nil)
				r.SetIgnoresBodies(false)
			}
			f.checkServes(i)
		})
	}
}

// Guards against an instance that all kinds of such clients end together, also while the
// instances of its deployment are restarted one after another.
func TestCrowdsDuringRollingRestart(t *testing.T) {
	f := startCrowdedFleet(t, 2, crowdMaxFDs)
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for _, i := range f.instances {
		for _, c := range []crowd{
			{clients: 100, ports: everyPort, misbehave: headOverLimit},
			{clients: 12, ports: everyPort, misbehave: headWithoutEnd},
			{clients: 12, ports: everyPort, misbehave: emptyLinesWithoutEnd},
			{clients: 20, misbehave: largeChunks},
			{clients: 20, misbehave: smallChunks},
			{clients: 20, misbehave: announcedBody},
			{clients: 20, misbehave: wholeBody},
			{clients: 100, misbehave: plainRequest, neverReads: true},
			{clients: 300, misbehave: silent},
		} {
			c.join(i, stop, &clients)
		}
	}
	var watches []<-chan usage
	for _, i := range f.instances {
		watches = append(watches, watchUsage(i.process, stop))
	}
	time.Sleep(crowdTime / 2)
	for _, i := range f.instances {
		if i.hasEnded() {
			t.Errorf("%s has ended", i.name)
		}
		i.terminate()
		waitFor(t, i.name+" to stop", i.hasEnded)
		i.process = startProcess(t, f.dir, i.settings.Name, "edge", "--node-file", f.settingsFile(i))
		watches = append(watches, watchUsage(i.process, stop))
		waitFor(t, i.name+" to be ready", func() bool {
			status, _ := f.caller.Get("http://" + i.settings.Readiness + platform.ReadinessPath)
			return status == http.StatusOK
		})
		time.Sleep(crowdTime / 2)
	}
	close(stop)
	clients.Wait()
	for _, w := range watches {
		(<-w).check(t, crowdMaxFDs)
	}
	for _, i := range f.instances {
		f.checkServes(i)
	}
}
