package ingress

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hyssophaven/hyssophaven/catalog"
	"github.com/hyssophaven/hyssophaven/dispatch"
)

const (
	// defaultTimeout bounds requests of routes that state no timeout.
	defaultTimeout = 60 * time.Second
	// bodyTimeout bounds the time to read a body: callers send at once, and a
	// lossy link needs a few retransmissions.
	bodyTimeout = 10 * time.Second
	// maxDrain and drainTimeout bound what is read of a body that is too large.
	maxDrain     = 1 << 20
	drainTimeout = time.Second
	// unknownConfigRetry is when a caller should come back to an instance that
	// has no config yet.
	unknownConfigRetry = 500 * time.Millisecond
)

// serve handles one request of a caller.
func (g *Gateway) serve(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	config := g.control.Snapshot().Config
	head, err := g.protocol.Request(r)
	// A request with both a length and chunks could hide another one after its
	// body, and the server does not tell it apart: no connection outlives chunks.
	if len(r.TransferEncoding) > 0 || g.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	x := &exchange{gateway: g, w: w, r: r, head: head, arrived: arrived}
	switch {
	case config == nil:
		x.refuse(http.StatusServiceUnavailable, "no-config", unknownConfigRetry)
		return
	case err != nil:
		x.refuse(http.StatusBadRequest, "malformed-head", 0)
		return
	}
	if limit := config.Limits.MaxHeaderBytes; limit > 0 && headBytes(r) > limit {
		w.Header().Set("Connection", "close")
		x.refuse(http.StatusRequestHeaderFieldsTooLarge, "head-too-large", 0)
		return
	}
	target, _, _ := strings.Cut(r.RequestURI, "?")
	x.route = config.FindRoute(r.Host, target)
	if x.route == nil {
		x.refuse(http.StatusNotFound, "no-route", 0)
		return
	}
	if !x.readBody(config.Limits) {
		return
	}
	x.request = x.newRequest()
	x.run()
}

// headBytes returns the size of a request's head as it was sent, up to spaces.
func headBytes(r *http.Request) int {
	const separators = len(": ") + len("\r\n")
	n := len(r.Method) + len(r.RequestURI) + len(r.Proto) + separators + len("Host") + len(r.Host) + separators
	for name, values := range r.Header {
		for _, value := range values {
			n += len(name) + len(value) + separators
		}
	}
	return n
}

// readBody reads the whole body. It answers the caller itself if it can't.
func (x *exchange) readBody(limits catalog.Limits) bool {
	if limits.MaxBodyBytes > 0 && x.r.ContentLength > limits.MaxBodyBytes {
		// A connection that is closed with unread bytes is reset, and its caller
		// may never see the answer.
		_ = http.NewResponseController(x.w).SetReadDeadline(x.arrived.Add(drainTimeout))
		_, _ = io.CopyN(io.Discard, x.r.Body, maxDrain)
		x.w.Header().Set("Connection", "close")
		x.refuse(http.StatusRequestEntityTooLarge, "body-too-large", 0)
		return false
	}
	if x.r.ContentLength == 0 {
		return true
	}
	rc := http.NewResponseController(x.w)
	_ = rc.SetReadDeadline(x.arrived.Add(bodyTimeout))
	reader := io.Reader(x.r.Body)
	if limits.MaxBodyBytes > 0 {
		reader = http.MaxBytesReader(x.w, x.r.Body, limits.MaxBodyBytes)
	}
	var buffer bytes.Buffer
	if x.r.ContentLength > 0 {
		buffer.Grow(int(x.r.ContentLength))
	}
	_, err := buffer.ReadFrom(reader)
	_ = rc.SetReadDeadline(time.Time{})
	if err == nil {
		x.body = buffer.Bytes()
		return true
	}
	var tooLarge *http.MaxBytesError
	if !errors.As(err, &tooLarge) { // the server closes by itself after a body that is too large
		x.w.Header().Set("Connection", "close")
	}
	switch {
	case tooLarge != nil:
		x.refuse(http.StatusRequestEntityTooLarge, "body-too-large", 0)
	case errors.Is(err, os.ErrDeadlineExceeded):
		x.refuse(http.StatusRequestTimeout, "body-too-slow", 0)
	default:
		x.refuse(http.StatusBadRequest, "body-broken", 0)
	}
	return false
}

// newRequest describes the request for the control goroutine.
func (x *exchange) newRequest() *dispatch.Request {
	timeout := x.route.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	if x.head.TimeLeft > 0 {
		timeout = min(timeout, x.head.TimeLeft)
	}
	return &dispatch.Request{
		ID: x.head.ID, Route: x.route, Service: x.route.PickService(x.head.ID), Model: x.head.Model, Adapter: x.head.Adapter,
		PromptTokens: x.head.PromptTokens, OutputTokens: x.head.OutputTokens, Parts: x.parts(),
		Fingerprint: x.fingerprint(), Arrived: x.arrived, Deadline: x.arrived.Add(timeout),
	}
}

// parts returns the parts of the prompt under keys that cover what comes before them.
func (x *exchange) parts() []dispatch.Part {
	if len(x.head.Parts) == 0 {
		return nil
	}
	h := xxhash.New()
	_, _ = h.WriteString(x.head.Model + "/" + x.head.Adapter) // a hash returns no error
	out := make([]dispatch.Part, len(x.head.Parts))
	for i, p := range x.head.Parts {
		_, _ = h.WriteString("," + p.ID)
		out[i] = dispatch.Part{Key: h.Sum64(), Tokens: p.Tokens}
	}
	return out
}

// fingerprint is equal for requests with the same line, model, prompt and body.
func (x *exchange) fingerprint() uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(x.r.Method + " " + x.r.Host + x.r.RequestURI + " " + x.head.Model)
	for _, p := range x.head.Parts {
		_, _ = h.WriteString("," + p.ID)
	}
	_, _ = h.Write(x.body)
	return h.Sum64()
}
