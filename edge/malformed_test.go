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

// rawMalformed returns the malformed answer with the headers of a replica's own.
func rawMalformed(malformed rawservertest.MalformedAnswer) platformtest.RawAnswer {
	return func(c net.Conn, head string, _ int) {
		_, headers, _ := strings.Cut(head, "\r\n")
		_, _ = io.WriteString(c, malformed.Render(headers))
		_ = c.Close()
	}
}

// Guards against an answer with a status that HTTP does not have, or without its whole head
// or body, that reaches the caller of a plain service or of a model as an answer, that is
// taken for a proof that the request did not run, or whose replica counts as sound.
func TestMalformedAnswerOfReplicaIsAFailure(t *testing.T) {
	for _, malformed := range rawservertest.MalformedAnswers("ok") {
		t.Run(malformed.Name, func(t *testing.T) {
			is := is.New(t)
			d := startDeployment(t, 1)
			setRawAnswer(append(d.Apps, d.Engines...), rawMalformed(malformed))
			for n, r := range []request{{Method: "POST", Path: "/book/x", Body: "b"}, {Method: "POST", Path: "/once/x", Model: "m1", Body: "b"}} {
				r.ID = fmt.Sprint("malformed-", n)
				got := d.do(0, r)
				is.NoErr(got.Err)
				is.Equal(got.Status, http.StatusBadGateway)
				is.Equal(len(d.Runs(r.ID)), 1)
				is.True(d.logged("request ended", "request="+r.ID, "outcome=broken"))
			}
		})
	}
}

// Guards against a request that may be repeated and is not, because its first replica sent an
// answer with a status that HTTP does not have.
func TestRequestIsRepeatedAfterMalformedAnswer(t *testing.T) {
	for _, malformed := range rawservertest.MalformedAnswers("ok") {
		t.Run(malformed.Name, func(t *testing.T) {
			is := is.New(t)
			d := startDeployment(t, 1)
			setRawAnswer([]*platformtest.Replica{d.Apps[0], d.Engines[0]}, rawMalformed(malformed))
			for _, r := range []request{{Method: "GET", Path: "/look/x"}, {Method: "POST", Path: "/chat/x", Model: "m1", Body: "b"}} {
				repeated := false
				for n := 0; n < 50 && !repeated; n++ {
					r.ID = fmt.Sprint(strings.Split(r.Path, "/")[1], n)
					got := d.do(0, r)
					is.NoErr(got.Err)
					is.Equal(got.Status, http.StatusOK)
					repeated = len(d.Runs(r.ID)) == 2
				}
				is.True(repeated)
			}
		})
	}
}

// Guards against an answer with a malformed line in its head or trailer that reaches the caller
// of a plain service or of a model, or of which any line does, that is taken for a proof that the
// request did not run, or whose replica counts as sound.
func TestAnswerWithMalformedLineIsAFailure(t *testing.T) {
	is := is.New(t)
	d := startDeployment(t, 1)
	for n, malformed := range rawservertest.MalformedLines("200 OK", "id: 1\ndata: a\n\n") {
		setRawAnswer(append(d.Apps, d.Engines...), rawMalformed(malformed))
		for kind, r := range map[string]request{"plain": {Path: "/book/"}, "stream": {Path: "/once/", Model: "m1"}} {
			r.Method, r.ID, r.Body = "POST", fmt.Sprint(kind, "-", n), "b"
			r.Path, r.Parts = r.Path+r.ID, r.ID+":100" // content whose sends break is blocked
			got := d.do(0, r)
			if got.Err == nil && got.Status != http.StatusBadGateway || got.Err != nil && kind == "plain" {
				t.Errorf("%s, %s: status %d, error %v", malformed.Name, kind, got.Status, got.Err)
			}
			is.True(!strings.Contains(fmt.Sprint(got.Header, got.Body), rawservertest.MalformedValue))
			is.Equal(len(d.Runs(r.ID)), 1)
			is.True(d.logged("request ended", "request="+r.ID, "outcome=broken"))
		}
	}
}

// Guards against a request that may be repeated and is not, because the first answer had a
// malformed line.
func TestRequestIsRepeatedAfterMalformedLine(t *testing.T) {
	is := is.New(t)
	d := startDeployment(t, 1)
	whole := func(c net.Conn, head string, _ int) { _, _ = io.WriteString(c, head+"Content-Length: 2\r\n\r\nok") }
	repeated := 0
	for n, malformed := range rawservertest.MalformedLines("200 OK", "ok") {
		if n%30 > 0 { // an instance may send only some requests again
			continue
		}
		setRawAnswers(d.Apps, rawMalformed(malformed), whole)
		id := fmt.Sprint("repeated-", n)
		got := d.do(0, request{Method: "GET", Path: "/look/" + id, ID: id})
		is.NoErr(got.Err)
		is.Equal(got.Status, http.StatusOK)
		is.Equal(got.Body, "ok")
		is.Equal(len(d.Runs(id)), 2)
		repeated++
	}
	is.True(repeated > 5)
}
