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
	"github.com/hyssophaven/hyssophaven/dispatch"
	"github.com/hyssophaven/hyssophaven/metrics"
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
