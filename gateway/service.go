package gateway

import (
	"context"
	"net/http"
	"path"
	"slices"
	"strings"
	"time"

	"github.com/hyssophaven/hyssophaven/admission"
	"github.com/hyssophaven/hyssophaven/engine"
	"github.com/hyssophaven/hyssophaven/openai"
	"github.com/hyssophaven/hyssophaven/table"
)

// servicesPrefix is the path prefix of requests to plain services.
const servicesPrefix = "/services/"

// serviceCall is one request to a plain service.
type serviceCall struct {
	g            *Gateway
	r            *http.Request
	row          table.Row
	requestURI   string // escaped path and query to send to the service
	body         []byte
	sendOnce     bool // not idempotent: at most one attempt may reach an endpoint
	admitRequest admission.Request
	arrived      time.Time
	memory       *requestMemory // of the body and of answers
}

// serveService handles requests to plain services.
func (g *Gateway) serveService(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	g.counters.requests.Add(1)
	name := pathParam(r, "name")
	row, ok := g.control.Snapshot().Table.Row(name)
	if !ok || row.Kind != table.KindService {
		g.writeFailure(w, failf(openai.CodeServiceNotFound, engine.ExecutedNo, "the service %q does not exist", name))
		return
	}
	m, ok := g.openMemory(w)
	defer m.close()
	if !ok {
		g.writeFailure(w, g.refuseForMemory(w))
		return
	}
	body, f := g.readBody(w, r, m)
	if f != nil {
		g.writeFailure(w, f)
		return
	}
	c := newServiceCall(g, r, row, body, arrived)
	c.memory = m
	key := r.Header.Get(HeaderIdempotencyKey)
	switch {
	case !c.sendOnce:
		g.serveUnkeyed(w, c)
	case len(key) > maxIDBytes:
		g.writeFailure(w, failf(openai.CodeKeyInvalid, engine.ExecutedNo, "%s is longer than %d bytes", HeaderIdempotencyKey, maxIDBytes))
	case key != "":
		g.serveKeyed(w, c, key)
	case row.RequireIdempotencyKey:
		g.writeFailure(w, failf(openai.CodeKeyRequired, engine.ExecutedNo, "calls of this kind need the header %s", HeaderIdempotencyKey))
	default:
		g.serveUnkeyed(w, c)
	}
}

func newServiceCall(g *Gateway, r *http.Request, row table.Row, body []byte, arrived time.Time) *serviceCall {
	requestURI := strings.TrimPrefix(r.URL.EscapedPath(), servicesPrefix)
	if i := strings.IndexByte(requestURI, '/'); i >= 0 {
		requestURI = requestURI[i:]
	} else {
		requestURI = "/"
	}
	decodedPath := strings.TrimPrefix(strings.TrimPrefix(r.URL.Path, servicesPrefix), row.Name)
	c := &serviceCall{
		g: g, r: r, row: row, requestURI: requestURI, body: body, arrived: arrived,
		sendOnce: notIdempotent(row.NotIdempotent, r.Method, decodedPath),
	}
	if r.URL.RawQuery != "" {
		c.requestURI += "?" + r.URL.RawQuery
	}
	pool := row.Pool
	if pool == "" {
		pool = row.Name
	}
	c.admitRequest = admission.Request{
		Row: row.Name, Rank: row.Rank, Weight: row.Weight, Limits: row.Limits, Targets: row.Targets, Pool: pool,
		Fingerprint: openai.Fingerprint(row.Name, r.Method+" "+c.requestURI+"\n"+string(body)),
	}
	return c
}

// notIdempotent reports whether a call matches one of the patterns "METHOD /path",
// whose path can end in "*". Both the original and the cleaned path are matched,
// because a service that ignores doubled slashes or dot segments handles "//bookings"
// like "/bookings".
func notIdempotent(patterns []string, method, p string) bool {
	clean := path.Clean("/" + p)
	return slices.ContainsFunc(patterns, func(pattern string) bool {
		patternMethod, patternPath, _ := strings.Cut(pattern, " ")
		if patternMethod != method {
			return false
		}
		patternPath = strings.TrimSpace(patternPath)
		if prefix, ok := strings.CutSuffix(patternPath, "*"); ok {
			return strings.HasPrefix(p, prefix) || strings.HasPrefix(clean, prefix)
		}
		return p == patternPath || clean == path.Clean(patternPath)
	})
}

// serveUnkeyed serves a call without an idempotency key. Unless the call is
// idempotent, this instance sends it at most once.
func (g *Gateway) serveUnkeyed(w http.ResponseWriter, c *serviceCall) {
	a, f := c.exchange(c.r.Context())
	switch {
	case f == nil:
		outcome := OutcomeAnswered
		if err := g.writeServiceAnswer(w, a); err != nil {
			outcome = OutcomeCancelled
		}
		c.record(outcome)
	case c.r.Context().Err() != nil:
		c.record(OutcomeCancelled)
	default:
		g.writeFailure(w, f)
		c.recordFailure(f)
	}
}

func (c *serviceCall) record(o Outcome) { c.g.recordFinished(c.newFinishedRequest(o)) }

func (c *serviceCall) newFinishedRequest(o Outcome) FinishedRequest {
	return FinishedRequest{Row: c.row.Name, Rank: c.row.Rank, Duration: time.Since(c.arrived), Outcome: o, Targets: c.row.Targets}
}

func (c *serviceCall) recordFailure(f *failure) {
	s := c.newFinishedRequest(OutcomeFailed)
	if f.executed == engine.ExecutedNo {
		s.Outcome = OutcomeRefused
	}
	s.Code = f.err.Code
	c.g.recordFinished(s)
}

// exchange admits the call, sends it and returns the complete answer. If an
// endpoint fails, it sends an idempotent call to another one. It resends a
// non-idempotent call only if the failed attempt certainly did not reach its
// endpoint. With CodeAnswerTooLarge it returns both the failure and the answer
// without its body.
func (c *serviceCall) exchange(ctx context.Context) (*serviceAnswer, *failure) {
	var last *failure
	executed := engine.ExecutedNo
	for attempt := range c.g.cfg.Limits.MaxAttempts {
		if attempt > 0 {
			if !sleep(ctx, min(firstRetryPause<<attempt, maxRetryPause)) {
				return nil, last
			}
			c.admitRequest.Readmitted = true
			c.g.counters.serviceRetries.Add(1)
		}
		c.admitRequest.ID = c.g.sequence.Add(1)
		grant, err := c.g.control.Admit(ctx, c.admitRequest)
		if err != nil {
			return nil, refusalFailure(err, executed)
		}
		a, f := c.attempt(ctx, grant)
		if f == nil {
			return a, nil
		}
		if f.executed != engine.ExecutedNo {
			executed = f.executed
		}
		f.executed = executed
		last = f
		if ctx.Err() != nil || f.err.Code == openai.CodeAnswerTooLarge || c.sendOnce && executed != engine.ExecutedNo {
			return a, f
		}
		c.admitRequest.Exclude = append(slices.Clone(c.admitRequest.Exclude), grant.Endpoint.ID)
	}
	return nil, last
}

// attempt sends the call to the granted endpoint and reports the result to the
// control goroutine.
func (c *serviceCall) attempt(ctx context.Context, grant admission.Grant) (a *serviceAnswer, f *failure) {
	start := time.Now()
	result := admission.ResultFailed
	defer func() {
		now := time.Now()
		c.g.control.Finish(admission.Outcome{
			ID: c.admitRequest.ID, Endpoint: grant.Endpoint.ID, Result: result, Fingerprint: c.admitRequest.Fingerprint,
			Trial: grant.Trial, Duration: now.Sub(start), Total: now.Sub(c.arrived),
		})
	}()
	sendCtx := ctx
	if c.sendOnce {
		// A non-idempotent call continues when its caller hangs up, because
		// cancelling it would leave its outcome unknown.
		sendCtx = context.WithoutCancel(ctx)
	}
	sendCtx, cancel := context.WithTimeout(sendCtx, c.g.cfg.Limits.ServiceTimeout)
	defer cancel()
	a, f = c.roundTrip(sendCtx, grant)
	switch {
	case f == nil:
		result = admission.ResultAnswered
	case ctx.Err() != nil:
		result = admission.ResultCancelled
	case f.err.Code == openai.CodeEndpointLost:
		result = admission.ResultLost
		c.g.counters.endpointsLost.Add(1)
	}
	return a, f
}
