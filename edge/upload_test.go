package edge

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/hyssophaven/hyssophaven/internal/rawservertest"
	"github.com/hyssophaven/hyssophaven/platform/platformtest"
)

const (
	// uploadRepeats is the number of requests in a test of a race.
	uploadRepeats = 30
	// retriedUploads is the number of requests that an instance may send again at its start.
	retriedUploads = 8
	// uploadBytes is more than the buffers of a connection take, so that a write blocks.
	uploadBytes = 4 << 20
	// relayedBytes is the size of an answer that is relayed while it is being read.
	relayedBytes = 512 << 10

	firstEvent = "id: 1\ndata: a\n\n"
	lastEvent  = "id: 2\ndata: b\n\n"
)

// startUploads starts a deployment with one instance that accepts long uploads. The given
// replicas answer them before they have read the body.
func startUploads(t *testing.T, answer platformtest.RawAnswer, replicas func(*deployment) []*platformtest.Replica) *deployment {
	d := newDeployment(t)
	d.PutConfigWithBodies(2, "", uploadBytes)
	d.addInstance()
	for _, r := range replicas(d) {
		r.SetEarlyAnswer(answer)
	}
	return d
}

// upload sends a long request with a path and a prompt of its own: content whose sends break
// is blocked after some of them.
func (d *deployment) upload(path, id, model string) reply {
	return d.do(0, request{Method: "POST", Path: path + id, ID: id, Model: model, Parts: id + ":100", Body: strings.Repeat("b", uploadBytes)})
}

// allReplicas returns the replicas of all services.
func allReplicas(d *deployment) []*platformtest.Replica { return append(d.Apps, d.Engines...) }

// Guards against a part of an answer without a length that reaches the caller as the whole
// one, because its replica reset the connection while the request was being written.
func TestAnswerResetDuringUploadIsAFailure(t *testing.T) {
	for name, test := range map[string]struct{ path, model, answer string }{
		"plain":            {"/book/", "", "\r\npart"},
		"plain, large":     {"/book/", "", "\r\n" + strings.Repeat("p", relayedBytes)},
		"stream":           {"/once/", "m1", streamHead + firstEvent},
		"stream, no event": {"/once/", "m1", streamHead},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			d := startUploads(t, func(c net.Conn, head string, _ int) { rawservertest.AnswerAndReset(c, head+test.answer) }, allReplicas)
			for n := range uploadRepeats {
				id := fmt.Sprint("reset-", n)
				got := d.upload(test.path, id, test.model)
				is.True(got.Err != nil || got.Status == http.StatusBadGateway)
				is.Equal(len(d.Runs(id)), 1)
				is.True(d.logged("request ended", "request="+id, "outcome=broken"))
			}
		})
	}
}

// Guards against a request that may be repeated and is not, or a stream that is not resumed,
// after its first replica reset the connection while the request was being written.
func TestRequestIsRepeatedAfterResetDuringUpload(t *testing.T) {
	for name, test := range map[string]struct{ path, model, answer, want string }{
		"plain":  {"/look/", "", "\r\npart", "whole"},
		"stream": {"/chat/", "m1", streamHead + firstEvent, firstEvent + lastEvent},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			var d *deployment
			d = startUploads(t, func(c net.Conn, head string, resumedAfter int) {
				id := attemptID(head)
				switch {
				case len(d.Runs(id)) < 2:
					rawservertest.AnswerAndReset(c, head+test.answer)
				case test.model == "":
					rawservertest.AnswerAndHalfClose(c, head+"\r\n"+test.want)
				case resumedAfter == 0:
					rawservertest.AnswerAndHalfClose(c, head+streamHead+test.want)
				default:
					rawservertest.AnswerAndHalfClose(c, head+streamHead+lastEvent)
				}
			}, allReplicas)
			for n := range retriedUploads {
				id := fmt.Sprint("repeated-", n)
				got := d.upload(test.path, id, test.model)
				is.NoErr(got.Err)
				is.Equal(got.Status, http.StatusOK)
				is.Equal(got.Body, test.want)
				is.Equal(len(d.Runs(id)), 2)
			}
		})
	}
}

// attemptID returns the ID of the request that a head answers.
func attemptID(head string) string {
	_, rest, _ := strings.Cut(head, "X-Hyssophaven-Attempt-Id: ")
	id, _, _ := strings.Cut(rest, "\r\n")
	return id
}

// Guards against the loss of a whole answer that a replica gives before it has read the
// request, whatever it does with the rest of the request.
func TestWholeAnswerDuringUploadIsRelayed(t *testing.T) {
	for name, afterAnswer := range map[string]func(net.Conn){
		"closed":   func(net.Conn) {},
		"reset":    func(c net.Conn) { _ = rawservertest.Reset(c) },
		"not read": func(net.Conn) { <-t.Context().Done() },
		"read":     func(c net.Conn) { _, _ = io.Copy(io.Discard, c) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			d := startUploads(t, func(c net.Conn, head string, _ int) {
				answer := "\r\nok"
				if strings.HasPrefix(attemptID(head), "stream") {
					answer = streamHead + firstEvent
				}
				rawservertest.AnswerAndHalfClose(c, head+answer)
				afterAnswer(c)
			}, allReplicas)
			for n := range uploadRepeats / 2 {
				got := d.upload("/book/", fmt.Sprint("plain-", n), "")
				is.NoErr(got.Err)
				is.Equal(got.Status, http.StatusOK)
				is.Equal(got.Body, "ok")
				got = d.upload("/once/", fmt.Sprint("stream-", n), "m1")
				is.NoErr(got.Err)
				is.Equal(got.Body, firstEvent)
			}
		})
	}
}

// Guards against an answer with a status that HTTP does not have, and without a length, that
// reaches the caller while the request is still being written.
func TestMalformedStatusDuringUploadIsAFailure(t *testing.T) {
	for name, end := range map[string]func(c net.Conn, answer string){"whole": rawservertest.AnswerAndHalfClose, "reset": rawservertest.AnswerAndReset} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			d := startUploads(t, func(c net.Conn, head string, _ int) {
				_, status, _ := strings.Cut(attemptID(head), "-")
				end(c, strings.Replace(head, " 200 ", " "+status+" ", 1)+streamHead+firstEvent)
			}, allReplicas)
			for _, status := range []string{"000", "099", "600"} {
				for _, r := range []request{{Path: "/book/"}, {Path: "/once/", Model: "m1"}} {
					id := fmt.Sprint(r.Model, "-", status)
					got := d.upload(r.Path, id, r.Model)
					is.NoErr(got.Err)
					is.Equal(got.Status, http.StatusBadGateway)
					is.Equal(len(d.Runs(id)), 1)
				}
			}
		})
	}
}
