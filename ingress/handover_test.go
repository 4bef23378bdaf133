package ingress

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"

	"github.com/hyssophaven/hyssophaven/catalog"
	"github.com/hyssophaven/hyssophaven/controlplane"
	"github.com/hyssophaven/hyssophaven/dispatch"
	"github.com/hyssophaven/hyssophaven/metrics"
	"github.com/hyssophaven/hyssophaven/nodeconfig"
	"github.com/hyssophaven/hyssophaven/upstream"
)

// idProtocol takes every answer for a signed one.
type idProtocol struct{ anyProtocol }

func (idProtocol) ReadAnswer(int, http.Header) AnswerHead { return AnswerHead{Signed: true} }

func answerID(h http.Header) string { return h.Get("Request-Id") }

// Guards against a silent replica that goes on with a request for longer than handoverTime
// because the replica that takes it over sends an extra answer to the previous request.
func TestExtraAnswerDelaysNoHandover(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	t.Cleanup(func() { _ = l.Close() })
	extraSent := make(chan struct{})
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		reader := bufio.NewReader(c)
		for n := 0; ; n++ {
			if _, err := http.ReadRequest(reader); err != nil {
				return
			}
			if n > 0 {
				time.Sleep(4 * handoverTime / 5)
			}
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nRequest-Id: before\r\nContent-Length: 2\r\n\r\nok")
			if n > 0 {
				close(extraSent)
				time.Sleep(handoverTime)
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nRequest-Id: next\r\nContent-Length: 2\r\n\r\nok")
				return
			}
		}
	}()
	service := New(Options{
		Log: log.New(io.Discard), Metrics: metrics.New(), Protocol: idProtocol{}, Pool: upstream.NewPool((&net.Dialer{}).DialContext, answerID),
	})
	service.control = controlplane.New(nodeconfig.Node{}, log.New(io.Discard), metrics.New())
	call, endpoint := upstream.Call{Method: "GET", Target: "/", Host: "h"}, upstream.Endpoint{Address: l.Addr().String()}
	before, err := service.pool.Do(t.Context(), endpoint, &upstream.Request{ID: "before", Call: call}, hangTimeout)
	is.NoErr(err)
	_, err = io.ReadAll(before)
	is.NoErr(err)
	before.Close(true)

	x := &exchange{service: service, head: RequestHead{ID: "next"}, request: &dispatch.Request{Deadline: time.Now().Add(hangTimeout)}, route: &catalog.Route{}}
	s := &send{flight: &controlplane.Flight{Decision: dispatch.Decision{Replica: &catalog.Replica{ID: "r"}}}}
	s.answer, err = service.pool.Send(t.Context(), endpoint, &upstream.Request{ID: "next", Call: call})
	is.NoErr(err)
	defer s.answer.Close(false)
	is.Equal(service.pool.ConnectionsOpened(), int64(1))
	begun := time.Now()
	is.True(x.takesOver(t.Context(), s))
	is.True(!s.flight.HeadSeen)
	select {
	case <-extraSent:
	default:
		t.Fatal("taken over before the extra answer")
	}
	if took := time.Since(begun); took > handoverTime*3/2 {
		t.Fatalf("taken over after %v", took)
	}
	is.NoErr(x.readHead(t.Context(), s, hangTimeout)) // the extra answer was skipped
	is.True(s.flight.HeadSeen)
}
