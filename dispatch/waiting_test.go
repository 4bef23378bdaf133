package dispatch

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hyssophaven/hyssophaven/catalog"
)

// newFullState returns a state with one replica that states its slowness and is full with
// work of the other instances for the given time.
func newFullState(full time.Duration) *State {
	s := newState(engineReplica("a", "m"))
	s.SetReport(epoch, "a", Report{Slots: 8, Slowness: 1})
	setFull(s, epoch, full)
	return s
}

func setFull(s *State, now time.Time, full time.Duration) {
	load := Load{Requests: 1}
	load.PendingPrefill[0] = prefillTokensPerMS * milliseconds(full)
	s.SetPeerLoad(now, "a", load)
}

// serveWaiters serves the waiters and returns the IDs of those that are sent and of those
// that are refused, in order. Nothing is recorded, so the replica stays as free as it is.
func serveWaiters(s *State, now time.Time) (sent, refused string) {
	var sends, refusals []string
	s.ServeWaiters(now, "llm", func(w *Waiter, d Decision) {
		if d.Verdict == Send {
			sends = append(sends, w.Request.ID)
		} else {
			refusals = append(refusals, fmt.Sprint(w.Request.ID, " ", d.Cause))
		}
	})
	return strings.Join(sends, " "), strings.Join(refusals, ", ")
}

// Guards against waiting requests that are served in the order of their arrival, so that less
// urgent ones, those that are late anyway, or the burst of one customer take the room.
func TestWaitersAreServedInOrder(t *testing.T) {
	is := is.New(t)
	s := newFullState(time.Second)
	large := &catalog.Customer{Name: "large", Quota: catalog.Quota{PerSecond: 300}}
	small := &catalog.Customer{Name: "small", Quota: catalog.Quota{PerSecond: 100}}
	submit := func(id string, rank int, age time.Duration, c *catalog.Customer) {
		req := streamRequest(id, rank)
		req.Arrived, req.Customer = epoch.Add(-age), c
		s.Submit(epoch, &Waiter{Request: req})
	}
	for i := range 8 {
		submit(fmt.Sprint("burst", i), 1, 0, large)
	}
	submit("late", 1, 600*time.Millisecond, small)
	submit("small0", 1, 0, small)
	submit("small1", 1, 0, small)
	submit("urgent", 0, 0, large)
	sent, refused := serveWaiters(s, epoch)
	is.Equal(sent+refused, "")
	is.Equal(s.Waiters(), 12)
	later := epoch.Add(10 * time.Millisecond)
	setFull(s, later, 0)
	sent, refused = serveWaiters(s, later)
	is.Equal(refused, "")
	is.Equal(sent, "urgent burst0 burst1 burst2 burst3 small0 burst4 burst5 burst6 small1 burst7 late")
	is.Equal(s.Waiters(), 0)
}

// Guards against requests that wait, here or at a replica, although their callers will have
// left before any replica begins them, and against callers that all return at one time.
func TestHopelessRequestIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	s := newFullState(5 * time.Second)
	retries := make(map[time.Duration]bool)
	for range 20 {
		s.Submit(epoch, &Waiter{Request: streamRequest("r", 1)})
		s.ServeWaiters(epoch, "llm", func(_ *Waiter, d Decision) {
			is.Equal(d.Cause, CauseOverload)
			is.True(d.RetryAfter >= 3*time.Second && d.RetryAfter <= 5*time.Second)
			retries[d.RetryAfter] = true
		})
		is.Equal(s.Waiters(), 0)
	}
	is.True(len(retries) > 10)

	// The first in the queue has waited for so long that one behind it has no prospect.
	s = newFullState(time.Second)
	first := streamRequest("first", 1)
	first.Route.LatencyTarget, first.Deadline = 0, epoch.Add(time.Minute)
	first.Route.EventGapTarget = 5 * time.Second // the caller waits 40 s
	s.Submit(epoch, &Waiter{Request: first})
	sent, refused := serveWaiters(s, epoch)
	is.Equal(sent+refused, "")
	later := epoch.Add(3 * time.Second)
	setFull(s, later, time.Second)
	behind := streamRequest("behind", 1)
	behind.Route.LatencyTarget, behind.Arrived, behind.Deadline = 0, later, later.Add(time.Minute)
	s.Submit(later, &Waiter{Request: behind})
	sent, refused = serveWaiters(s, later)
	is.Equal(sent, "")
	is.Equal(refused, "behind overload")
}

// Guards against a late request that delays those which can still meet their targets: at the
// replica, where it must be less urgent, and in the queue.
func TestLateRequestIsLessUrgent(t *testing.T) {
	is := is.New(t)
	s := newFullState(0)
	req := streamRequest("late", 1)
	req.Arrived = epoch.Add(-600 * time.Millisecond)
	d := s.Choose(epoch, req, History{})
	is.Equal(d.Verdict, Send)
	is.Equal(d.Urgency, urgencyLevel(req, true))
	setFull(s, epoch, 500*time.Millisecond) // room for those that are not late
	is.Equal(s.Choose(epoch, req, History{}).Verdict, Wait)
	is.Equal(s.Choose(epoch, streamRequest("other", 1), History{}).Verdict, Send)
}

// Guards against a less urgent class of requests that is sent to a replica for which a more
// urgent one waits.
func TestWaitLimitNeverGrowsWithClass(t *testing.T) {
	is := is.New(t)
	last := maxReplicaWait
	for rank := range 4 {
		for _, late := range []bool{false, true} {
			limit := waitLimit(streamRequest("r", rank), late)
			is.True(limit > 0 && limit <= last)
			last = limit
		}
	}
}

// Guards against a pace of bookings that stays slow after the replicas have room again, and
// against a freed slot that is not used.
func TestPaceFollowsRejections(t *testing.T) {
	is := is.New(t)
	s := newState(plainReplica("p"), plainReplica("q"))
	s.SetInstances(10)
	s.SetReport(epoch, "p", Report{Slots: 2, Slowness: 1})
	svc, now := s.service("app"), epoch
	choose := func() Decision {
		req := plainRequest("r")
		req.Arrived, req.Deadline = now, now.Add(time.Second)
		return s.Choose(now, req, History{})
	}
	for range 10 {
		d := choose()
		is.Equal(d.Verdict, Send)
		s.RecordSend(now, plainRequest("r"), d)
		s.RecordEnd(now, now, plainRequest("r"), d, NotExecuted, 0)
		now = now.Add(svc.pace.gap)
	}
	is.Equal(svc.pace.gap, time.Duration(maxGapShare*float64(s.fairGap(now, svc))))
	d := choose()
	s.RecordSend(now, plainRequest("r"), d)
	is.Equal(choose().Cause, CauseFull)
	s.RecordEnd(now, now, plainRequest("r"), d, Answered, 0)
	is.Equal(choose().Replica, d.Replica) // its slot is free
	for range 200 {
		s.RecordFirstByte(now, plainRequest("r"), Decision{Replica: d.Replica}, 0, defaultPlainTTFB)
	}
	is.Equal(svc.pace.gap, time.Duration(0))
}

// Guards against a refusal of a booking so late that it does not reach the caller.
func TestPlainRequestIsRefusedInTime(t *testing.T) {
	is := is.New(t)
	s := newState(plainReplica("p"))
	s.SetReport(epoch, "p", Report{Slots: 2, Slowness: 1})
	s.service("app").pace = pace{gap: 20 * time.Millisecond, lastSend: epoch}
	s.Submit(epoch, &Waiter{Request: plainRequest("r")}) // its caller waits 1 s
	refusedAfter := time.Duration(0)
	for after := time.Duration(0); after <= time.Second && refusedAfter == 0; after += 50 * time.Millisecond {
		s.service("app").pace.lastSend = epoch.Add(after) // others go first
		s.ServeWaiters(epoch.Add(after), "app", func(_ *Waiter, d Decision) {
			is.Equal(d.Cause, CauseOverload)
			refusedAfter = after
		})
	}
	is.True(refusedAfter >= 500*time.Millisecond && refusedAfter <= 800*time.Millisecond)
}

// Guards against refusing a request to a model because of an estimate that is a little above
// what its caller waits: estimates are often twice too long, and the caller comes back.
func TestModelRequestIsRefusedOnlyWithoutProspect(t *testing.T) {
	for factor, verdict := range map[float64]Verdict{0.5: Wait, 1.5: Wait, 3: Refuse} {
		is := is.New(t)
		req := streamRequest("r", 1)
		leaves := leaveTime(req, History{}).Sub(req.Arrived)
		s := newFullState(time.Duration(factor * float64(leaves)))
		is.Equal(s.Choose(epoch, req, History{}).Verdict, verdict)
	}
}
