package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

func containsText(data []byte, text string) bool { return bytes.Contains(data, []byte(text)) }

var lastID atomic.Int64

// newID returns the id of one attempt of a client.
func newID() string { return fmt.Sprintf("%016x", uint64(0x1c41d07be2a30000)+uint64(lastID.Add(1))) }

// request is what a client sends.
type request struct {
	id, method, host, path, model string
	body                          string
	budget                        time.Duration
}

// answer is what a client has received.
type answer struct {
	status   int
	header   http.Header
	bytes    int64
	tail     string // the last bytes of the body
	complete bool   // the answer has ended as the protocol says
	err      error
	took     time.Duration
}

const tailBytes = 4096

// call sends a request on a new connection, as a client's attempt does, and reads the answer.
func call(w *world, address string, q request) answer {
	begun := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), q.budget)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, q.method, "http://"+address+q.path, strings.NewReader(q.body))
	if err != nil {
		return answer{err: err}
	}
	r.Host = q.host
	r.Header.Set("X-Hyssophaven-Attempt-Id", q.id)
	r.Header.Set("X-Hyssophaven-Deadline-Ms", fmt.Sprint(q.budget.Milliseconds()))
	if q.model != "" {
		r.Header.Set("X-Hyssophaven-Model", q.model)
		r.Header.Set("X-Hyssophaven-Token-Count", "1110,80")
		r.Header.Set("X-Hyssophaven-Prompt-Prefix", "5c1e07a2:210,91bd3f06:140,"+q.id[8:]+":760")
	}
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	defer transport.CloseIdleConnections()
	response, err := transport.RoundTrip(r)
	if err != nil {
		w.record.add("client: %s %s %s: no answer: %v", q.id, q.path, q.model, err)
		return answer{err: err, took: time.Since(begun)}
	}
	defer response.Body.Close()
	out := answer{status: response.StatusCode, header: response.Header}
	buffer := make([]byte, 64<<10)
	var tail []byte
	for {
		n, err := response.Body.Read(buffer)
		out.bytes += int64(n)
		tail = append(tail, buffer[:n]...)
		if len(tail) > tailBytes {
			tail = append([]byte(nil), tail[len(tail)-tailBytes:]...)
		}
		if err == io.EOF {
			out.complete = true
			break
		}
		if err != nil {
			out.err = err
			break
		}
	}
	out.tail, out.took = string(tail), time.Since(begun)
	w.record.add("client: %s %s %s: status %d, %d bytes, complete %t, after %s, seal %q, text %q", q.id, q.path, q.model, out.status, out.bytes, out.complete, out.took.Round(time.Millisecond),
		out.header.Get("X-Hyssophaven-Server-Seal"), firstLine(out))
	return out
}

// firstLine returns the body of a short refusal.
func firstLine(a answer) string {
	if a.bytes > 200 {
		return ""
	}
	return strings.TrimSpace(a.tail)
}
