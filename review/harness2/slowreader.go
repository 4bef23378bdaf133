package main

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["slowreader"] = slowReader }

const (
	slowReaders     = 6
	slowAnswerBytes = 80 << 10
	// A slow consumer reads slowPiece at a time and waits for slowPause then: 12 KB a second,
	// which takes less than 7 s for an answer.
	slowPiece = 3 << 10
	slowPause = 250 * time.Millisecond
	// termDelay is the time from the slow requests to the SIGTERM.
	termDelay     = 500 * time.Millisecond
	receiveBuffer = 32 << 10
	patience      = 25 * time.Second // X-Hyssophaven-Deadline-Ms
)

// slowReader stops an instance while consumers read answers slowly. It reports whether a
// booking has run and its consumer has no complete answer.
func slowReader(d *deployment) bool {
	s := startStore(d.host + "1")
	s.configure(config(7))
	r := startReplica(s, d.host+"2", "i-1", "app", "kul-a", slowAnswerBytes, 0, 20*time.Millisecond)
	n := startNode(d.dir, d.program, d.host+"11", "edge-kul-a-1", "kul-a", s)
	time.Sleep(4 * time.Second) // contact-ms
	var group sync.WaitGroup
	var lost atomic.Int64
	term := sync.OnceFunc(func() {
		time.AfterFunc(termDelay, func() {
			recordf("SIGTERM to %s", n.name)
			n.signal(syscall.SIGTERM)
		})
	})
	for consumer := range slowReaders {
		group.Go(func() {
			c, err := open(n.front, receiveBuffer)
			if err != nil {
				cannotRun("connect to "+n.name, err)
			}
			defer c.Close()
			first, second := fmt.Sprintf("%016x", 0x51000000+consumer*2), fmt.Sprintf("%016x", 0x51000001+consumer*2)
			if !bookAndRead(c, r, first, false) {
				cannotRun("make a booking", fmt.Errorf("the first one on a channel got no whole answer"))
			}
			term()
			if !bookAndRead(c, r, second, d.trouble) && r.ran(second) > 0 {
				lost.Add(1)
			}
		})
	}
	group.Wait()
	time.Sleep(termDelay)
	n.stop()
	recordf("%d answers of %d were lost", lost.Load(), slowReaders)
	return lost.Load() > 0
}

// bookAndRead makes a booking and reads the answer. It reports whether the answer was whole.
func bookAndRead(c *channel, r *replica, id string, slowly bool) bool {
	if err := c.send("POST", "/book/slot", id, patience); err != nil {
		recordf("the consumer can't send %s: %v", id, err)
		return false
	}
	recordf("a consumer sends %s and reads the answer slowly: %v", id, slowly)
	resp, err := c.head("POST")
	if err != nil {
		recordf("the consumer gets no answer to %s: %v", id, err)
		return false
	}
	read := int64(0)
	for err == nil {
		var n int64
		n, err = io.CopyN(io.Discard, resp.Body, slowPiece)
		read += n
		if slowly && err == nil {
			time.Sleep(slowPause)
		}
	}
	if err == io.EOF {
		err = nil
	}
	recordf("the consumer has read status %d and %d of %d bytes in answer to %s, which has run %d times: error %v", resp.StatusCode, read, resp.ContentLength, id, r.ran(id), err)
	return err == nil && read == resp.ContentLength
}
