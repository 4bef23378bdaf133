package dispatch

import "time"

// maxSilence is how long a replica counts as silent after its last silent answer was
// reported. A replica that pauses goes on after about 1.5 s.
const maxSilence = 1500 * time.Millisecond

// RecordSilence records that an answer of a replica is silent, and RecordProgress that
// one goes on.
func (s *State) RecordSilence(now time.Time, replicaID string) {
	if r, ok := s.replicas[replicaID]; ok {
		r.silentAt = now
	}
}

// RecordProgress records that a replica is not silent.
func (s *State) RecordProgress(replicaID string) {
	if r, ok := s.replicas[replicaID]; ok {
		r.silentAt = time.Time{}
	}
}

// isSilent reports whether an answer of the replica was silent lately and nothing has
// arrived from it since.
func (r *replica) isSilent(now time.Time) bool { return now.Sub(r.silentAt) < maxSilence }
