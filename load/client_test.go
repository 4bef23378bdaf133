package load

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hyssophaven/hyssophaven/internal/rawservertest"
)

// Guards against a broken answer that the generator counts as a whole one.
func TestMalformedAnswerIsAFailure(t *testing.T) {
	for _, malformed := range append(rawservertest.MalformedAnswers("ok"), rawservertest.MalformedLines("200 OK", "ok")...) {
		t.Run(malformed.Name, func(t *testing.T) {
			server := malformed.Start(t, "")
			request := Request{Instance: "http://" + server.Address, Marker: "m"}
			a := send(t.Context(), newClient(), &Stream{Call: &Call{Method: "POST", Path: "/x"}}, request, time.Now())
			is.New(t).True(a.Code != "")
		})
	}
}
