package edge

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hyssophaven/hyssophaven/platform"
	"github.com/hyssophaven/hyssophaven/platform/platformtest"
)

// Guards against an open request that a new config ends, whether its body is being
// read, it waits for its model, its replica has not answered yet, or it is a stream.
// The config removes the request's route, and shortens timeouts and limits.
func TestConfigChangeKeepsOpenRequests(t *testing.T) {
	is := is.NewRelaxed(t)
	d := startDeployment(t, 1)
	for _, r := range append(d.Engines, d.Apps...) {
		r.EventGap, r.ServiceTime = 250*time.Millisecond, 1200*time.Millisecond
	}
	d.putSlowConfig()
	d.loadModel()
	requests := []request{
		{Method: "POST", Path: "/slow-chat/x", ID: "waits", Model: loadingModel}, {Method: "POST", Path: "/book/x", ID: "book"},
		{Method: "POST", Path: "/chat/x", ID: "chat", Model: "m1"}, {Method: "POST", Path: "/once/x", ID: "once", Model: "m1"},
	}
	replies := make([]reply, len(requests))
	var wg sync.WaitGroup
	for n, r := range requests {
		wg.Go(func() { replies[n] = d.do(0, r) })
	}
	conn, err := net.Dial("tcp", d.nodes[0].Callers)
	is.NoErr(err)
	defer conn.Close()
	is.NoErr(conn.SetDeadline(time.Now().Add(hangTimeout)))
	_, err = io.WriteString(conn, "POST /slow-book/x HTTP/1.1\r\nHost: h.example\r\nX-Hyssophaven-Attempt-Id: body\r\nContent-Length: 20\r\n\r\nhalf")
	is.NoErr(err)
	d.eventually("the requests are open", func() bool {
		return strings.Contains(d.logs.String(), `msg="request waits" request=waits`) && len(d.Runs("book"))*len(d.Runs("chat"))*len(d.Runs("once")) == 1
	})
	for version := 3; version < 6; version++ { // each starts a new server for callers
		idle := fmt.Sprint(1000 * version)
		d.Store.Put(platform.ConfigTable, platform.ConfigKey, slowConfig(version, `"path-prefix":"/`, `"path-prefix":"/new/`,
			`"timeout-ms":1500`, `"timeout-ms":100`, `"timeout-ms":8000`, `"timeout-ms":100`, `"max-body-bytes":100000`, `"max-body-bytes":10`, `"idle-timeout-ms":15000`, `"idle-timeout-ms":`+idle))
		d.eventually("the config is in force", func() bool {
			return d.do(0, request{Method: "GET", Path: "/look/x"}).Status == http.StatusNotFound && strings.Contains(d.logs.String(), fmt.Sprintf("version=%d routes", version))
		})
	}
	d.Store.Put(platform.ReplicaTable, d.Engines[0].ID, d.Engines[0].Row("llm", "z1", "in_service")) // holds loadingModel
	_, err = io.WriteString(conn, "of the body here")
	is.NoErr(err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusOK)
	wg.Wait()
	for n, got := range replies {
		is.NoErr(got.Err)
		is.Equal(got.Status, http.StatusOK)
		if requests[n].Model != "" {
			is.Equal(got.Body, platformtest.StreamBody(requests[n].ID, 6))
		}
	}
}
