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

type noProtocol struct{ Protocol }

func (noProtocol) Refuse(http.Header, string, time.Duration) {}

// Guards against 502 for a replica that stayed silent to the end of the
// request's time, when its own wait ended a moment before that
// (TestTimeEndsTheRequest of package edge, seen once in CI beside load).
func TestStatusOfARequestThatRan(t *testing.T) {
	is := is.New(t)
	g := New(Options{Log: log.New(io.Discard), Metrics: metrics.New(), Protocol: noProtocol{}})
	for outcome, want := range map[dispatch.Outcome]int{
		dispatch.TimedOut: http.StatusGatewayTimeout, dispatch.ConnectionBroken: http.StatusBadGateway,
	} {
		w := httptest.NewRecorder()
		x := &exchange{
			gateway: g, w: w, r: httptest.NewRequest("POST", "/", nil), route: &catalog.Route{}, arrived: time.Now(), ran: 1, last: outcome,
		}
		x.giveUp(context.Background(), outcome.String(), 0)
		is.Equal(w.Code, want)
	}
}
