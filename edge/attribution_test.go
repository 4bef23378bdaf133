package edge

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hyssophaven/hyssophaven/platform/platformtest"
)

// Guards against a request that gets the answer to an order, or runs twice because such an
// answer counts as the statement that it has not run.
func TestAnswerToOrderIsNoAnswerToRequest(t *testing.T) {
	for _, status := range []int{http.StatusConflict, http.StatusMisdirectedRequest, http.StatusServiceUnavailable} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			is := is.NewRelaxed(t)
			d := startDeployment(t, 1)
			d.eventually("the instance gives orders", func() bool { return d.logged("ordering=true") })
			for _, r := range d.Engines {
				r.RefuseOrders(status)
			}
			for n := range 8 {
				d.do(0, request{Method: "POST", Path: "/once/x", Model: fmt.Sprintf("m1/a%d", n%8+1), Body: "p", TimeLeft: 300 * time.Millisecond})
				for k := range 4 {
					id := fmt.Sprintf("plain-%d-%d", n, k)
					got := d.do(0, request{Method: "POST", Path: "/once/x", ID: id, Model: "m1", Body: "p"})
					is.NoErr(got.Err)
					is.Equal(got.Status, http.StatusOK)
					is.Equal(got.Body, platformtest.StreamBody(id, 6))
					is.Equal(len(d.Runs(id)), 1)
				}
			}
			is.True(d.logged("order answered"))
		})
	}
}

// Guards against a failure without an ID that is relayed, or counts as the statement that
// the request has not run.
func TestFailureWithoutIDTellsNothing(t *testing.T) {
	for _, status := range []string{"421 Misdirected Request", "503 Service Unavailable", "429 Too Many Requests", "400 Bad Request", "409 Conflict", "500 Internal Server Error"} {
		t.Run(status, func(t *testing.T) {
			is := is.New(t)
			d := startDeployment(t, 1)
			setRawAnswer(d.Apps, func(c net.Conn, _ string, _ int) {
				_, _ = io.WriteString(c, "HTTP/1.1 "+status+"\r\nX-Hyssophaven-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
			})
			got := d.do(0, request{Method: "POST", Path: "/book/x", ID: "book", Body: "b"})
			is.NoErr(got.Err)
			is.Equal(got.Status, http.StatusBadGateway)
			is.Equal(len(d.Runs("book")), 1)
			got = d.do(0, request{Method: "GET", Path: "/look/x", ID: "look"})
			is.NoErr(got.Err)
			is.Equal(got.Status, http.StatusBadGateway)
			is.Equal(len(d.Runs("look")), 2) // idempotent
		})
	}
}

// Guards against an idle connection that outlives the process that it leads to, whose
// address another one can take over.
func TestConnectionsEndWithTheirReplica(t *testing.T) {
	for name, end := range map[string]func(d *deployment, r *platformtest.Replica){
		"removed": func(d *deployment, r *platformtest.Replica) { d.Store.Remove("servers", r.ID) },
		"restarted": func(d *deployment, r *platformtest.Replica) {
			row := r.Row("app", "z1", "in_service")
			row.Born++
			d.Store.Put("servers", r.ID, row)
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := startDeployment(t, 1)
			metric := func(line string) bool {
				_, text := d.get("http://" + d.nodes[0].PeerHost + ":" + MetricsPort + MetricsPath)
				return strings.Contains(text, line+"\n")
			}
			d.eventually("a connection is idle", func() bool {
				return d.do(0, request{Method: "GET", Path: "/look/x"}).Status == http.StatusOK && !metric("connections_idle 0")
			})
			ended := time.Now()
			for _, r := range d.Apps {
				end(d, r)
			}
			d.eventually("the idle connections are closed", func() bool { return metric("connections_idle 0") })
			is.True(time.Since(ended) < 2*time.Second) // idle connections expire after 4 s
		})
	}
}
