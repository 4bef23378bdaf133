package dispatch

import (
	"time"

	"github.com/hyssophaven/hyssophaven/catalog"
)

// Notice is what a replica asks of an instance in the head of an answer.
type Notice struct {
	// Leaving means that the replica shuts down and wants no more requests.
	Leaving bool
	// Backoff is how long the replica wants no requests; 0 if it does not say.
	Backoff time.Duration
}

// maxNoticeAge is how long notices of a replica that is not on the list are kept.
// Its entry can come back for the same process after the store was unavailable.
const maxNoticeAge = 10 * time.Minute

// notices holds what one process of a replica has asked of this instance.
type notices struct {
	address     string
	startMillis int64 // of the process; 0 if unknown
	noticedAt   time.Time
	leaving     bool
	// backoffUntil is the end of the longest backoff asked for.
	backoffUntil time.Time
}

// isFrom reports whether a description is that of the process.
func (n notices) isFrom(info *catalog.Replica) bool {
	if n.startMillis != 0 && info.StartMillis != 0 {
		return n.startMillis == info.StartMillis
	}
	return n.address == info.Address
}

// RecordNotice records a notice that came with an answer. from describes the replica
// as it was known at the send. It returns the parts of the notice that were not in
// force before. The notice of a process that has been replaced is ignored.
func (s *State) RecordNotice(now time.Time, from *catalog.Replica, notice Notice) (news Notice) {
	r, onList := s.replicas[from.ID]
	n, known := s.notices[from.ID]
	if !known || !n.isFrom(from) {
		n = notices{address: from.Address, startMillis: from.StartMillis}
	}
	if onList && !n.isFrom(r.info) {
		return Notice{}
	}
	if !known {
		s.expireNotices(now)
	}
	if n.startMillis == 0 && onList {
		n.startMillis = r.info.StartMillis
	}
	news.Leaving = notice.Leaving && !n.leaving
	if !now.Before(n.backoffUntil) {
		news.Backoff = notice.Backoff
	}
	n.noticedAt = now
	n.leaving = n.leaving || notice.Leaving
	if until := now.Add(notice.Backoff); until.After(n.backoffUntil) {
		n.backoffUntil = until
	}
	s.notices[from.ID] = n
	if onList {
		r.applyNotices(n)
	}
	return news
}

// expireNotices removes the old notices of replicas that are not on the list.
func (s *State) expireNotices(now time.Time) {
	for id, n := range s.notices {
		if _, onList := s.replicas[id]; !onList && now.Sub(n.noticedAt) > maxNoticeAge {
			delete(s.notices, id)
		}
	}
}

// restoreNotices applies the notices of the replica's process after its description
// has changed, and removes those of an earlier process.
func (s *State) restoreNotices(r *replica) {
	n, known := s.notices[r.info.ID]
	if !known {
		return
	}
	if !n.isFrom(r.info) {
		delete(s.notices, r.info.ID)
		n = notices{}
	}
	r.applyNotices(n)
}

// applyNotices changes the replica as its notices ask. A process that leaves does not
// return to service, whatever a later entry of the list says.
func (r *replica) applyNotices(n notices) {
	r.backoffUntil = n.backoffUntil
	if n.leaving && !r.info.Leaving {
		info := *r.info
		info.Leaving = true
		r.info = &info
	}
}

// backsOff reports whether the replica wants no requests now.
func (r *replica) backsOff(now time.Time) bool { return now.Before(r.backoffUntil) }

// BackoffUntil returns the time until which a replica wants no requests. It is zero or
// past if the replica accepts them.
func (s *State) BackoffUntil(id string) time.Time {
	if r, ok := s.replicas[id]; ok {
		return r.backoffUntil
	}
	return time.Time{}
}

// shortestBackoff returns the shortest time until a replica that backs off and could
// serve the request accepts requests again.
func (s *State) shortestBackoff(now time.Time, req *Request) time.Duration {
	var shortest time.Duration
	for _, r := range s.service(req.Service).replicas {
		if r.info.Leaving || !r.backsOff(now) || !r.serves(req) {
			continue
		}
		if left := r.backoffUntil.Sub(now); shortest == 0 || left < shortest {
			shortest = left
		}
	}
	return shortest
}

// Replica returns the description of a replica with its notices applied, or nil if the
// replica is not known.
func (s *State) Replica(id string) *catalog.Replica {
	if r, ok := s.replicas[id]; ok {
		return r.info
	}
	return nil
}
