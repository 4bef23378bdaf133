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

// Guards against an answer that is given up because its replica pauses, and the replica
// that is to take the request over turns it away late.
func TestPausedAnswerSurvivesLateRefusalOfOtherReplica(t *testing.T) {
	stream, plain := request{Method: "POST", Path: "/chat/x", ID: "paused", Model: "m1"}, request{Method: "GET", Path: "/look/x", ID: "paused"}
	refusals := map[string]platformtest.Fault{
		"503": platformtest.Shed, "421": platformtest.Misdirect, "500": platformtest.Fail, "reset": platformtest.DropAnswer,
	}
	for pause, c := range map[string]struct {
		request request
		fault   platformtest.Fault
		length  time.Duration
	}{
		"within a stream":                {stream, platformtest.PauseStream, 1900 * time.Millisecond},
		"before a stream":                {stream, platformtest.PauseAnswer, 1800 * time.Millisecond},
		"before the first event":         {stream, platformtest.PauseBody, 1800 * time.Millisecond},
		"before a plain answer":          {plain, platformtest.PauseAnswer, 1200 * time.Millisecond},
		"before the body of such answer": {plain, platformtest.PauseBody, 1200 * time.Millisecond},
	} {
		for name, refusal := range refusals {
			t.Run(pause+", "+name, func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				d := startDeployment(t, 1)
				replicas, body := d.Engines, platformtest.StreamBody("paused", 6)
				if c.request.Model == "" {
					replicas, body = d.Apps, "answer of app-"
				}
				for _, r := range replicas {
					r.Pause, r.RefusalDelay = c.length, 400*time.Millisecond
				}
				platformtest.ShareFaults(replicas, c.fault, refusal)
				got := d.do(0, c.request)
				is.NoErr(got.Err)
				is.Equal(got.Status, http.StatusOK)
				is.True(strings.HasPrefix(got.Body, body))
			})
		}
	}
}

// Guards against a request that is taken from the replica that has accepted it because the
// silent one, from which that replica takes it over, turns it away.
func TestLateRefusalOfSilentReplicaEndsNoHandover(t *testing.T) {
	for name, refusal := range map[string]platformtest.Fault{
		"503": platformtest.Shed, "421": platformtest.Misdirect, "500": platformtest.Fail, "reset": platformtest.DropAnswer,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			d := startDeployment(t, 1)
			for _, e := range d.Engines {
				e.RefusalDelay, e.Pause = 1500*time.Millisecond, 700*time.Millisecond
			}
			platformtest.ShareFaults(d.Engines, refusal, platformtest.PauseAnswer)
			got := d.do(0, request{Method: "POST", Path: "/chat/x", ID: "refused", Model: "m1"})
			is.NoErr(got.Err)
			is.Equal(got.Status, http.StatusOK)
			is.Equal(got.Body, platformtest.StreamBody("refused", 6))
		})
	}
}

// Guards against a request that is left at a lost replica although another one has begun
// to answer it, or that goes on at both.
func TestLostReplicaIsLeftWhenOtherOneBegins(t *testing.T) {
	events := strings.SplitAfter(platformtest.StreamBody("lost", 3), "\n\n")
	for name, sent := range map[string]int{"before the head": 0, "within the stream": 1} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			d := startDeployment(t, 1)
			begun, left := make(chan time.Time, 1), make(chan time.Time, 1)
			setRawAnswers(d.Engines, func(c net.Conn, head string, _ int) {
				if sent > 0 {
					_, _ = io.WriteString(c, head+streamHead+events[0])
				}
				_, _ = io.ReadAll(c)
				left <- time.Now()
			}, func(c net.Conn, head string, lastEvent int) {
				time.Sleep(500 * time.Millisecond)
				begun <- time.Now()
				_, _ = io.WriteString(c, head+streamHead+strings.Join(events[lastEvent:], ""))
			})
			got := d.do(0, request{Method: "POST", Path: "/chat/x", ID: "lost", Model: "m1"})
			is.NoErr(got.Err)
			is.Equal(got.Body, strings.Join(events, ""))
			is.Equal(len(d.Runs("lost")), 2)
			both := (<-left).Sub(<-begun)
			is.True(both > -100*time.Millisecond) // it was left for the other one's answer
			is.True(both < 400*time.Millisecond)
		})
	}
}

// Guards against a request that is held past its deadline because both its replica and the
// one that is to take it over are silent.
func TestRequestEndsAtDeadlineIfBothReplicasAreSilent(t *testing.T) {
	is := is.New(t)
	d := startDeployment(t, 1)
	platformtest.ShareFaults(d.Apps, platformtest.NeverAnswer, platformtest.NeverAnswer)
	begun := time.Now()
	got := d.do(0, request{Method: "GET", Path: "/look/x", ID: "silent", TimeLeft: 1200 * time.Millisecond})
	took := time.Since(begun)
	is.NoErr(got.Err)
	is.Equal(got.Status, http.StatusGatewayTimeout)
	is.Equal(len(d.Runs("silent")), 2)
	is.True(took > 1100*time.Millisecond && took < 1700*time.Millisecond)
	d.eventually("both runs are canceled", func() bool { return d.Apps[0].CanceledRuns()+d.Apps[1].CanceledRuns() == 2 })
}

// Guards against a request that is given up, or sent to a third replica, because the
// connection of its silent replica breaks before the one that takes it over begins.
func TestSilentAnswerThatBreaksGoesOnAtOtherReplica(t *testing.T) {
	is := is.New(t)
	d := startDeployment(t, 1)
	events := strings.SplitAfter(platformtest.StreamBody("broken", 3), "\n\n")
	setRawAnswers(d.Engines, func(c net.Conn, head string, _ int) {
		_, _ = io.WriteString(c, head+streamHead+events[0])
		time.Sleep(1500 * time.Millisecond)
		_ = c.(*net.TCPConn).SetLinger(0) // resets the connection
	}, func(c net.Conn, head string, lastEvent int) {
		time.Sleep(600 * time.Millisecond)
		_, _ = io.WriteString(c, head+streamHead+strings.Join(events[lastEvent:], ""))
	})
	got := d.do(0, request{Method: "POST", Path: "/chat/x", ID: "broken", Model: "m1"})
	is.NoErr(got.Err)
	is.Equal(got.Body, strings.Join(events, ""))
	is.Equal(len(d.Runs("broken")), 2)
}

// Guards against a stream that is resumed although it is complete: its replica is silent
// before it closes the connection, which ends an answer without a length.
func TestSilentAnswerEndsWithItsConnection(t *testing.T) {
	is := is.New(t)
	d := startDeployment(t, 1)
	setRawAnswers(d.Engines, func(c net.Conn, head string, _ int) {
		_, _ = io.WriteString(c, head+streamHead+"id: 1\ndata: a\n\n")
		time.Sleep(1700 * time.Millisecond)
	}, func(c net.Conn, head string, _ int) {
		time.Sleep(900 * time.Millisecond)
		_, _ = io.WriteString(c, head+streamHead+"id: 2\ndata: b\n\n")
	})
	got := d.do(0, request{Method: "POST", Path: "/chat/x", ID: "whole", Model: "m1"})
	is.NoErr(got.Err)
	is.Equal(got.Body, "id: 1\ndata: a\n\n")
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

// Guards against a stream that is moved to another replica, where it can't be resumed,
// because its replica pauses after an event without an id.
func TestPauseAfterEventWithoutIDKeepsStream(t *testing.T) {
	is := is.New(t)
	d := startDeployment(t, 1)
	setRawAnswer(d.Engines, func(c net.Conn, head string, _ int) {
		_, _ = io.WriteString(c, head+streamHead+"id: 1\ndata: a\n\ndata: b\n\n")
		time.Sleep(2500 * time.Millisecond)
		_, _ = io.WriteString(c, "id: 2\ndata: c\n\n")
	})
	got := d.do(0, request{Method: "POST", Path: "/chat/x", ID: "paused", Model: "m1"})
	is.NoErr(got.Err)
	is.Equal(got.Body, "id: 1\ndata: a\n\ndata: b\n\nid: 2\ndata: c\n\n")
	is.Equal(len(d.Runs("paused")), 1)
}

// Guards against a request that waits for the rest of a failure until its deadline although
// another replica has taken it over.
func TestStalledFailureOfSilentReplicaIsLeft(t *testing.T) {
	is := is.New(t)
	d := startDeployment(t, 1)
	setRawAnswers(d.Apps, func(c net.Conn, head string, _ int) {
		time.Sleep(700 * time.Millisecond)
		_, _ = io.WriteString(c, strings.Replace(head, " 200 ", " 500 ", 1)+"Content-Length: 2\r\n\r\n")
		_, _ = io.ReadAll(c)
	}, func(c net.Conn, head string, _ int) {
		time.Sleep(800 * time.Millisecond)
		_, _ = io.WriteString(c, head+"Content-Length: 2\r\n\r\nok")
	})
	got := d.do(0, request{Method: "GET", Path: "/look/x", ID: "stalled", TimeLeft: 4 * time.Second})
	is.NoErr(got.Err)
	is.Equal(got.Status, http.StatusOK)
	is.Equal(got.Body, "ok")
}

// Guards against a caller that is told that its request has not run because the silent
// replica has turned it away, although the replica that takes it over still has it.
func TestRequestWithSuccessorIsNotRefused(t *testing.T) {
	is := is.New(t)
	d := startDeployment(t, 1)
	setRawAnswers(d.Apps, func(c net.Conn, head string, _ int) {
		time.Sleep(900 * time.Millisecond)
		_, _ = io.WriteString(c, strings.Replace(head, " 200 ", " 503 ", 1)+"X-Hyssophaven-Not-Executed: 1\r\nContent-Length: 2\r\n\r\n")
		_, _ = io.ReadAll(c)
	}, func(c net.Conn, _ string, _ int) { _, _ = io.ReadAll(c) })
	got := d.do(0, request{Method: "GET", Path: "/look/x", ID: "refused", TimeLeft: 1100 * time.Millisecond})
	is.NoErr(got.Err)
	is.Equal(len(d.Runs("refused")), 2)
	is.Equal(got.Status, http.StatusGatewayTimeout)
}

// Guards against a request that goes on at two replicas because the one that takes it over
// pauses within the head of its answer.
func TestPauseWithinHeadOfSuccessorEndsOneRun(t *testing.T) {
	is := is.New(t)
	d := startDeployment(t, 1)
	begun, left := make(chan time.Time, 1), make(chan time.Time, 4)
	setRawAnswers(d.Engines, func(c net.Conn, _ string, _ int) {
		_, _ = io.ReadAll(c)
		left <- time.Now()
	}, func(c net.Conn, head string, _ int) {
		begun <- time.Now()
		_, _ = io.WriteString(c, head[:30])
		_, _ = io.ReadAll(c)
		left <- time.Now()
	}, refuseRaw)
	go d.do(0, request{Method: "POST", Path: "/chat/x", ID: "paused", Model: "m1"})
	is.True((<-left).Sub(<-begun) < 400*time.Millisecond)
}
