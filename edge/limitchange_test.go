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
)

// splitRequest is a request whose parts a caller sends before and after a change of the
// config, on a connection that is new or, with kept, was used before.
type splitRequest struct {
	name          string
	kept          bool
	before, after string
}

// largeHead and largeBody are requests that only the larger limits of
// limitsConfig allow.
var (
	lookHead  = "GET /look/x HTTP/1.1\r\nHost: h.example\r\nX-Hyssophaven-Attempt-Id: %s\r\n"
	largeHead = lookHead + "X-Long: " + strings.Repeat("x", 8000) + "\r\n"
	largeBody = "POST /book/x HTTP/1.1\r\nHost: h.example\r\nX-Hyssophaven-Attempt-Id: %s\r\nContent-Length: 100\r\n\r\n"
	body      = strings.Repeat("b", 100)
)

// limitsConfig returns a config with the smaller or the larger limits.
func limitsConfig(version int, large bool) any {
	if large {
		return slowConfig(version, `"idle-timeout-ms":15000`, `"idle-timeout-ms":60000`, `"header-timeout-ms":3000`, `"header-timeout-ms":60000`)
	}
	return slowConfig(version, `"idle-timeout-ms":15000`, `"idle-timeout-ms":1000`, `"header-timeout-ms":3000`, `"header-timeout-ms":1000`,
		`"max-header-bytes":16384`, `"max-header-bytes":4000`, `"max-body-bytes":100000`, `"max-body-bytes":10`)
}

// Guards against a request without an answer, or one that is refused, although a config
// that may be in force allows it, when the limits change while its connection is idle or
// the request is being received.
func TestLimitChangeKeepsConnections(t *testing.T) {
	kept := splitRequest{name: "kept connection", kept: true, after: lookHead + "\r\n"}
	for _, test := range []struct {
		name     string
		large    bool          // the first limits
		pause    time.Duration // from the change to the rest of the requests
		requests []splitRequest
	}{
		// The rest is sent when the old limits are over, but not the new ones.
		{"larger limits", false, 5 * time.Second, []splitRequest{
			kept,
			{name: "new connection", after: lookHead + "\r\n"},
			{name: "inside the head", before: lookHead[:20], after: lookHead[20:] + "\r\n"},
			{name: "inside the next head", kept: true, before: lookHead[:20], after: lookHead[20:] + "\r\n"},
		}},
		// The rest is sent while its caller may not know the new limits.
		{"smaller limits", true, 1200 * time.Millisecond, []splitRequest{
			kept,
			{name: "kept connection, large head", kept: true, after: largeHead + "\r\n"},
			{name: "kept connection, large body", kept: true, after: largeBody + body},
			{name: "inside the head", before: largeHead[:20], after: largeHead[20:] + "\r\n"},
			{name: "inside the next head", kept: true, before: largeHead[:20], after: largeHead[20:] + "\r\n"},
			{name: "inside the body", before: largeBody + body[:10], after: body[10:]},
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.NewRelaxed(t)
			d := newDeployment(t)
			d.bounds.ConfigTime = 3 * time.Second
			d.addInstance()
			put := func(version int, large bool) {
				d.Store.Put(platform.ConfigTable, platform.ConfigKey, limitsConfig(version, large))
				d.eventually("the config is in force", func() bool { return d.logged(fmt.Sprintf("version=%d routes", version)) })
			}
			put(2, test.large)
			conns := make([]net.Conn, len(test.requests))
			for n, r := range test.requests {
				conns[n] = d.dialCaller()
				if r.kept {
					status, err := roundTrip(conns[n], fmt.Sprintf(lookHead, "first")+"\r\n")
					is.NoErr(err)
					is.Equal(status, http.StatusOK)
				}
			}
			for n, r := range test.requests {
				_, err := io.WriteString(conns[n], strings.ReplaceAll(r.before, "%s", "split"))
				is.NoErr(err)
			}
			put(3, !test.large)
			time.Sleep(test.pause)
			var wg sync.WaitGroup
			for n, r := range test.requests {
				wg.Go(func() {
					status, err := roundTrip(conns[n], strings.ReplaceAll(r.after, "%s", "split"))
					if err != nil || status != http.StatusOK {
						t.Errorf("%s: status %d, error %v", r.name, status, err)
					}
				})
			}
			wg.Wait()
		})
	}
}

// Guards against limits that a config has lowered and that are never enforced, on
// connections that were open before.
func TestSmallerLimitsAreEnforced(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t)
	d.bounds.ConfigTime = 500 * time.Millisecond
	d.addInstance()
	d.Store.Put(platform.ConfigTable, platform.ConfigKey, limitsConfig(2, true))
	d.eventually("the config is in force", func() bool { return d.logged("version=2 routes") })
	idle, used := d.dialCaller(), d.dialCaller()
	for _, conn := range []net.Conn{idle, used} {
		_, err := roundTrip(conn, fmt.Sprintf(lookHead, "first")+"\r\n")
		is.NoErr(err)
	}
	d.Store.Put(platform.ConfigTable, platform.ConfigKey, limitsConfig(3, false))
	d.eventually("the config is in force", func() bool { return d.logged("version=3 routes") })
	time.Sleep(2 * d.bounds.ConfigTime)
	status, err := roundTrip(used, fmt.Sprintf(largeHead, "second")+"\r\n")
	is.NoErr(err)
	is.Equal(status, http.StatusRequestHeaderFieldsTooLarge)
	_, err = idle.Read(make([]byte, 1))
	is.Equal(err, io.EOF) // closed by the idle limit
}

// dialCaller opens a caller's connection to the first instance that is closed at the end
// of the test.
func (d *deployment) dialCaller() net.Conn {
	d.t.Helper()
	conn, err := net.Dial("tcp", d.nodes[0].Callers)
	if err != nil {
		d.t.Fatal(err)
	}
	d.t.Cleanup(func() { _ = conn.Close() })
	if err := conn.SetDeadline(time.Now().Add(hangTimeout)); err != nil {
		d.t.Fatal(err)
	}
	return conn
}

// roundTrip sends a request, or the rest of one, and returns the status of its answer.
func roundTrip(conn net.Conn, text string) (status int, err error) {
	if _, err := io.WriteString(conn, text); err != nil {
		return 0, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, err = io.ReadAll(resp.Body)
	return resp.StatusCode, err
}

// Guards against a request that is lost because it crosses the close of its idle
// connection: answers tell how long their connection may stay idle, at most as long as a
// stopping instance can wait, and it is closed later than that.
func TestAnswersTellIdleTimeout(t *testing.T) {
	is := is.NewRelaxed(t)
	d := newDeployment(t)
	d.bounds.ConfigTime = time.Second
	d.addInstance()
	for n, idle := range []time.Duration{time.Minute, time.Second} {
		version := n + 2
		d.Store.Put(platform.ConfigTable, platform.ConfigKey, limitsConfig(version, idle == time.Minute))
		d.eventually("the config is in force", func() bool { return d.logged(fmt.Sprintf("version=%d routes", version)) })
		time.Sleep(2 * d.bounds.ConfigTime) // until the limits before no longer hold
		for _, r := range []request{
			{Method: "POST", Path: "/book/x"}, {Method: "POST", Path: "/chat/x", Model: "m1"}, {Method: "GET", Path: "/none/x"},
		} {
			got := d.do(0, r)
			is.NoErr(got.Err)
			told := min(idle, d.bounds.Grace/2)
			is.Equal(got.Header.Get("Keep-Alive"), fmt.Sprintf("timeout=%d", int(told.Seconds())))
		}
	}
	kept := d.dialCaller()
	for range 2 {
		status, err := roundTrip(kept, fmt.Sprintf(lookHead, "kept")+"\r\n")
		is.NoErr(err)
		is.Equal(status, http.StatusOK)
		time.Sleep(1300 * time.Millisecond)
	}
	chunked := d.dialCaller()
	_, err := io.WriteString(chunked, strings.Replace(fmt.Sprintf(largeBody, "chunked"), "Content-Length: 100", "Transfer-Encoding: chunked", 1)+"0\r\n\r\n")
	is.NoErr(err)
	resp, err := http.ReadResponse(bufio.NewReader(chunked), nil)
	is.NoErr(err)
	defer resp.Body.Close()
	is.True(resp.Close)
	is.Equal(resp.Header.Get("Keep-Alive"), "")
}
