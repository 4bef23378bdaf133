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

// Guards against a kind of request that is not served, or served with a changed
// line, body, model or answer.
func TestEveryKindIsServedUnchanged(t *testing.T) {
	is := is.New(t)
	d := start(t, 1)
	d.eventually("the instance gives orders", func() bool { return strings.Contains(d.logs.String(), "ordering=true") })
	for _, r := range []request{
		{method: "GET", path: "/look/a%2Fb?q=1&r=%20", id: "k1"},
		{method: "POST", path: "/book/2f?x=y", id: "k2", body: "a booking"},
		{method: "POST", path: "/chat/c", id: "k3", body: "a prompt", model: "m1"},
		{method: "POST", path: "/chat/c", id: "k4", body: "a prompt", model: "m1/a2"},
		{method: "POST", path: "/once/c", id: "k5", body: "a prompt", model: "m2"},
	} {
		got := d.do(0, r)
		is.NoErr(got.err)
		is.Equal(got.status, http.StatusOK)
		runs := d.runs(r.id)
		is.Equal(len(runs), 1)
		is.Equal(runs[0].Target, r.path)
		is.Equal(runs[0].Method, r.method)
		is.Equal(runs[0].Body, r.body)
		is.Equal(runs[0].Model, r.model)
		is.Equal(got.header.Get("X-Hyssophaven-Server-Seal"), "seal-"+runs[0].Replica)
		if r.model != "" {
			is.Equal(got.body, platformtest.Events(r.id, 6))
		} else {
			is.Equal(got.body, "answer of "+runs[0].Replica)
		}
	}
}

// Guards against a request that may run once but is sent again, or is said not
// to have run, after its answer was lost.
func TestLostAnswerOfNonIdempotentRequest(t *testing.T) {
	for _, method := range []string{"POST", "GET"} {
		t.Run(method, func(t *testing.T) {
			is := is.New(t)
			d := start(t, 1)
			d.do(0, request{method: method, path: "/book/warm"}) // leaves a kept connection
			faultAll(d.apps, platformtest.Lose)
			got := d.do(0, request{method: method, path: "/book/x", id: "lost"})
			is.NoErr(got.err)
			is.Equal(got.status, http.StatusBadGateway)
			is.Equal(len(d.runs("lost")), 1)
		})
	}
}

// Guards against an idempotent request that fails although another replica can
// run it, and against more runs than the route's attempts.
func TestIdempotentRequestIsSentAgain(t *testing.T) {
	for name, fault := range map[string]platformtest.Fault{
		"lost": platformtest.Lose, "failed": platformtest.Fail, "shed": platformtest.Shed, "foreign": platformtest.Foreign, "mute": platformtest.Mute,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := start(t, 1)
			before := len(d.apps[0].Runs()) + len(d.apps[1].Runs())
			is.True(before > 0)
			// One replica has the fault; the other serves.
			d.apps[0].Fault(fault)
			for i := 0; i < 6; i++ {
				id := fmt.Sprintf("again-%d", i)
				got := d.do(0, request{method: "GET", path: "/look/x", id: id})
				is.NoErr(got.err)
				is.Equal(got.status, http.StatusOK)
				is.True(len(d.runs(id)) <= 2)
			}
		})
	}
}

// Guards against a refusal that hides a run: when both replicas have run the
// request and failed, the caller gets the replica's failure, never 503.
func TestFailureOfAllAttempts(t *testing.T) {
	is := is.New(t)
	d := start(t, 1)
	faultAll(d.apps, platformtest.Fail)
	got := d.do(0, request{method: "GET", path: "/look/x", id: "both"})
	is.NoErr(got.err)
	is.Equal(got.status, http.StatusInternalServerError)
	is.True(got.header.Get("X-Hyssophaven-Server-Seal") != "")
	is.Equal(len(d.runs("both")), 2)
}

// Guards against a refused request that ran: when all replicas shed it, the
// caller gets 503 with the time to come back.
func TestShedRequestIsRefused(t *testing.T) {
	is := is.New(t)
	d := start(t, 1)
	faultAll(d.apps, platformtest.Shed)
	got := d.do(0, request{method: "POST", path: "/book/x", id: "shed"})
	is.NoErr(got.err)
	is.Equal(got.status, http.StatusServiceUnavailable)
	is.True(got.header.Get("Retry-After") != "")
	is.Equal(len(d.runs("shed")), 0)
}

// Guards against pieces that are missing, doubled or cut when a stream goes on
// at another replica, and against a resumed stream with the wrong last event.
func TestBrokenStreamGoesOnElsewhere(t *testing.T) {
	is := is.New(t)
	d := start(t, 1)
	faultAll(d.engines, platformtest.BreakOff)
	// Both break off once: the first run is resumed, and the second breaks too.
	got := d.do(0, request{method: "POST", path: "/chat/x", id: "first", model: "m1", body: "p"})
	is.True(got.err != nil || got.body == platformtest.Events("first", 6))
	d.engines[0].Fault(platformtest.BreakOff)
	for i := range 4 {
		id := fmt.Sprintf("resumed-%d", i)
		got = d.do(0, request{method: "POST", path: "/chat/x", id: id, model: "m1", body: id})
		is.NoErr(got.err)
		is.Equal(got.body, platformtest.Events(id, 6))
		if runs := d.runs(id); len(runs) == 2 {
			is.True(runs[0].LastEvent == 3 || runs[1].LastEvent == 3)
		}
	}
}

// Guards against a replica's failure that is appended to the events of a broken
// stream, which then looks complete (hunt-f1af-15).
func TestFailureDoesNotFollowEvents(t *testing.T) {
	is := is.New(t)
	d := start(t, 1)
	for _, e := range d.engines {
		e.FailResumed = true
		e.Fault(platformtest.BreakOff)
	}
	got := d.do(0, request{method: "POST", path: "/chat/x", id: "one", model: "m1", body: "p"})
	is.True(got.err != nil) // the answer breaks off
	is.Equal(got.body, platformtest.Events("one", 3))
	is.Equal(len(d.runs("one")), 2)
}

// Guards against a stream that may not be resumed and ends as complete after it
// broke off.
func TestBrokenStreamBreaksOff(t *testing.T) {
	is := is.New(t)
	d := start(t, 1)
	faultAll(d.engines, platformtest.BreakOff)
	got := d.do(0, request{method: "POST", path: "/once/x", id: "off", model: "m1", body: "p"})
	is.True(got.err != nil)
	is.Equal(got.body, platformtest.Events("off", 3))
	is.Equal(len(d.runs("off")), 1)
}

// Guards against an answer that reaches another request: a second answer waits
// on the kept connection when the next request is sent.
func TestExtraAnswerBelongsToNobody(t *testing.T) {
	is := is.New(t)
	d := start(t, 1)
	for i := range 8 {
		faultAll(d.apps, platformtest.Extra)
		got := d.do(0, request{method: "POST", path: "/book/x", id: fmt.Sprintf("extra-%d", i), body: "b"})
		is.NoErr(got.err)
		is.Equal(got.status, http.StatusOK)
		is.True(strings.HasPrefix(got.body, "answer of app-"))
		is.Equal(len(d.runs(fmt.Sprintf("extra-%d", i))), 1)
	}
}

// Guards against a replica that works on after its caller has left.
func TestCallerThatLeavesCancelsTheRun(t *testing.T) {
	d := start(t, 1)
	for _, e := range d.engines {
		e.EventGap = 100 * time.Millisecond
	}
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		d.eventually("the request runs", func() bool { return len(d.runs("leaver")) == 1 })
		cancel()
	}()
	d.doContext(ctx, 0, request{method: "POST", path: "/chat/x", id: "leaver", model: "m1"})
	d.eventually("the run is canceled", func() bool { return d.engines[0].Canceled()+d.engines[1].Canceled() > 0 })
}

// Guards against a request that is held past its route's time or its caller's.
func TestTimeEndsTheRequest(t *testing.T) {
	is := is.New(t)
	d := start(t, 1)
	faultAll(d.apps, platformtest.Mute)
	got := d.do(0, request{method: "POST", path: "/book/x", id: "slow", timeLeft: 300 * time.Millisecond})
	is.NoErr(got.err)
	is.Equal(got.status, http.StatusGatewayTimeout)
	runs := d.runs("slow")
	is.Equal(len(runs), 1)
	is.True(runs[0].TimeLeft <= 300*time.Millisecond)
}

// Guards against headers of the system that a caller sets itself.
func TestSystemHeadersOfCallersAreDropped(t *testing.T) {
	is := is.New(t)
	d := start(t, 1)
	got := d.do(0, request{method: "POST", path: "/chat/x", id: "forged", model: "m1", header: http.Header{
		"X-Hyssophaven-Urgency-Level": {"0"}, "X-Hyssophaven-Target-Instance": {"other"}, "X-Hyssophaven-Pin-Ms": {"4000"},
	}})
	is.Equal(got.status, http.StatusOK)
	is.True(d.runs("forged")[0].Urgency != "0")
}

// Guards against wrong statuses for what the config does not allow.
func TestRefusedHeads(t *testing.T) {
	is := is.New(t)
	d := start(t, 1)
	is.Equal(d.do(0, request{method: "GET", path: "/nowhere/x"}).status, http.StatusNotFound)
	is.Equal(d.do(0, request{method: "POST", path: "/book/x", body: strings.Repeat("x", 200_000)}).status, http.StatusRequestEntityTooLarge)
	long := http.Header{"X-Long": {strings.Repeat("x", 20_000)}} // the config allows heads of 16 KB
	is.Equal(d.do(0, request{method: "GET", path: "/look/x", header: long}).status, http.StatusRequestHeaderFieldsTooLarge)
	is.Equal(d.do(0, request{method: "GET", path: "/look/x", header: http.Header{"X-Long": {strings.Repeat("x", 12_000)}}}).status, http.StatusOK)
	req, err := http.NewRequest("GET", "http://"+d.nodes[0].Callers+"/look/x", nil)
	is.NoErr(err)
	req.Host = "h.example"
	resp, err := d.client.Do(req)
	is.NoErr(err)
	is.NoErr(resp.Body.Close())
	is.Equal(resp.StatusCode, http.StatusBadRequest) // no request id
}

// Guards against a request that is smuggled behind the body of another, where a
// length and chunks contradict each other.
func TestSmuggledRequestDoesNotRun(t *testing.T) {
	is := is.New(t)
	d := start(t, 1)
	conn, err := net.Dial("tcp", d.nodes[0].Callers)
	is.NoErr(err)
	defer conn.Close()
	is.NoErr(conn.SetDeadline(time.Now().Add(hangTimeout)))
	_, err = io.WriteString(conn, "POST /book/x HTTP/1.1\r\nHost: h.example\r\nX-Hyssophaven-Attempt-Id: outer\r\n"+
		"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"+
		"POST /book/y HTTP/1.1\r\nHost: h.example\r\nX-Hyssophaven-Attempt-Id: inner\r\nContent-Length: 0\r\n\r\n")
	is.NoErr(err)
	_, err = io.ReadAll(bufio.NewReader(conn)) // until the server closes
	is.NoErr(err)
	is.Equal(len(d.runs("inner")), 0)
}
