package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync/atomic"
	"time"
)

func init() { cases["heads"] = heads }

const (
	headNodes = 2
	// headClients is the number of clients of each instance. They begin within headPause, and
	// each waits so long between two connections, so that they use under a fifth of the link.
	headClients = 600
	headPause   = 2 * time.Second
	// endlessHead is how much of its head a client sends before it waits.
	endlessHead = 63 << 10
	headTime    = 60 * time.Second
)

// heads lets many clients send heads without end. Without the disruption, as many clients
// send whole requests.
func heads(d *deployment) bool {
	s := startStore(d.host + "1")
	s.configure(config(7))
	startReplica(s, d.host+"2", "i-1", "app", "kul-a", 800, 0, 20*time.Millisecond)
	var nodes []*node
	for i := range headNodes {
		nodes = append(nodes, startNode(d.dir, d.program, fmt.Sprintf("%s%d", d.host, 11+i), fmt.Sprintf("edge-kul-a-%d", i+1), "kul-a", s))
	}
	time.Sleep(4 * time.Second) // contact-ms
	var opened, answered atomic.Int64
	end := time.Now().Add(headTime)
	recordf("%d clients of each instance begin; first bytes of a head: %.120q", headClients, head(d.trouble))
	for _, n := range nodes {
		for range headClients {
			go func() {
				time.Sleep(rand.N(headPause))
				for ; time.Now().Before(end); time.Sleep(headPause) {
					opened.Add(1)
					if sendHead(n, head(d.trouble)) {
						answered.Add(1)
					}
				}
			}()
		}
	}
	broken := watchForFault(nodes, end, func() string { return fmt.Sprintf("%d connections, %d answers", opened.Load(), answered.Load()) })
	for _, n := range nodes {
		n.stop()
	}
	return broken
}

var (
	endless = endlessLines()
	whole   = "GET /look/slot HTTP/1.1\r\nHost: h.example\r\nX-Hyssophaven-Attempt-Id: 00000000000000aa\r\nX-Hyssophaven-Deadline-Ms: 2500\r\nConnection: close\r\n\r\n"
)

func head(trouble bool) string {
	if trouble {
		return endless
	}
	return whole
}

// endlessLines returns the beginning of a head of short lines.
func endlessLines() string {
	const letters = "abcdefghijklmnopqrstuvwxyz0123456789"
	var b strings.Builder
	b.WriteString("GET /look/slot HTTP/1.1\r\nHost: h.example\r\n")
	for i := 0; b.Len() < endlessHead; i++ {
		fmt.Fprintf(&b, "%c%c%c:\r\n", letters[i%36], letters[i/36%36], letters[i/1296%36])
	}
	return b.String()
}

// sendHead sends a head on a connection of its own and waits for an answer, or until the
// instance closes the connection. It reports whether there was an answer.
func sendHead(n *node, head string) bool {
	c, err := net.DialTimeout("tcp", n.front, time.Second)
	if err != nil {
		return false
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(6 * time.Second))
	if _, err := io.WriteString(c, head); err != nil {
		return false
	}
	read, _ := c.Read(make([]byte, 512))
	return read > 0
}
