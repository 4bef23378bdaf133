package ingress

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"

	"github.com/hyssophaven/hyssophaven/catalog"
	"github.com/hyssophaven/hyssophaven/controlplane"
	"github.com/hyssophaven/hyssophaven/dispatch"
	"github.com/hyssophaven/hyssophaven/internal/rawservertest"
	"github.com/hyssophaven/hyssophaven/metrics"
	"github.com/hyssophaven/hyssophaven/nodeconfig"
	"github.com/hyssophaven/hyssophaven/upstream"
)

// idProtocol takes every answer for a signed one.
type idProtocol struct{ anyProtocol }

func (idProtocol) ReadAnswer(int, http.Header) AnswerHead { return AnswerHead{Signed: true} }

func answerID(h http.Header) string { return h.Get("Request-Id") }

// Guards against a silent replica that goes on with a request, or is left for one that does
// not, because the replica that takes it over sends an extra answer to the previous request.
func TestExtraAnswerDelaysNoHandover(t *testing.T) {
	for name, silentGoesOnAfter := range map[string]time.Duration{"other one answers": hangTimeout, "silent one goes on": handoverTime} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			answered := make(chan time.Time, 1)
			other := rawservertest.Start(t, func(c net.Conn, n int64) {
				if n > 1 {
					time.Sleep(4 * handoverTime / 5)
				}
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nRequest-Id: before\r\nContent-Length: 2\r\n\r\nok")
				if n > 1 {
					time.Sleep(4 * handoverTime / 5)
					answered <- time.Now()
					_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nRequest-Id: next\r\nContent-Length: 2\r\n\r\nok")
				}
			})
			silent := rawservertest.Start(t, func(c net.Conn, _ int64) {
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nRequest-Id: next\r\nContent-Length: 2\r\n\r\n")
				time.Sleep(silentGoesOnAfter)
				_, _ = io.WriteString(c, "ok")
			})
			service := New(Options{
				Log: log.New(io.Discard), Metrics: metrics.New(), Protocol: idProtocol{}, Pool: upstream.NewPool((&net.Dialer{}).DialContext, answerID),
			})
			service.control = controlplane.New(nodeconfig.Node{}, log.New(io.Discard), metrics.New())
			call := upstream.Call{Method: "GET", Target: "/", Host: "h"}
			before, err := service.pool.Do(t.Context(), upstream.Endpoint{Address: other.Address}, &upstream.Request{ID: "before", Call: call}, hangTimeout)
			is.NoErr(err)
			_, err = io.ReadAll(before)
			is.NoErr(err)
			before.Close(true)

			x := &exchange{service: service, r: httptest.NewRequest("GET", "/", nil), head: RequestHead{ID: "next"}, request: &dispatch.Request{Deadline: time.Now().Add(hangTimeout)}, route: &catalog.Route{}}
			sendTo := func(address string) *send {
				s := &send{flight: &controlplane.Flight{Decision: dispatch.Decision{Replica: &catalog.Replica{ID: "r"}}}}
				s.answer, err = service.pool.Send(t.Context(), upstream.Endpoint{Address: address}, &upstream.Request{ID: "next", Call: call})
				is.NoErr(err)
				t.Cleanup(func() { s.answer.Close(false) })
				return s
			}
			first := sendTo(silent.Address)
			is.NoErr(x.readHead(t.Context(), first, hangTimeout))
			s := sendTo(other.Address)
			is.Equal(service.pool.ConnectionsOpened(), int64(2)) // the one to other is used again
			begun := time.Now()
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			stop := context.AfterFunc(ctx, s.answer.Abort) // as for a send with ctx
			defer stop()
			result := x.awaitEither(ctx, cancel, first, x.awaitSilent(first, cancel), s)
			ended := time.Now()
			is.Equal(s.flight.HeadSeen, silentGoesOnAfter == hangTimeout) // the extra answer is not the head
			if silentGoesOnAfter < hangTimeout {
				is.Equal(result, silentGoesOn)
				is.True(ended.Sub(begun) < handoverTime*3/2)
				return
			}
			is.Equal(result, takenOver)
			if took := ended.Sub(<-answered); took > handoverTime/2 {
				t.Fatalf("taken over %v after the answer", took)
			}
		})
	}
}
