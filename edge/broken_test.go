package edge

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/hyssophaven/hyssophaven/platform/platformtest"
)

// setRawAnswer makes all given replicas answer with answer.
func setRawAnswer(replicas []*platformtest.Replica, answer platformtest.RawAnswer) {
	for _, r := range replicas {
		r.SetRawAnswer(answer)
	}
}

// Guards against a request without an answer, whose end is not recorded, after a
// replica's answer with a status that HTTP does not have.
func TestAnswerWithInvalidStatusIsNotRelayed(t *testing.T) {
	for _, status := range []string{"000", "+42", "099"} {
		t.Run(status, func(t *testing.T) {
			is := is.New(t)
			d := startDeployment(t, 1)
			setRawAnswer(d.Apps, func(c net.Conn, head string, _ int) {
				_, _ = io.WriteString(c, strings.Replace(head, " 200 ", " "+status+" ", 1)+"Content-Length: 2\r\n\r\nok")
			})
			got := d.do(0, request{Method: "POST", Path: "/book/x", ID: "odd", Body: "b"})
			is.NoErr(got.Err)
			is.Equal(got.Status, http.StatusBadGateway)
			is.Equal(len(d.Runs("odd")), 1)
		})
	}
}
