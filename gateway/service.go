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

// servicesPrefix is the path under which plain services are reached.
const servicesPrefix = "/services/"

// serviceCall is one request to a plain service.
type serviceCall struct {
	g       *Gateway
	r       *http.Request
	row     table.Row
	target  string // escaped path and query at the service
	body    []byte
	once    bool // not idempotent: at most one try may reach an endpoint
	admit   admission.Request
	arrived time.Time
}

// serveService handles requests to plain services.
func (g *Gateway) serveService(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	g.counters.requests.Add(1)
	name := pathParam(r, "name")
	row, ok := g.control.Snapshot().Table.Row(name)
	if !ok || row.Kind != table.KindService {
		g.fail(w, failf(openai.CodeServiceNotFound, engine.ExecutedNo, "the service %q does not exist", name))
		return
	}
	body, f := g.readBody(w, r)
	if f != nil {
		g.fail(w, f)
		return
	}
	c := newServiceCall(g, r, row, body, arrived)
	key := r.Header.Get(HeaderKey)
	switch {
	case !c.once:
		g.serveUnkeyed(w, c)
	case len(key) > maxIDLength:
		g.fail(w, failf(openai.CodeKeyInvalid, engine.ExecutedNo, "%s is longer than %d bytes", HeaderKey, maxIDLength))
	case key != "":
		g.serveKeyed(w, c, key)
	case row.RequireKey:
		g.fail(w, failf(openai.CodeKeyRequired, engine.ExecutedNo, "calls of this kind need the header %s", HeaderKey))
	default:
		g.serveUnkeyed(w, c)
	}
}

func newServiceCall(g *Gateway, r *http.Request, row table.Row, body []byte, arrived time.Time) *serviceCall {
	rest := strings.TrimPrefix(r.URL.EscapedPath(), servicesPrefix)
	if i := strings.IndexByte(rest, '/'); i >= 0 {
		rest = rest[i:]
	} else {
		rest = "/"
	}
	decoded := strings.TrimPrefix(strings.TrimPrefix(r.URL.Path, servicesPrefix), row.Name)
	c := &serviceCall{
		g: g, r: r, row: row, target: rest, body: body, arrived: arrived,
		once: notIdempotent(row.NotIdempotent, r.Method, decoded),
	}
	if r.URL.RawQuery != "" {
		c.target += "?" + r.URL.RawQuery
	}
	pool := row.Pool
	if pool == "" {
		pool = row.Name
	}
	c.admit = admission.Request{
		Row: row.Name, Rank: row.Rank, Weight: row.Weight, Limits: row.Limits, Targets: row.Targets, Pool: pool,
		Fingerprint: openai.Fingerprint(row.Name, r.Method+" "+c.target+"\n"+string(body)),
	}
	return c
}

// notIdempotent reports whether a call matches one of the patterns "METHOD
// /path", where the path may end in "*". The path is matched as it came and in
// its shortest form, so that a service that ignores doubled slashes or dot
// segments can't be reached around the list.
func notIdempotent(patterns []string, method, p string) bool {
	clean := path.Clean("/" + p)
	return slices.ContainsFunc(patterns, func(pattern string) bool {
		m, want, _ := strings.Cut(pattern, " ")
		if m != method {
			return false
		}
		want = strings.TrimSpace(want)
		if prefix, ok := strings.CutSuffix(want, "*"); ok {
			return strings.HasPrefix(p, prefix) || strings.HasPrefix(clean, prefix)
		}
		return p == want || clean == path.Clean(want)
	})
}

// serveUnkeyed serves a call without a key: one that may be repeated, or one that
// is sent at most once by this instance.
func (g *Gateway) serveUnkeyed(w http.ResponseWriter, c *serviceCall) {
	a, f := c.exchange(c.r.Context())
	switch {
	case f == nil:
		outcome := OutcomeAnswered
		if err := g.writeService(w, a); err != nil {
			outcome = OutcomeCancelled
		}
		c.record(outcome)
	case c.r.Context().Err() != nil:
		c.record(OutcomeCancelled)
	default:
		g.fail(w, f)
		c.recordFailure(f)
	}
}

func (c *serviceCall) record(o Outcome) { c.g.record(c.served(o)) }

func (c *serviceCall) served(o Outcome) Served {
	return Served{Row: c.row.Name, Rank: c.row.Rank, Whole: time.Since(c.arrived), Outcome: o, Targets: c.row.Targets}
}

func (c *serviceCall) recordFailure(f *failure) {
	s := c.served(OutcomeFailed)
	if f.executed == engine.ExecutedNo {
		s.Outcome = OutcomeRefused
	}
	s.Code = f.err.Code
	c.g.record(s)
}

// exchange admits the call, sends it and returns the whole answer. A call that
// may be repeated is sent again elsewhere when its endpoint fails; any other
// only when the failed try certainly did not reach an endpoint. With the code
// CodeAnswerTooLarge the answer without its body is returned too.
func (c *serviceCall) exchange(ctx context.Context) (*serviceAnswer, *failure) {
	var last *failure
	executed := engine.ExecutedNo
	for attempt := range c.g.cfg.Limits.MaxAttempts {
		if attempt > 0 {
			if !sleep(ctx, min(retryFirst<<attempt, retryMax)) {
				return nil, last
			}
			c.admit.Readmitted = true
			c.g.counters.serviceRetry.Add(1)
		}
		c.admit.ID = c.g.sequence.Add(1)
		grant, err := c.g.control.Admit(ctx, c.admit)
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
		if ctx.Err() != nil || f.err.Code == openai.CodeAnswerTooLarge || c.once && executed != engine.ExecutedNo {
			return a, f
		}
		c.admit.Exclude = append(slices.Clone(c.admit.Exclude), grant.Endpoint.ID)
	}
	return nil, last
}

// attempt sends the call to the granted endpoint and finishes the grant.
func (c *serviceCall) attempt(ctx context.Context, grant admission.Grant) (a *serviceAnswer, f *failure) {
	start := time.Now()
	result := admission.ResultFailed
	defer func() {
		now := time.Now()
		c.g.control.Finish(admission.Outcome{
			ID: c.admit.ID, Endpoint: grant.Endpoint.ID, Result: result, Fingerprint: c.admit.Fingerprint,
			Trial: grant.Trial, Duration: now.Sub(start), Total: now.Sub(c.arrived),
		})
	}()
	sendCtx := ctx
	if c.once {
		// A call that must not be repeated is not broken off when its caller
		// hangs up, because its outcome would then be unknown.
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
		c.g.counters.lost.Add(1)
	}
	return a, f
}
