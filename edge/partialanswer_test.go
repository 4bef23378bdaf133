package edge

import (
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"runtime/debug"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hyssophaven/hyssophaven/internal/rawservertest"
)

const (
	// partBytes is the part of a large answer that its replica sends. It is more than the
	// instance reads before it relays an answer.
	partBytes = 300 << 10
	// chunkBytes is the size of the chunks of an answer without end.
	chunkBytes = 32 << 10
	// wholeStream is the stream of the sound replica.
	wholeStream = firstEvent + lastEvent
	// answerTime is the time that callers give an answer that falls silent.
	answerTime = 1500 * time.Millisecond
)

// largeAnswer is the body of a large answer, with its framing, and what its replica does next.
type largeAnswer struct {
	framing string
	body    string
	then    func(c net.Conn)
	whole   bool // the answer is complete
}

// send writes the answer with a status.
func (a largeAnswer) send(c net.Conn, head, status string) {
	_, _ = io.WriteString(c, strings.Replace(head, " 200 ", " "+status+" ", 1)+"Content-Type: text/plain\r\n"+a.framing+"\r\n"+a.body)
	if a.then != nil {
		a.then(c)
	}
}

// largeAnswers returns large answers that end in all ways in which an answer can.
func largeAnswers() map[string]largeAnswer {
	part := strings.Repeat("f", partBytes)
	const chunked = "Transfer-Encoding: chunked\r\n"
	chunk := fmt.Sprintf("%x\r\n%s\r\n", partBytes, part)
	length := func(missing int) string { return fmt.Sprintf("Content-Length: %d\r\n", partBytes+missing) }
	silent := func(c net.Conn) { _, _ = io.ReadAll(c) }
	return map[string]largeAnswer{
		"never ends": {chunked, chunk, func(c net.Conn) {
			_ = rawservertest.WriteEndlessly(c, "", fmt.Appendf(nil, "%x\r\n%s\r\n", chunkBytes, part[:chunkBytes]))
		}, false},
		"never ends, without a length": {"", part, func(c net.Conn) { _ = rawservertest.WriteEndlessly(c, "", []byte(part)) }, false},
		"breaks off between chunks":    {chunked, chunk, nil, false},
		"breaks off within a chunk":    {chunked, chunk[:len(chunk)/2+partBytes/2], nil, false},
		"lacks a byte of its length":   {length(1), part, nil, false},
		"lacks less than a stream":     {length(len(wholeStream) / 2), part, nil, false},
		"lacks as much as a stream":    {length(len(wholeStream)), part, nil, false},
		"lacks most of its length":     {length(8 * partBytes), part, nil, false},
		"is reset, without a length":   {"", part, func(c net.Conn) { time.Sleep(50 * time.Millisecond); _ = rawservertest.Reset(c) }, false},
		"falls silent in chunks":       {chunked, chunk, silent, false},
		"falls silent within a length": {length(partBytes), part, silent, false},
		"ends with its connection":     {"", part, nil, true},
		"ends with its last chunk":     {chunked, chunk + "0\r\n\r\n", nil, true},
		"ends with its length":         {length(0), part, nil, true},
	}
}

// checkLargeAnswer checks that the caller got a large answer as its replica sent it, that it
// looks complete only if it is, and that no other replica ran the request.
func (d *deployment) checkLargeAnswer(is *is.I, id string, a largeAnswer, status string, got reply) {
	d.t.Helper()
	is.Equal(got.Err == nil, a.whole)
	is.Equal(fmt.Sprint(got.Status), status)
	is.Equal(strings.Trim(got.Body, "f"), "")
	is.True(!a.whole || len(got.Body) == partBytes)
	is.Equal(len(d.Runs(id)), 1)
	if !a.whole {
		d.eventually("the end of the request is recorded", func() bool { return d.logged("request ended", "request="+id+" ") })
		is.True(d.logged("request ended", "request="+id+" ", "broken-off", "relayed=plain", "not_sent_again="))
	}
}

// Guards against a large failure that breaks off or never ends and is continued with the
// stream of another replica, so that it looks complete or holds bytes of two runs.
func TestPartOfFailureIsNotContinuedWithStream(t *testing.T) {
	for name, a := range largeAnswers() {
		for _, status := range []string{"500", "503", "404"} {
			t.Run(name+", "+status, func(t *testing.T) {
				t.Parallel()
				is := is.NewRelaxed(t)
				d := startDeployment(t, 1)
				setRawAnswers(d.Engines, func(c net.Conn, head string, _ int) { a.send(c, head, status) },
					func(c net.Conn, head string, _ int) { _, _ = io.WriteString(c, head+streamHead+wholeStream) })
				got := d.do(0, request{Method: "POST", Path: "/chat/x", ID: "part", Model: "m1", Body: "p", TimeLeft: answerTime})
				d.checkLargeAnswer(is, "part", a, status, got)
			})
		}
	}
}

// Guards against a request that is run again for nothing, and a caller that waits for it,
// after a part of a large plain answer has been relayed.
func TestPartOfPlainAnswerIsNotRunAgain(t *testing.T) {
	for name, a := range largeAnswers() {
		for _, status := range []string{"200", "500"} {
			t.Run(name+", "+status, func(t *testing.T) {
				t.Parallel()
				is := is.NewRelaxed(t)
				d := startDeployment(t, 1)
				setRawAnswers(d.Apps, func(c net.Conn, head string, _ int) { a.send(c, head, status) },
					func(c net.Conn, head string, _ int) { _, _ = io.WriteString(c, head+"Content-Length: 2\r\n\r\nok") })
				got := d.do(0, request{Method: "GET", Path: "/look/x", ID: "part", TimeLeft: answerTime})
				d.checkLargeAnswer(is, "part", a, status, got)
			})
		}
	}
}

// Guards against a small answer that is continued with the stream of another replica after
// it was relayed in parts, because there was no memory to hold it.
func TestPartOfAnswerWithoutMemoryIsNotContinued(t *testing.T) {
	const (
		budget = 128 << 10
		part   = 100 << 10 // does not fit beside the buffer that it is read from
	)
	for name, framing := range map[string]string{
		"chunks": fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", part, strings.Repeat("f", part)),
		"length": fmt.Sprintf("Content-Length: %d\r\n\r\n%s", part+len(wholeStream), strings.Repeat("f", part)),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.NewRelaxed(t)
			d := newDeployment(t)
			d.memory = 5 * budget // the budget is a fifth of the memory
			d.addInstance()
			debug.SetMemoryLimit(math.MaxInt64)
			setRawAnswers(d.Engines, func(c net.Conn, head string, _ int) {
				_, _ = io.WriteString(c, strings.Replace(head, " 200 ", " 500 ", 1)+framing)
			}, func(c net.Conn, head string, _ int) { _, _ = io.WriteString(c, head+streamHead+wholeStream) })
			got := d.do(0, request{Method: "POST", Path: "/chat/x", ID: "part", Model: "m1", Body: "p"})
			is.True(got.Err != nil)
			is.Equal(got.Status, http.StatusInternalServerError)
			is.Equal(strings.Trim(got.Body, "f"), "")
			is.Equal(len(d.Runs("part")), 1)
		})
	}
}

// Guards against a large failure of a silent replica that is relayed while another replica
// takes the request over, breaks off and is continued with that replica's answer.
func TestPartOfFailureIsNotContinuedBySuccessor(t *testing.T) {
	for name, a := range largeAnswers() {
		for path, successor := range map[string]string{"/chat/x": streamHead + wholeStream, "/look/x": "Content-Length: 2\r\n\r\nok"} {
			t.Run(name+", "+path, func(t *testing.T) {
				t.Parallel()
				is := is.NewRelaxed(t)
				d := startDeployment(t, 1)
				r, silence := request{Method: "GET", Path: path, ID: "part", TimeLeft: 4 * time.Second}, 700*time.Millisecond
				if path == "/chat/x" {
					r.Method, r.Model, silence = "POST", "m1", 1500*time.Millisecond
				}
				setRawAnswers(append(d.Engines, d.Apps...), func(c net.Conn, head string, _ int) {
					time.Sleep(silence)
					a.send(c, head, "500")
				}, func(c net.Conn, head string, _ int) {
					time.Sleep(800 * time.Millisecond)
					_, _ = io.WriteString(c, head+successor)
				})
				got := d.do(0, r)
				_, whole, _ := strings.Cut(successor, "\r\n\r\n")
				is.NoErr(got.Err)
				is.Equal(got.Status, http.StatusOK)
				is.True(got.Body == whole)
				is.Equal(len(d.Runs("part")), 2)
			})
		}
	}
}

// Guards against a resumed stream that continues with an answer of another media type or
// status or with an encoded one, after its replica broke off or fell silent.
func TestStreamIsNotContinuedWithAnotherType(t *testing.T) {
	for name, answer := range map[string]func(head string) string{
		"type":     func(head string) string { return head + "Content-Type: application/json\r\n\r\n" },
		"encoding": func(head string) string { return head + "Content-Encoding: gzip\r\n" + streamHead },
		"status":   func(head string) string { return strings.Replace(head, " 200 ", " 404 ", 1) + streamHead },
	} {
		for end, finish := range map[string]func(c net.Conn){
			"broken": func(c net.Conn) { _, _ = io.WriteString(c, "id: 2\nda") },
			"silent": func(c net.Conn) { _, _ = io.ReadAll(c) },
		} {
			t.Run(name+", "+end, func(t *testing.T) {
				t.Parallel()
				is := is.NewRelaxed(t)
				d := startDeployment(t, 1)
				setRawAnswers(d.Engines, func(c net.Conn, head string, _ int) {
					_, _ = io.WriteString(c, head+streamHead+firstEvent)
					finish(c)
				}, func(c net.Conn, head string, _ int) { _, _ = io.WriteString(c, answer(head)+lastEvent) })
				got := d.do(0, request{Method: "POST", Path: "/chat/x", ID: "typed", Model: "m1", Body: "p", TimeLeft: 4 * time.Second})
				is.True(got.Err != nil)
				is.Equal(got.Body, firstEvent)
				is.Equal(len(d.Runs("typed")), 2)
			})
		}
	}
}

// Guards against a replica that fails with large answers and goes on getting requests,
// because a failure that is relayed while it is being read counts as an answer.
func TestReplicaWithLargeFailuresIsPutAside(t *testing.T) {
	is := is.New(t)
	d := startDeployment(t, 1)
	failures := largeAnswers()["ends with its length"]
	d.Apps[0].SetRawAnswer(func(c net.Conn, head string, _ int) { failures.send(c, head, "500") })
	for n := 0; !d.logged("replica put aside", "replica="+d.Apps[0].ID, "outcome=failed"); n++ {
		is.True(n < 50)
		got := d.do(0, request{Method: "POST", Path: "/book/x", ID: fmt.Sprint("large-", n)})
		is.NoErr(got.Err)
		is.True(got.Status == http.StatusOK || got.Body == failures.body)
	}
}

// Guards against a large failure of the replica that is to take over from a silent one: it is
// relayed while the silent replica has the request, whose answer then follows it.
func TestFailureOfSuccessorIsNotRelayed(t *testing.T) {
	for name, a := range largeAnswers() {
		for path, sound := range map[string]string{"/chat/x": streamHead + wholeStream, "/look/x": "Content-Length: 2\r\n\r\nok"} {
			t.Run(name+", "+path, func(t *testing.T) {
				t.Parallel()
				is := is.NewRelaxed(t)
				d := startDeployment(t, 1)
				r, silence := request{Method: "GET", Path: path, ID: "part", TimeLeft: 4 * time.Second}, 1300*time.Millisecond
				if path == "/chat/x" {
					r.Method, r.Model, silence = "POST", "m1", 2500*time.Millisecond
				}
				setRawAnswers(append(d.Engines, d.Apps...), func(c net.Conn, head string, _ int) {
					time.Sleep(silence)
					_, _ = io.WriteString(c, head+sound)
				}, func(c net.Conn, head string, _ int) { a.send(c, head, "500") })
				got := d.do(0, r)
				is.NoErr(got.Err)
				is.Equal(got.Status, http.StatusOK)
				_, whole, _ := strings.Cut(sound, "\r\n\r\n")
				is.True(got.Body == whole)
				is.Equal(len(d.Runs("part")), 2)
			})
		}
	}
}
