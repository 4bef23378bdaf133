package edge

import (
	"bufio"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"runtime/debug"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hyssophaven/hyssophaven/platform/platformtest"
)

// largestBody is the limit on bodies of the deployments that the settings name, and
// smallestMemory is the memory of their smallest instance.
const (
	largestBody    = 4 << 20
	smallestMemory = 144 << 20
)

// startSmallInstance starts an instance with little memory.
func startSmallInstance(t *testing.T) *deployment {
	t.Cleanup(func() { debug.SetMemoryLimit(math.MaxInt64) })
	d := newDeployment(t)
	d.PutConfigWithBodies(2, "", largestBody)
	d.memory = smallestMemory
	d.addInstance()
	return d
}

// bodySender is a caller that sends a body in parts.
type bodySender struct {
	net.Conn
	t *testing.T
}

// newBodySender announces a body, or one in chunks if length is negative.
func newBodySender(t *testing.T, d *deployment, path, id string, length int) bodySender {
	t.Helper()
	conn, err := net.Dial("tcp", d.nodes[0].Callers)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(hangTimeout))
	framing := "Transfer-Encoding: chunked"
	if length >= 0 {
		framing = "Content-Length: " + strconv.Itoa(length)
	}
	_, _ = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h.example\r\nX-Hyssophaven-Attempt-Id: %s\r\n%s\r\n\r\n", path, id, framing)
	return bodySender{conn, t}
}

// readAnswer returns the answer, without its body.
func (s bodySender) readAnswer() *http.Response {
	s.t.Helper()
	resp, err := http.ReadResponse(bufio.NewReader(s), nil)
	if err != nil {
		s.t.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp
}

// Guards against refusing a slow request of the largest size that is alone on the smallest
// instance, with a declared length and in chunks, and against changes of its body.
func TestLargestBodyOnSmallestInstance(t *testing.T) {
	is := is.New(t)
	d := startSmallInstance(t)
	part := make([]byte, largestBody/16)
	for i := range part {
		part[i] = 'a' + byte(i%23)
	}
	for _, length := range []int{largestBody, -1} {
		id := fmt.Sprintf("large-%d", length)
		s := newBodySender(t, d, "/book/x", id, length)
		want := ""
		for range 16 {
			if length < 0 {
				_, _ = fmt.Fprintf(s, "%x\r\n", len(part))
			}
			_, err := s.Write(part)
			is.NoErr(err)
			if length < 0 {
				_, _ = io.WriteString(s, "\r\n")
			}
			want += string(part)
			time.Sleep(50 * time.Millisecond)
		}
		if length < 0 {
			_, _ = io.WriteString(s, "0\r\n\r\n")
		}
		is.Equal(s.readAnswer().StatusCode, http.StatusOK)
		runs := d.Runs(id)
		is.Equal(len(runs), 1)
		is.True(runs[0].Body == want)
	}
}

// Guards against bodies that stop short of their end and keep the memory that other
// requests need, and against refusals of them that state no time or have run.
func TestStalledBodiesAreRefusedWhenMemoryIsShort(t *testing.T) {
	is := is.New(t)
	d := startSmallInstance(t)
	var stalled []bodySender
	for i := range 8 {
		s := newBodySender(t, d, "/book/x", fmt.Sprintf("stalled-%d", i), largestBody)
		stalled = append(stalled, s)
		go func() { _, _ = s.Write(make([]byte, largestBody-1)) }()
	}
	d.eventually("a request with a large body is served", func() bool {
		body := string(make([]byte, largestBody))
		return d.do(0, platformtest.Request{Method: "POST", Path: "/book/x", Body: body}).Status == http.StatusOK
	})
	refused := 0
	for i, s := range stalled {
		_ = s.SetDeadline(time.Now().Add(time.Second))
		resp, err := http.ReadResponse(bufio.NewReader(s), nil)
		if err != nil {
			continue // still open, or reset with a part of the body unread
		}
		_ = resp.Body.Close()
		refused++
		is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
		is.True(resp.Header.Get("Retry-After") != "")
		is.Equal(len(d.Runs(fmt.Sprintf("stalled-%d", i))), 0)
	}
	is.True(refused > 0)
	is.True(d.do(0, request{Method: "GET", Path: "/look/x"}).Status == http.StatusOK)
	d.eventually("the refusals are logged", func() bool { return d.logged("memory or descriptors are short") })
}
