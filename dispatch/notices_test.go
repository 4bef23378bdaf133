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
	is.True(s.RecordNotice(epoch, d.Replica, Notice{Leaving: true}))
	is.True(!s.RecordNotice(epoch, d.Replica, Notice{Leaving: true})) // nothing new
	is.Equal(chosen(epoch).Cause, CauseNoReplica)
	is.Equal(affinityReplica(s.service("llm"), "m", 1), "")
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
	is.True(!s.RecordNotice(epoch, first, Notice{Leaving: true})) // a late answer of the first process
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
