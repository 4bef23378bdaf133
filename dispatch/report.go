package dispatch

import "time"

// Report is the load that a replica states in an answer.
type Report struct {
	Running, Waiting, Slots int
	// Slowness is how long work takes on the replica's machine now, as a multiple of what
	// is usual there; 1 is as usual, and 0 means that the replica does not state it.
	Slowness float64
}

const (
	// fullSlownessAge is the age up to which a stated slowness is fully believed, and
	// maxSlownessAge the age from which it is ignored. Slowness changes about every 0.6 s.
	fullSlownessAge = 100 * time.Millisecond
	maxSlownessAge  = time.Second
	// minSlowness and maxSlowness bound what is believed, so that a wrong figure neither
	// draws all requests to a replica nor keeps it without any.
	minSlowness, maxSlowness = 0.2, 10.0
)

// slowness returns the expected slowness of the replica: the stated one, drawn towards 1
// with its age.
func (r *replica) slowness(now time.Time) float64 {
	age := now.Sub(r.reportAt)
	if r.report.Slowness <= 0 || age >= maxSlownessAge {
		return 1
	}
	stated := min(max(r.report.Slowness, minSlowness), maxSlowness)
	weight := min(1, float64(maxSlownessAge-age)/float64(maxSlownessAge-fullSlownessAge))
	return 1 + weight*(stated-1)
}

// SetReport records the load report that came with a replica's answer.
func (s *State) SetReport(now time.Time, replicaID string, report Report) {
	r, ok := s.replicas[replicaID]
	if !ok {
		return
	}
	r.report, r.reportAt, r.sentSinceReport = report, now, 0
	if report.Slowness > 0 {
		s.service(r.info.Service).statesSlowness = true
	}
	s.updateCacheRoom(now, r)
}

// maxPresentReportAge is the age up to which the requests in a report count for a service
// that is contended. Its requests are held back while replicas are full, and nothing
// would correct an older report: no request is sent, so no answer brings a newer one.
const maxPresentReportAge = 500 * time.Millisecond

// presentPrefill estimates the prefill work that the replica does before a new request of an
// urgency level: what instances know of their own sends, or the requests that waited at the
// time of the last report, less what the replica has done since.
func (r *replica) presentPrefill(now time.Time, level int, avgPrefill float64) float64 {
	work := 0.0
	for l := 0; l <= level; l++ {
		work += r.ownLoad.PendingPrefill[l]
		if now.Sub(r.peerLoadAt) < maxPeerLoadAge {
			work += r.peerLoad.PendingPrefill[l]
		}
	}
	age := now.Sub(r.reportAt)
	if age >= maxPresentReportAge || level < UrgencyLevels-1 && r.hasLessUrgentWork(level) {
		return work
	}
	done := milliseconds(age) * prefillTokensPerMS / (r.latencyRatio * r.slowness(now))
	return max(work, float64(r.report.Waiting)*avgPrefill-done)
}
