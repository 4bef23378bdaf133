package actuator

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"

	"github.com/hyssophaven/hyssophaven/bootclock"
	"github.com/hyssophaven/hyssophaven/controlplane"
	"github.com/hyssophaven/hyssophaven/internal/rawservertest"
	"github.com/hyssophaven/hyssophaven/residency"
	"github.com/hyssophaven/hyssophaven/upstream"
)

// Guards against an answer with a status that HTTP does not have, without its whole head or
// body, or with a malformed line, that is taken for the outcome of an order or for a report.
func TestMalformedAnswerIsNoOutcome(t *testing.T) {
	for _, malformed := range append(rawservertest.MalformedAnswers("{}"), rawservertest.MalformedLines("200 OK", "{}")...) {
		t.Run(malformed.Name, func(t *testing.T) {
			is := is.New(t)
			server := malformed.Start(t, "")
			s := New(nil, upstream.NewDedicated((&net.Dialer{}).DialContext), fakeCodec{}, log.New(io.Discard))
			outcome, err := s.deliverOrder(t.Context(), controlplane.SendOrder{Order: &residency.Order{Address: server.Address}, Until: bootclock.Now().Add(time.Hour)})
			is.True(err != nil)
			is.Equal(outcome, residency.Unknown)
			report, err := s.fetchReport(t.Context(), controlplane.ReadReplicaReport{Address: server.Address})
			is.True(err != nil)
			is.True(report == nil)
		})
	}
}
