package edge

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hyssophaven/hyssophaven/platform/platformtest"
)

// setRawAnswers makes the replicas answer the next requests to any of them with answers,
// one after the other, and later requests with the last one.
func setRawAnswers(replicas []*platformtest.Replica, answers ...platformtest.RawAnswer) {
	var count atomic.Int64
	setRawAnswer(replicas, func(c net.Conn, head string, lastEvent int) {
		answers[min(int(count.Add(1)), len(answers))-1](c, head, lastEvent)
	})
}

// refuseRaw turns a request away with 503.
func refuseRaw(c net.Conn, head string, _ int) {
	head = strings.Replace(head, " 200 ", " 503 ", 1)
	_, _ = io.WriteString(c, head+"X-Hyssophaven-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
}

// Guards against an answer that is given up because its replica pauses within the head.
func TestPauseWithinHeadKeepsAnswer(t *testing.T) {
	const event = "id: 1\ndata: a\n\n"
	for name, r := range map[string]request{
		"plain":  {Method: "GET", Path: "/look/x", ID: "paused"},
		"stream": {Method: "POST", Path: "/chat/x", ID: "paused", Model: "m1"},
	} {
		for where, length := range map[string]int{"status": 5, "field": 30, "blank line": -2} {
			t.Run(name+", "+where, func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				d := startDeployment(t, 1)
				replicas, pause := d.Apps, 1200*time.Millisecond
				if r.Model != "" {
					replicas, pause = d.Engines, 2600*time.Millisecond
				}
				setRawAnswers(replicas, func(c net.Conn, head string, _ int) {
					head += fmt.Sprintf("Content-Type: text/event-stream\r\nContent-Length: %d\r\n\r\n", len(event))
					cut := (length + len(head)) % len(head)
					_, _ = io.WriteString(c, head[:cut])
					time.Sleep(pause)
					_, _ = io.WriteString(c, head[cut:]+event)
				}, refuseRaw)
				got := d.do(0, r)
				is.NoErr(got.Err)
				is.Equal(got.Status, http.StatusOK)
				is.Equal(got.Body, event)
			})
		}
	}
}
