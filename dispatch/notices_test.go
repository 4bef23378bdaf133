package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hyssophaven/hyssophaven/catalog"
)

// startedAt returns a replica whose process started at a time in Unix milliseconds.
func startedAt(r *catalog.Replica, millis int64) *catalog.Replica {
	r.StartMillis = millis
	return r
}

// Guards against requests to a replica that has stated that it leaves: as a probe after
// an ejection, as the last resort, as the preferred replica of a prefix, or because the
// list still has it in service. Also guards against one that is never used again after
// its restart.
func TestLeavingStatedInAnswer(t *testing.T) {
	is := is.New(t)
	s := newState(startedAt(engineReplica("a", "m"), 1))
	chosen := func(now time.Time) Decision {
		req := streamRequest("1", 0)
		req.Parts = []Part{{1, 400}, {2, 400}}
		req.Arrived, req.Deadline = now, now.Add(5*time.Second)
		return s.Choose(now, req, History{})
	}
	d := chosen(epoch)
	is.Equal(d.Verdict, Send)
	is.Equal(s.RecordNotice(epoch, d.Replica, Notice{Leaving: true}), Notice{Leaving: true})
	is.Equal(s.RecordNotice(epoch, d.Replica, Notice{Leaving: true}), Notice{}) // nothing new
	is.Equal(chosen(epoch).Cause, CauseNoReplica)
	is.Equal(affinityReplica(epoch, s.service("llm"), "m", 1), "")
	for range 2 * ejectionFailures {
		s.RecordEnd(epoch, epoch, streamRequest("f", 0), d, Failed, 0)
	}
	is.Equal(chosen(epoch).Cause, CauseNoReplica)
	is.Equal(chosen(epoch.Add(maxEjectionTime)).Cause, CauseNoReplica)
	s.SetReplica("a", startedAt(engineReplica("a", "m"), 1))
	is.Equal(chosen(epoch).Cause, CauseNoReplica)
	s.SetReplica("a", engineReplica("a", "m")) // an entry without a start time
	is.Equal(chosen(epoch).Cause, CauseNoReplica)
	is.True(s.Replica("a").Leaving)
	s.SetReplica("a", startedAt(engineReplica("a", "m"), 2))
	is.Equal(chosen(epoch).Verdict, Send)
}

// Guards against a notice that is forgotten when a replica's entry is missing for a
// while, and against one that is applied to the next process.
func TestNoticeBelongsToProcess(t *testing.T) {
	is := is.New(t)
	first, second := startedAt(plainReplica("a"), 1), startedAt(plainReplica("a"), 2)
	s := newState(first)
	choose := func() Verdict { return s.Choose(epoch, plainRequest("1"), History{}).Verdict }
	s.RecordNotice(epoch, first, Notice{Leaving: true})
	s.SetReplica("a", nil)
	s.SetReplica("a", first)
	is.Equal(choose(), Refuse)
	s.SetReplica("a", second)
	is.Equal(choose(), Send)
	is.Equal(s.RecordNotice(epoch, first, Notice{Leaving: true}), Notice{}) // a late answer of the first process
	is.Equal(choose(), Send)
	s.SetReplica("a", nil)
	s.RecordNotice(epoch, second, Notice{Leaving: true}) // the end of a stream while the entry is missing
	s.SetReplica("a", second)
	is.Equal(choose(), Refuse)
}

// Guards against memory that grows with each replica that leaves.
func TestNoticesOfRemovedReplicasExpire(t *testing.T) {
	is := is.New(t)
	s := newState()
	for i := range 100 {
		now := epoch.Add(time.Duration(i) * maxNoticeAge / 10)
		r := startedAt(plainReplica(fmt.Sprint(i)), int64(i))
		s.SetReplica(r.ID, r)
		s.RecordNotice(now, r, Notice{Leaving: true})
		s.SetReplica(r.ID, nil)
	}
	is.True(len(s.notices) <= 12)
}

// Guards against requests to a replica that has asked for a pause: as the last resort, as
// a probe after an ejection, or because a later notice asks for less. Also guards against
// a replica that gets no requests after the pause or after its restart.
func TestBackoffStatedInAnswer(t *testing.T) {
	is := is.New(t)
	s := newState(startedAt(plainReplica("a"), 1))
	at := func(after time.Duration) Decision {
		req := plainRequest("1")
		req.Arrived, req.Deadline = epoch.Add(after), epoch.Add(after+time.Second)
		return s.Choose(req.Arrived, req, History{})
	}
	d := at(0)
	is.Equal(s.RecordNotice(epoch, d.Replica, Notice{Backoff: 10 * time.Second}), Notice{Backoff: 10 * time.Second})
	is.Equal(s.RecordNotice(epoch.Add(time.Second), d.Replica, Notice{Backoff: time.Second}), Notice{}) // ends earlier
	is.Equal(at(2*time.Second).Cause, CauseBackoff)
	is.Equal(at(2*time.Second).RetryAfter, 8*time.Second)
	for range 2 * ejectionFailures {
		s.RecordEnd(epoch, epoch, plainRequest("f"), d, Failed, 0)
	}
	is.Equal(at(0).Cause, CauseBackoff)
	is.Equal(at(maxEjectionTime).Cause, CauseBackoff)
	is.Equal(at(10*time.Second-1).Cause, CauseBackoff)
	is.Equal(at(10*time.Second).Verdict, Send)
	s.RecordNotice(epoch.Add(10*time.Second), d.Replica, Notice{Backoff: time.Hour})
	s.SetReplica("a", startedAt(plainReplica("a"), 1))
	is.Equal(at(time.Minute).Cause, CauseBackoff)
	s.SetReplica("a", plainReplica("a")) // an entry without a start time
	is.Equal(at(time.Minute).Cause, CauseBackoff)
	s.SetReplica("a", startedAt(plainReplica("a"), 2))
	is.Equal(at(time.Minute).Verdict, Send)
}

// Guards against a refusal although another replica accepts requests, and against one
// that does not state the shortest time until a replica does.
func TestBackoffOfAllReplicas(t *testing.T) {
	is := is.New(t)
	a, b := engineReplica("a", "m"), engineReplica("b", "m")
	s := newState(a, b, engineReplica("c", "other"))
	s.RecordNotice(epoch, a, Notice{Backoff: 3 * time.Second})
	choose := func(tried ...string) Decision { return s.Choose(epoch, streamRequest("1", 0), History{Tried: tried}) }
	is.Equal(choose().Replica.ID, "b")
	is.Equal(choose("a").Replica.ID, "b")
	is.Equal(choose("b").Cause, CauseAllTried) // b still accepts other requests
	for range 2 * ejectionFailures {
		s.RecordEnd(epoch, epoch, streamRequest("f", 0), Decision{Replica: b}, Failed, 0)
	}
	is.Equal(choose().Replica.ID, "b") // as the last resort
	s.RecordNotice(epoch, b, Notice{Backoff: 2 * time.Second})
	for _, d := range []Decision{choose(), choose("a"), choose("a", "b")} {
		is.Equal(d.Verdict, Refuse)
		is.Equal(d.Cause, CauseBackoff)
		is.Equal(d.RetryAfter, 2*time.Second)
	}
	s.SetModelArrivals(epoch, map[string]time.Duration{"m": time.Second})
	is.Equal(choose().Verdict, Refuse) // not a wait for another copy
}
