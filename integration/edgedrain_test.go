//go:build linux

package integration

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// balancerWait is how long a stopping instance accepts connections before it closes its
// listener and idle connections, as in package ingress.
const balancerWait = 2500 * time.Millisecond

// rawCaller is a connection to an instance on which requests are written at once.
type rawCaller struct {
	net.Conn
	answers *bufio.Reader
}

func dialInstance(t *testing.T, i *edgeInstance) *rawCaller {
	t.Helper()
	conn, err := net.Dial("tcp", i.settings.Callers)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(waitTimeout))
	return &rawCaller{Conn: conn, answers: bufio.NewReader(conn)}
}

func (c *rawCaller) send(t *testing.T, id string) {
	t.Helper()
	if _, err := fmt.Fprintf(c, "GET /look/x HTTP/1.1\r\nHost: h.example\r\nX-Hyssophaven-Attempt-Id: %s\r\n\r\n", id); err != nil {
		t.Fatal(err)
	}
}

func (c *rawCaller) readStatus() (int, error) {
	resp, err := http.ReadResponse(c.answers, nil)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

// Guards against requests without an answer that arrive at a stopping instance, on kept
// and on new connections, while it gets no processor time, and that it finds when it is
// due to close its listener and idle connections.
func TestStoppingInstanceAnswersRequestsThatHaveArrived(t *testing.T) {
	t.Parallel()
	f := startEdgeFleet(t, 1)
	i := f.instances[0]
	callers := make([]*rawCaller, 40)
	kept := callers[:20]
	for n := range kept {
		kept[n] = dialInstance(t, i)
		kept[n].send(t, fmt.Sprintf("first-%d", n))
		if status, err := kept[n].readStatus(); err != nil || status != http.StatusOK {
			t.Fatalf("status %d, error %v", status, err)
		}
	}
	i.terminate()
	time.Sleep(balancerWait - 300*time.Millisecond)
	i.pause()
	for n := range callers {
		if callers[n] == nil {
			callers[n] = dialInstance(t, i)
		}
		callers[n].send(t, fmt.Sprintf("second-%d", n))
	}
	time.Sleep(time.Second)
	i.resume()
	for n, c := range callers {
		if _, err := c.readStatus(); err != nil {
			t.Errorf("request %d: %v after %d runs", n, err, len(f.Runs(fmt.Sprintf("second-%d", n))))
		}
	}
}
