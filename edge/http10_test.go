package edge

import (
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a part of a plain answer that looks complete to a caller of HTTP/1.0, for
// whom the end of the connection is the end of the answer.
func TestPartOfPlainAnswerIsNotCompleteForHTTP10(t *testing.T) {
	for name, a := range largeAnswers() {
		if a.whole {
			continue
		}
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.NewRelaxed(t)
			d := startDeployment(t, 1)
			setRawAnswers(d.Engines, func(c net.Conn, head string, _ int) { a.send(c, head, "500") },
				func(c net.Conn, head string, _ int) { _, _ = io.WriteString(c, head+streamHead+wholeStream) })
			answer, err := d.readHTTP10(is, "/chat/x", answerTime)
			declared := strings.Contains(answer, "Content-Length: ")
			is.True(declared || errors.Is(err, syscall.ECONNRESET)) // a declared length shows what is missing
			_, body, _ := strings.Cut(answer, "\r\n\r\n")
			is.Equal(strings.Trim(body, "f"), "")
		})
	}
}

// Guards against a whole answer that looks broken to a caller of HTTP/1.0.
func TestWholeAnswerEndsInOrderForHTTP10(t *testing.T) {
	answers := largeAnswers()
	answers["stream"] = largeAnswer{framing: "", body: wholeStream, whole: true}
	for name, a := range answers {
		if !a.whole {
			continue
		}
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			d := startDeployment(t, 1)
			status := "404"
			if name == "stream" {
				status = "200"
			}
			setRawAnswer(d.Engines, func(c net.Conn, head string, _ int) { a.send(c, head, status) })
			answer, err := d.readHTTP10(is, "/chat/x", hangTimeout)
			is.NoErr(err)
			_, body, _ := strings.Cut(answer, "\r\n\r\n")
			is.True(body == a.body || strings.Contains(a.body, body) && len(body) == partBytes)
		})
	}
}

// Guards against a part of an answer that looks complete, or is continued by another replica,
// because the instance stops while it is being relayed.
func TestPartOfAnswerAtEndOfStopIsNotComplete(t *testing.T) {
	part := strings.Repeat("f", partBytes)
	for name, test := range map[string]struct{ status, answer string }{
		"plain":                   {"500", "Transfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf("%x\r\n%s\r\n", partBytes, part)},
		"plain, without a length": {"404", "\r\n" + part},
		"stream":                  {"200", streamHead + firstEvent},
	} {
		for _, version := range []string{"1.0", "1.1"} {
			t.Run(name+", "+version, func(t *testing.T) {
				t.Parallel()
				is := is.NewRelaxed(t)
				d := startDeployment(t, 1)
				d.putSlowConfig()
				setRawAnswer(d.Engines, func(c net.Conn, head string, _ int) {
					_, _ = io.WriteString(c, strings.Replace(head, " 200 ", " "+test.status+" ", 1)+test.answer)
					_, _ = io.ReadAll(c)
				})
				var got reply
				ended := make(chan struct{})
				go func() {
					defer close(ended)
					if version == "1.0" {
						got.Body, got.Err = d.readHTTP10(is, "/slow-once/x", hangTimeout)
						return
					}
					got = d.do(0, request{Method: "POST", Path: "/slow-once/x", ID: "old", Model: "m1", Body: "p"})
				}()
				d.eventually("the request runs", func() bool { return len(d.Runs("old")) == 1 })
				d.instances[0].node.Bounds.Grace = shortGrace
				if err := d.instances[0].Stop(t.Context()); err != nil {
					t.Log("stop:", err)
				}
				<-ended
				is.True(got.Err != nil)
				is.Equal(len(d.Runs("old")), 1)
			})
		}
	}
}

// readHTTP10 sends a request of HTTP/1.0 for a stream and reads until the connection ends.
func (d *deployment) readHTTP10(is *is.I, path string, timeLeft time.Duration) (string, error) {
	c, err := net.Dial("tcp", d.nodes[0].Callers)
	is.NoErr(err)
	defer c.Close()
	_, err = fmt.Fprintf(c, "POST %s HTTP/1.0\r\nHost: h.example\r\nX-Hyssophaven-Attempt-Id: old\r\nX-Hyssophaven-Deadline-Ms: %d\r\nX-Hyssophaven-Model: m1\r\n"+
		"X-Hyssophaven-Token-Count: 100,10\r\nX-Hyssophaven-Prompt-Prefix: aa:40,bb:60\r\nContent-Length: 1\r\n\r\np", path, timeLeft.Milliseconds())
	is.NoErr(err)
	is.NoErr(c.SetReadDeadline(time.Now().Add(hangTimeout)))
	answer, err := io.ReadAll(c)
	return string(answer), err
}
