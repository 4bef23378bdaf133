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
