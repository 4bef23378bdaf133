package main

import (
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["prompt-parts"] = promptParts }

// promptParts has many clients open a request with a chunked body, which stops just short of
// its end and stays open. Each head is inside the limits of the config; its list of prompt
// parts has thousands of empty ones. The processes must stay within the memory of their
// machines. The platform ends one that does not, and starts it again.
func promptParts(w *world) int {
	const rounds = 3
	w.store.put("op", "config", config(1))
	r := w.addReplica(1, engineService, "kul-a", 64, models, "m0")
	plain := w.addReplica(2, plainService, "kul-a", 6, nil)
	for _, x := range []*replica{r, plain} {
		x.register()
	}
	edges := []*edge{w.addEdge("kul-a"), w.addEdge("kul-b")}
	for _, e := range edges {
		if e.start() != nil || !e.awaitReady(10*time.Second) {
			return cannotRun
		}
	}
	time.Sleep(time.Second)
	watches := make([]*memoryWatch, len(edges))
	stop := make(chan struct{})
	var workers sync.WaitGroup
	var served, refused, unanswered atomic.Int64
	for i, e := range edges {
		watches[i] = &memoryWatch{edge: e}
		workers.Go(func() { watches[i].run(stop) })
		// An ordinary client goes on all the while.
		workers.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(250 * time.Millisecond):
				}
				switch a := call(w, e.front, request{id: newID(), method: "GET", host: host, path: checkPath, budget: 2500 * time.Millisecond}); {
				case a.status == 200 && a.complete:
					served.Add(1)
				case a.status == 0:
					unanswered.Add(1)
				default:
					refused.Add(1)
				}
			}
		})
	}
	time.Sleep(2 * time.Second)
	for _, m := range watches {
		w.record.add("%s: holds at most %d MB before the crowd", m.edge.name, m.peak.Load())
	}
	for round := 1; round <= rounds; round++ {
		var crowds sync.WaitGroup
		for _, m := range watches {
			crowds.Go(func() { m.crowd(w, round) })
		}
		crowds.Wait()
	}
	close(stop)
	workers.Wait()
	status := broken
	for _, m := range watches {
		w.record.add("%s: held at most %d MB of %d MB and was ended %d times", m.edge.name, m.peak.Load(), w.memoryMB, m.kills.Load())
		if m.kills.Load() < rounds {
			status = held
		}
	}
	w.record.add("ordinary calls: %d served, %d refused, %d without an answer", served.Load(), refused.Load(), unanswered.Load())
	if served.Load() == 0 {
		return cannotRun
	}
	if status == broken {
		w.record.add("BROKEN: the processes of both machines exceeded the memory of their machine %d times", rounds)
	}
	return status
}

// memoryWatch ends a process that exceeds the memory of its machine, as the platform does, and
// starts it again.
type memoryWatch struct {
	edge        *edge
	peak, kills atomic.Int64
	down        atomic.Bool
}

func (m *memoryWatch) run(stop <-chan struct{}) {
	e := m.edge
	for {
		mb := e.residentMB()
		m.peak.Store(max(m.peak.Load(), mb))
		if mb > int64(e.w.memoryMB) {
			m.down.Store(true)
			e.w.record.add("platform: the process of %s holds %d MB, its machine has %d MB: it is killed", e.name, mb, e.w.memoryMB)
			e.kill()
			m.kills.Add(1)
			time.Sleep(500 * time.Millisecond)
			if e.start() != nil {
				return
			}
			e.awaitReady(10 * time.Second)
			m.down.Store(false)
		}
		select {
		case <-stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// crowd opens connections with requests that do not end, until the process has been killed or
// for some seconds. Without the trouble it only waits.
func (m *memoryWatch) crowd(w *world, round int) {
	const clients, stay = 1100, 8 * time.Second
	for m.down.Load() {
		time.Sleep(10 * time.Millisecond)
	}
	before, opened := m.kills.Load(), 0
	var conns []net.Conn
	end := time.Now().Add(stay)
	for w.trouble && opened < clients && m.kills.Load() == before && !m.down.Load() {
		c, err := net.Dial("tcp", m.edge.front)
		if err != nil {
			break
		}
		conns = append(conns, c)
		_, _ = c.Write([]byte(crowdRequest()))
		opened++
		time.Sleep(2 * time.Millisecond)
	}
	for time.Now().Before(end) && m.kills.Load() == before {
		time.Sleep(20 * time.Millisecond)
	}
	for _, c := range conns {
		_ = c.Close()
	}
	w.record.add("crowd at %s, round %d: %d requests were sent, each with a head of %d bytes and a body that does not end", m.edge.name, round, opened, headSize(crowdRequest()))
}

// crowdRequest returns a request of the crowd: a head inside the limit of 16,384 bytes, and a
// chunked body without its last chunk.
func crowdRequest() string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nX-Hyssophaven-Attempt-Id: %s\r\nX-Hyssophaven-Deadline-Ms: 15000\r\nX-Hyssophaven-Model: m0\r\nX-Hyssophaven-Token-Count: 1110,80\r\n"+
		"X-Hyssophaven-Prompt-Prefix: %s\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n", chatPath, host, newID(), strings.Repeat(",", 15800))
}

func headSize(r string) int { return strings.Index(r, "\r\n\r\n") + 4 }

// residentMB returns the resident memory of the process; 0 if it does not run.
func (e *edge) residentMB() int64 {
	e.mu.Lock()
	pid := e.process.Process.Pid
	e.mu.Unlock()
	data, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/status")
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(data), "\n") {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			return kb / 1024
		}
	}
	return 0
}
