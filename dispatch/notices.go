package dispatch

import (
	"time"

	"github.com/hyssophaven/hyssophaven/catalog"
)

// Notice is what a replica asks of an instance in the head of an answer.
type Notice struct {
	// Leaving means that the replica shuts down and wants no more requests.
	Leaving bool
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
}

// isFrom reports whether a description is that of the process.
func (n notices) isFrom(info *catalog.Replica) bool {
	if n.startMillis != 0 && info.StartMillis != 0 {
		return n.startMillis == info.StartMillis
	}
	return n.address == info.Address
}

// RecordNotice records a notice that came with an answer. from describes the replica
// as it was known at the send. It reports whether the notice changes what this
// instance may send to the replica; the notice of a process that has been replaced
// changes nothing.
func (s *State) RecordNotice(now time.Time, from *catalog.Replica, notice Notice) bool {
	r, onList := s.replicas[from.ID]
	n, known := s.notices[from.ID]
	if !known || !n.isFrom(from) {
		n = notices{address: from.Address, startMillis: from.StartMillis}
	}
	if onList && !n.isFrom(r.info) {
		return false
	}
	if !known {
		s.expireNotices(now)
	}
	if n.startMillis == 0 && onList {
		n.startMillis = r.info.StartMillis
	}
	changed := notice.Leaving && !n.leaving
	n.noticedAt = now
	n.leaving = n.leaving || notice.Leaving
	s.notices[from.ID] = n
	if onList {
		r.applyNotices(n)
	}
	return changed && onList
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
		return
	}
	r.applyNotices(n)
}

// applyNotices changes the replica as its notices ask. A process that leaves does not
// return to service, whatever a later entry of the list says.
func (r *replica) applyNotices(n notices) {
	if n.leaving && !r.info.Leaving {
		info := *r.info
		info.Leaving = true
		r.info = &info
	}
}

// Replica returns the description of a replica with its notices applied, or nil if the
// replica is not known.
func (s *State) Replica(id string) *catalog.Replica {
	if r, ok := s.replicas[id]; ok {
		return r.info
	}
	return nil
}
