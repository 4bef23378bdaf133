package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

var lastRequest atomic.Int64

// call is a request of a consumer.
type call struct {
	method, path, model string
	deadline            time.Duration
	body                []byte
}

// result is what the consumer saw.
type result struct {
	id             string
	sent, answered time.Time
	status         int // 0 if the channel ended without an answer
	seal, body     string
	err            error
}

const host = "petik.example"

// send sends a call on a new channel to the front address and reads its answer.
func send(rec *record, front string, c call) result {
	r := result{id: fmt.Sprintf("q%06d", lastRequest.Add(1))}
	conn, err := net.DialTimeout("tcp", front, time.Second)
	if err != nil {
		r.err = err
		rec.add("request %s to %s not sent: %v", r.id, front, err)
		return r
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(c.deadline + time.Second))
	var head bytes.Buffer
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Hyssophaven-Attempt-Id: %s\r\nX-Hyssophaven-Deadline-Ms: %d\r\n", c.method, c.path, host, r.id, c.deadline.Milliseconds())
	if c.model != "" {
		fmt.Fprintf(&head, "X-Hyssophaven-Model: %s\r\nX-Hyssophaven-Token-Count: 100,10\r\nX-Hyssophaven-Prompt-Prefix: 5c1e07a2:60,%s:40\r\n", c.model, fmt.Sprintf("%08x", time.Now().UnixNano()&0xffffffff))
	}
	if c.method == http.MethodPost {
		fmt.Fprintf(&head, "Content-Length: %d\r\n", len(c.body))
	}
	head.WriteString("\r\n")
	r.sent = time.Now()
	rec.add("request %s to %s: %s %s model=%q, %d bytes", r.id, front, c.method, c.path, c.model, len(c.body))
	if _, r.err = conn.Write(head.Bytes()); r.err == nil && len(c.body) > 0 {
		_, r.err = conn.Write(c.body)
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: c.method})
	if err != nil {
		r.err = err
		rec.add("answer %s: none, %v", r.id, err)
		return r
	}
	body, err := io.ReadAll(response.Body)
	r.answered, r.status, r.seal, r.body, r.err = time.Now(), response.StatusCode, response.Header.Get("X-Hyssophaven-Server-Seal"), string(body), err
	rec.add("answer %s: %d seal=%q retry-after=%q %q err=%v after %s", r.id, r.status, r.seal, response.Header.Get("Retry-After"), r.body, err, r.answered.Sub(r.sent).Round(time.Millisecond))
	return r
}
