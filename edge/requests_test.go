package edge

import (
	"bufio"
	"context"
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

// Guards against a kind of request that is not served, or whose request line, body,
// model or answer is changed on the way.
func TestEveryKindIsServedUnchanged(t *testing.T) {
	is := is.New(t)
	d := startDeployment(t, 1)
	d.eventually("the instance gives orders", func() bool { return strings.Contains(d.logs.String(), "ordering=true") })
	for _, r := range []request{
		{Method: "GET", Path: "/look/a%2Fb?q=1&r=%20", ID: "k1"},
		{Method: "POST", Path: "/book/2f?x=y", ID: "k2", Body: "a booking"},
		{Method: "POST", Path: "/chat/c", ID: "k3", Body: "a prompt", Model: "m1"},
		{Method: "POST", Path: "/chat/c", ID: "k4", Body: "a prompt", Model: "m1/a2"},
		{Method: "POST", Path: "/once/c", ID: "k5", Body: "a prompt", Model: "m2"},
	} {
		got := d.do(0, r)
		is.NoErr(got.Err)
		is.Equal(got.Status, http.StatusOK)
		runs := d.Runs(r.ID)
		is.Equal(len(runs), 1)
		is.Equal(runs[0].Target, r.Path)
		is.Equal(runs[0].Method, r.Method)
		is.Equal(runs[0].Body, r.Body)
		is.Equal(runs[0].Model, r.Model)
		is.Equal(got.Header.Get("X-Hyssophaven-Server-Seal"), "seal-"+runs[0].Replica)
		if r.Model != "" {
			is.Equal(got.Body, platformtest.StreamBody(r.ID, 6))
		} else {
			is.Equal(got.Body, "answer of "+runs[0].Replica)
		}
	}
}

// Guards against a non-idempotent request that is sent again, or answered as if it had
// not run, after its answer was lost.
func TestLostAnswerOfNonIdempotentRequest(t *testing.T) {
	for _, method := range []string{"POST", "GET"} {
		t.Run(method, func(t *testing.T) {
			is := is.New(t)
			d := startDeployment(t, 1)
			d.do(0, request{Method: method, Path: "/book/warm"}) // leaves an idle connection in the pool
			platformtest.QueueFaultsOnAll(d.Apps, platformtest.DropAnswer)
			got := d.do(0, request{Method: method, Path: "/book/x", ID: "lost"})
			is.NoErr(got.Err)
			is.Equal(got.Status, http.StatusBadGateway)
			is.Equal(len(d.Runs("lost")), 1)
		})
	}
}

// Guards against an idempotent request that fails although another replica can run it,
// and against more runs than the route's maximum of attempts.
func TestIdempotentRequestIsRetried(t *testing.T) {
	for name, fault := range map[string]platformtest.Fault{
		"lost": platformtest.DropAnswer, "failed": platformtest.Fail, "shed": platformtest.Shed, "foreign": platformtest.WrongRequestID, "mute": platformtest.NeverAnswer,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := startDeployment(t, 1)
			before := len(d.Apps[0].Runs()) + len(d.Apps[1].Runs())
			is.True(before > 0)
			// One replica has the fault; the other is healthy.
			d.Apps[0].QueueFaults(fault)
			for i := 0; i < 6; i++ {
				id := fmt.Sprintf("again-%d", i)
				got := d.do(0, request{Method: "GET", Path: "/look/x", ID: id})
				is.NoErr(got.Err)
				is.Equal(got.Status, http.StatusOK)
				is.True(len(d.Runs(id)) <= 2)
			}
		})
	}
}

// Guards against status 503 for a request that ran: if both replicas ran the request
// and failed, the caller gets a replica's failure.
func TestFailureOfAllAttempts(t *testing.T) {
	is := is.New(t)
	d := startDeployment(t, 1)
	platformtest.QueueFaultsOnAll(d.Apps, platformtest.Fail)
	got := d.do(0, request{Method: "GET", Path: "/look/x", ID: "both"})
	is.NoErr(got.Err)
	is.Equal(got.Status, http.StatusInternalServerError)
	is.True(got.Header.Get("X-Hyssophaven-Server-Seal") != "")
	is.Equal(len(d.Runs("both")), 2)
}

// Guards against a wrong status for a request that all replicas shed. It has not run,
// so the caller gets 503 with Retry-After.
func TestShedRequestIsRefused(t *testing.T) {
	is := is.New(t)
	d := startDeployment(t, 1)
	platformtest.QueueFaultsOnAll(d.Apps, platformtest.Shed)
	got := d.do(0, request{Method: "POST", Path: "/book/x", ID: "shed"})
	is.NoErr(got.Err)
	is.Equal(got.Status, http.StatusServiceUnavailable)
	is.True(got.Header.Get("Retry-After") != "")
	is.Equal(len(d.Runs("shed")), 0)
}

// Guards against missing, duplicate or truncated events when a stream is resumed at
// another replica, and against a resumption after the wrong event.
func TestBrokenStreamIsResumed(t *testing.T) {
	is := is.New(t)
	d := startDeployment(t, 1)
	platformtest.QueueFaultsOnAll(d.Engines, platformtest.CutStream)
	// Each engine breaks off one stream. The first run is resumed at the other engine,
	// where it breaks off again.
	got := d.do(0, request{Method: "POST", Path: "/chat/x", ID: "first", Model: "m1", Body: "p"})
	is.True(got.Err != nil || got.Body == platformtest.StreamBody("first", 6))
	d.Engines[0].QueueFaults(platformtest.CutStream)
	for i := range 4 {
		id := fmt.Sprintf("resumed-%d", i)
		got = d.do(0, request{Method: "POST", Path: "/chat/x", ID: id, Model: "m1", Body: id})
		is.NoErr(got.Err)
		is.Equal(got.Body, platformtest.StreamBody(id, 6))
		if runs := d.Runs(id); len(runs) == 2 {
			is.True(runs[0].LastEvent == 3 || runs[1].LastEvent == 3)
		}
	}
}

// Guards against a replica's error answer that is appended to the events of a broken
// stream, which then looks complete (hunt-f1af-15).
func TestFailureIsNotAppendedToEvents(t *testing.T) {
	is := is.New(t)
	d := startDeployment(t, 1)
	for _, e := range d.Engines {
		e.FailResumed = true
		e.QueueFaults(platformtest.CutStream)
	}
	got := d.do(0, request{Method: "POST", Path: "/chat/x", ID: "one", Model: "m1", Body: "p"})
	is.True(got.Err != nil) // the connection is aborted
	is.Equal(got.Body, platformtest.StreamBody("one", 3))
	is.Equal(len(d.Runs("one")), 2)
}

// Guards against a broken stream that is not resumable and yet ends as if it were
// complete.
func TestBrokenStreamAbortsConnection(t *testing.T) {
	is := is.New(t)
	d := startDeployment(t, 1)
	platformtest.QueueFaultsOnAll(d.Engines, platformtest.CutStream)
	got := d.do(0, request{Method: "POST", Path: "/once/x", ID: "off", Model: "m1", Body: "p"})
	is.True(got.Err != nil)
	is.Equal(got.Body, platformtest.StreamBody("off", 3))
	is.Equal(len(d.Runs("off")), 1)
}

// Guards against an answer that is relayed to the wrong request: the replica sends a
// second, unrequested answer on a connection that is reused.
func TestUnrequestedAnswerIsNotRelayed(t *testing.T) {
	is := is.New(t)
	d := startDeployment(t, 1)
	for i := range 8 {
		platformtest.QueueFaultsOnAll(d.Apps, platformtest.ExtraAnswer)
		got := d.do(0, request{Method: "POST", Path: "/book/x", ID: fmt.Sprintf("extra-%d", i), Body: "b"})
		is.NoErr(got.Err)
		is.Equal(got.Status, http.StatusOK)
		is.True(strings.HasPrefix(got.Body, "answer of app-"))
		is.Equal(len(d.Runs(fmt.Sprintf("extra-%d", i))), 1)
	}
}

// Guards against a replica that keeps running a request after its caller has left.
func TestRunIsCanceledWhenCallerLeaves(t *testing.T) {
	d := startDeployment(t, 1)
	for _, e := range d.Engines {
		e.EventGap = 100 * time.Millisecond
	}
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		d.eventually("the request runs", func() bool { return len(d.Runs("leaver")) == 1 })
		cancel()
	}()
	d.doContext(ctx, 0, request{Method: "POST", Path: "/chat/x", ID: "leaver", Model: "m1"})
	d.eventually("the run is canceled", func() bool { return d.Engines[0].CanceledRuns()+d.Engines[1].CanceledRuns() > 0 })
}

// Guards against a request that is not ended at the timeout of its route or its caller.
func TestTimeoutEndsTheRequest(t *testing.T) {
	is := is.New(t)
	d := startDeployment(t, 1)
	platformtest.QueueFaultsOnAll(d.Apps, platformtest.NeverAnswer)
	got := d.do(0, request{Method: "POST", Path: "/book/x", ID: "slow", TimeLeft: 300 * time.Millisecond})
	is.NoErr(got.Err)
	is.Equal(got.Status, http.StatusGatewayTimeout)
	runs := d.Runs("slow")
	is.Equal(len(runs), 1)
	is.True(runs[0].TimeLeft <= 300*time.Millisecond)
}

// Guards against callers' values of system headers that are forwarded to replicas.
func TestSystemHeadersOfCallersAreDropped(t *testing.T) {
	is := is.New(t)
	d := startDeployment(t, 1)
	got := d.do(0, request{Method: "POST", Path: "/chat/x", ID: "forged", Model: "m1", Header: http.Header{
		"X-Hyssophaven-Urgency-Level": {"0"}, "X-Hyssophaven-Target-Instance": {"other"}, "X-Hyssophaven-Pin-Ms": {"4000"},
	}})
	is.Equal(got.Status, http.StatusOK)
	is.True(d.Runs("forged")[0].Urgency != "0")
}

// Guards against wrong statuses for requests that the config does not allow.
func TestRequestsThatConfigRefuses(t *testing.T) {
	is := is.New(t)
	d := startDeployment(t, 1)
	is.Equal(d.do(0, request{Method: "GET", Path: "/nowhere/x"}).Status, http.StatusNotFound)
	is.Equal(d.do(0, request{Method: "POST", Path: "/book/x", Body: strings.Repeat("x", 200_000)}).Status, http.StatusRequestEntityTooLarge)
	long := http.Header{"X-Long": {strings.Repeat("x", 20_000)}} // the config allows heads of 16 KB
	is.Equal(d.do(0, request{Method: "GET", Path: "/look/x", Header: long}).Status, http.StatusRequestHeaderFieldsTooLarge)
	is.Equal(d.do(0, request{Method: "GET", Path: "/look/x", Header: http.Header{"X-Long": {strings.Repeat("x", 12_000)}}}).Status, http.StatusOK)
	req, err := http.NewRequest("GET", "http://"+d.nodes[0].Callers+"/look/x", nil)
	is.NoErr(err)
	req.Host = "h.example"
	resp, err := http.DefaultClient.Do(req)
	is.NoErr(err)
	is.NoErr(resp.Body.Close())
	is.Equal(resp.StatusCode, http.StatusBadRequest) // the request has no id
}

// Guards against request smuggling: a second request is hidden behind a body that has
// both a length and chunked encoding.
func TestSmuggledRequestDoesNotRun(t *testing.T) {
	is := is.New(t)
	d := startDeployment(t, 1)
	conn, err := net.Dial("tcp", d.nodes[0].Callers)
	is.NoErr(err)
	defer conn.Close()
	is.NoErr(conn.SetDeadline(time.Now().Add(hangTimeout)))
	_, err = io.WriteString(conn, "POST /book/x HTTP/1.1\r\nHost: h.example\r\nX-Hyssophaven-Attempt-Id: outer\r\n"+
		"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"+
		"POST /book/y HTTP/1.1\r\nHost: h.example\r\nX-Hyssophaven-Attempt-Id: inner\r\nContent-Length: 0\r\n\r\n")
	is.NoErr(err)
	_, err = io.ReadAll(bufio.NewReader(conn)) // returns when the server closes the connection
	is.NoErr(err)
	is.Equal(len(d.Runs("inner")), 0)
}

// Guards against idle connections to replicas that stay open for ever, and use up the
// descriptors of the instance.
func TestExpiredConnectionsToReplicasAreClosed(t *testing.T) {
	is := is.New(t)
	d := startDeployment(t, 1)
	metric := func(line string) bool {
		_, text := d.get("http://" + d.nodes[0].PeerHost + ":" + MetricsPort + MetricsPath)
		return strings.Contains(text, line+"\n")
	}
	is.Equal(d.do(0, request{Method: "GET", Path: "/look/x"}).Status, http.StatusOK)
	is.True(!metric("connections_idle 0"))
	d.eventually("the idle connections are closed", func() bool { return metric("connections_idle 0") })
}
