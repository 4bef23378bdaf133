package gateway

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"

	"github.com/hyssophaven/hyssophaven/admission"
	"github.com/hyssophaven/hyssophaven/engine"
	"github.com/hyssophaven/hyssophaven/heldbytes"
	"github.com/hyssophaven/hyssophaven/memorybudget"
	"github.com/hyssophaven/hyssophaven/openai"
)

// serviceAnswer is a plain service's complete answer.
type serviceAnswer struct {
	status int
	header http.Header
	body   []byte
}

// hopByHopHeaders are the headers that apply to one connection and are not relayed.
var hopByHopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// endToEndHeaders returns a copy of h without hop-by-hop headers.
func endToEndHeaders(h http.Header) http.Header {
	out := h.Clone()
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		out.Del(name)
	}
	return out
}

// newRequest returns the request to the endpoint at address.
func (c *serviceCall) newRequest(ctx context.Context, address string) (*http.Request, error) {
	u, err := url.Parse("http://" + address + c.requestURI)
	if err != nil {
		return nil, err
	}
	r := (&http.Request{
		Method: c.r.Method, URL: u, Host: c.r.Host, Header: endToEndHeaders(c.r.Header),
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, ContentLength: int64(len(c.body)),
	}).WithContext(ctx)
	r.Header.Del("Content-Length")
	if _, ok := r.Header["User-Agent"]; !ok {
		r.Header.Set("User-Agent", "") // prevents the transport from adding its own
	}
	if len(c.body) > 0 {
		r.Body = io.NopCloser(bytes.NewReader(c.body))
		r.GetBody = func() (io.ReadCloser, error) { return io.NopCloser(bytes.NewReader(c.body)), nil }
	}
	if c.sendOnce {
		disableTransportRetry(r)
	}
	return r, nil
}

// disableTransportRetry prevents http.Transport from resending the request when a
// reused connection breaks. The transport resends requests with a safe method or
// with a header stored under the key "Idempotency-Key". The lower-case key means
// the same on the wire, and a body without GetBody can't be resent.
func disableTransportRetry(r *http.Request) {
	if v, ok := r.Header[HeaderIdempotencyKey]; ok {
		delete(r.Header, HeaderIdempotencyKey)
		r.Header[strings.ToLower(HeaderIdempotencyKey)] = v
	}
	switch r.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		if r.Body == nil {
			r.Body = io.NopCloser(bytes.NewReader(nil))
		}
		r.GetBody = nil
	}
}

// roundTrip sends the call to the granted endpoint and reads the complete answer.
func (c *serviceCall) roundTrip(ctx context.Context, grant admission.Grant) (*serviceAnswer, *failure) {
	req, err := c.newRequest(ctx, grant.Endpoint.Address)
	if err != nil {
		return nil, failf(openai.CodeInternal, engine.ExecutedNo, "request to endpoint %s cannot be formed: %v", grant.Endpoint.ID, err)
	}
	resp, err := c.g.services.RoundTrip(req)
	if err != nil {
		var op *net.OpError
		if errors.As(err, &op) && op.Op == "dial" {
			return nil, failf(openai.CodeEndpointUnreachable, engine.ExecutedNo, "endpoint %s cannot be reached: %v", grant.Endpoint.ID, err).withRetryAfter(shortRetryAfter)
		}
		return nil, c.lostFailure(grant, err)
	}
	defer func() { _ = resp.Body.Close() }()
	limit := c.g.cfg.Limits.MaxAnswerBytes
	body, err := readAll(io.LimitReader(resp.Body, limit+1), resp.ContentLength, limit+1, c.memory.held(), memorybudget.Other)
	if errors.Is(err, heldbytes.ErrNoRoom) {
		f := failf(openai.CodeAnswerTooLarge, engine.ExecutedYes, "there is no memory for the answer of endpoint %s", grant.Endpoint.ID)
		return &serviceAnswer{status: resp.StatusCode}, f
	}
	if err != nil {
		return nil, c.lostFailure(grant, err)
	}
	if int64(len(body)) > limit {
		f := failf(openai.CodeAnswerTooLarge, engine.ExecutedYes, "the answer of endpoint %s is larger than %d bytes", grant.Endpoint.ID, limit)
		return &serviceAnswer{status: resp.StatusCode}, f
	}
	return &serviceAnswer{status: resp.StatusCode, header: endToEndHeaders(resp.Header), body: body}, nil
}

func (c *serviceCall) lostFailure(grant admission.Grant, err error) *failure {
	f := failf(openai.CodeEndpointLost, engine.ExecutedUnknown, "endpoint %s gave no whole answer: %v", grant.Endpoint.ID, err)
	if !c.sendOnce {
		f.retryAfter = shortRetryAfter
	}
	return f
}

// writeServiceAnswer relays a service's answer to its caller.
func (g *Gateway) writeServiceAnswer(w http.ResponseWriter, a *serviceAnswer) error {
	h := w.Header()
	for name, values := range a.header {
		if name == "Content-Length" || name == HeaderRequestID || name == HeaderExecuted {
			continue
		}
		h[name] = values
	}
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil // prevents the server from detecting a type from the body
	}
	h.Set(HeaderExecuted, engine.ExecutedYes.String())
	length := a.header.Get("Content-Length")
	switch {
	case a.status == http.StatusNoContent || a.status == http.StatusNotModified:
		// These have no body, and 204 must not have a Content-Length.
	case len(a.body) == 0 && length != "" && length != "0":
		// The answer to HEAD has the Content-Length of a body that it omits.
		h.Set("Content-Length", length)
	default:
		return g.writeWithLength(w, a.status, a.body)
	}
	g.extendWriteDeadline(http.NewResponseController(w))
	w.WriteHeader(a.status)
	return nil
}
