package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

func init() { cases["twice"] = twice }

const (
	twiceReplicas = 2
	twiceRequests = 400
	// strayInterval is the number of answers of the faulty replica of which one is followed
	// by strayBytes.
	strayInterval = 20
	// strayBytes are what a faulty replica sends after a complete answer: the beginning of
	// another one, which breaks off. They belong to no request.
	strayBytes = "HTTP/1.1 421 "
)

// twice lets one replica send additional bytes after its answers. It reports whether a booking
// has run more than once.
func twice(d *deployment) bool {
	s := startStore(d.host + "1")
	s.configure(config(7))
	var replicas []*channelReplica
	for i := range twiceReplicas {
		replicas = append(replicas, startChannelReplica(s, fmt.Sprintf("%s%d", d.host, 2+i), fmt.Sprintf("i-%d", i+1), d.trouble && i == 0))
	}
	n := startNode(d.dir, d.program, d.host+"11", "edge-kul-a-1", "kul-a", s)
	time.Sleep(4 * time.Second) // contact-ms
	c, err := open(n.front, 0)
	if err != nil {
		cannotRun("connect to "+n.name, err)
	}
	broken := false
	for request := range twiceRequests {
		id := fmt.Sprintf("%016x", 0x57000000+request)
		if !book(c, id) {
			_ = c.Close()
			if c, err = open(n.front, 0); err != nil {
				cannotRun("connect to "+n.name, err)
			}
		}
		runs := 0
		for _, r := range replicas {
			runs += r.ran(id)
		}
		if runs > 1 {
			recordf("booking %s has run %d times", id, runs)
			broken = true
		}
	}
	n.stop()
	return broken
}

// book makes a booking and reports whether it got an answer.
func book(c *channel, id string) bool {
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	if err := c.send("POST", "/book/slot", id, 2500*time.Millisecond); err != nil {
		recordf("consumer can't send %s: %v", id, err)
		return false
	}
	resp, err := c.head("POST")
	if err != nil {
		recordf("consumer gets no answer to %s: %v", id, err)
		return false
	}
	body, err := io.ReadAll(resp.Body)
	recordf("consumer gets status %d, seal %q, body %q, error %v to %s", resp.StatusCode, resp.Header.Get("X-Hyssophaven-Server-Seal"), body, err, id)
	return err == nil && !resp.Close
}

// channelReplica is a replica of the booking service that writes its answers to channels
// itself. They are what the pages ask for, apart from strayBytes.
type channelReplica struct {
	*replica
	stray    bool
	answered int // guarded by replica.mu
}

func startChannelReplica(s *store, host, id string, stray bool) *channelReplica {
	l, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		cannotRun("listen for a replica", err)
	}
	r := &channelReplica{
		replica: &replica{id: id, service: "app", address: l.Addr().String(), zone: "kul-a", born: time.Now().UnixMilli(), runs: make(map[string]int)},
		stray:   stray,
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go r.serveChannel(c)
		}
	}()
	go func() {
		for ; ; time.Sleep(heartbeat) {
			s.register(r.id, r.entry())
		}
	}()
	return r
}

// isStray counts an answer and reports whether strayBytes come before it. On a channel without
// an earlier answer, there are none.
func (r *channelReplica) isStray(first bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.answered++; !r.stray || first || r.answered < strayInterval {
		return false
	}
	r.answered = 0
	return true
}

func (r *channelReplica) serveChannel(c net.Conn) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for first := true; ; first = false {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		id := req.Header.Get("X-Hyssophaven-Attempt-Id")
		if r.isStray(first) {
			recordf("replica %s sends %q, additional bytes after its last answer on the channel", r.id, strayBytes)
			_, _ = io.WriteString(c, strayBytes)
		}
		r.mu.Lock()
		r.runs[id]++
		r.mu.Unlock()
		recordf("replica %s runs %s and answers 200", r.id, id)
		const body = "booked\n"
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Hyssophaven-Attempt-Id: %s\r\nX-Hyssophaven-Server-Seal: seal.%s.%s\r\nContent-Length: %d\r\n\r\n%s", id, r.id, id, len(body), body)
	}
}
