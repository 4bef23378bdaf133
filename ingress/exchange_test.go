package ingress

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"

	"github.com/hyssophaven/hyssophaven/catalog"
	"github.com/hyssophaven/hyssophaven/controlplane"
	"github.com/hyssophaven/hyssophaven/dispatch"
	"github.com/hyssophaven/hyssophaven/kernel"
	"github.com/hyssophaven/hyssophaven/metrics"
	"github.com/hyssophaven/hyssophaven/nodeconfig"
)

// fakeProtocol only implements SetRefusalHeaders, which does nothing.
type fakeProtocol struct{ Protocol }

func (fakeProtocol) SetRefusalHeaders(http.Header, string, time.Duration) {}

// Guards against status 502 instead of 504 for a replica that sent nothing until the
// request's deadline, if the answer timeout expires just before the deadline.
// This made TestTimeoutEndsTheRequest of package edge fail once in CI under load.
func TestStatusAfterFailedAttempt(t *testing.T) {
	is := is.New(t)
	service := New(Options{Log: log.New(io.Discard), Metrics: metrics.New(), Protocol: fakeProtocol{}})
	for outcome, want := range map[dispatch.Outcome]int{
		dispatch.TimedOut: http.StatusGatewayTimeout, dispatch.ConnectionBroken: http.StatusBadGateway,
	} {
		w := httptest.NewRecorder()
		x := &exchange{
			service: service, w: w, r: httptest.NewRequest("POST", "/", nil), route: &catalog.Route{}, arrived: time.Now(), possibleRuns: 1, lastOutcome: outcome,
		}
		x.giveUp(context.Background(), outcome.String(), 0)
		is.Equal(w.Code, want)
	}
}

// Guards against a request without an answer if the control goroutine ends before it
// decides on the request.
func TestRequestIsRefusedAfterControlGoroutineEnded(t *testing.T) {
	is := is.New(t)
	k, err := kernel.New()
	is.NoErr(err)
	service := New(Options{Log: log.New(io.Discard), Metrics: metrics.New(), Protocol: fakeProtocol{}})
	service.control = controlplane.New(nodeconfig.Node{}, log.New(io.Discard), metrics.New())
	k.Register(service.control)
	is.NoErr(k.Start(t.Context()))
	is.NoErr(k.Stop(t.Context()))
	for range 20 { // both steps of a call can find that the goroutine has ended
		w, now := httptest.NewRecorder(), time.Now()
		x := &exchange{
			service: service, w: w, r: httptest.NewRequest("POST", "/", nil), route: &catalog.Route{}, arrived: now,
			request: &dispatch.Request{Route: &catalog.Route{}, Arrived: now, Deadline: now.Add(hangTimeout)},
		}
		x.run()
		is.Equal(w.Code, http.StatusServiceUnavailable)
	}
}
