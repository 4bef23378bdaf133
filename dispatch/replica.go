package dispatch

import (
	"slices"
	"time"

	"github.com/hyssophaven/hyssophaven/catalog"
	"github.com/hyssophaven/hyssophaven/rendezvous"
)

// Load is the work that one or more instances have in flight on a replica.
type Load struct {
	Requests int // requests sent and not finished
	// PendingPrefill is the prefill work of requests whose first event has not
	// arrived, in tokens of a model with LatencyProfile.PerToken 1, by urgency level.
	PendingPrefill [UrgencyLevels]float64
	// Adapters lists the adapters that requests use, as MODEL/ADAPTER. It is set
	// by OwnLoad.
	Adapters []string
	// Models is the number of requests by model. It is set by OwnLoad.
	Models map[string]int
	// Unreachable reports that the last attempt to connect to the replica failed.
	// It is set by OwnLoad.
	Unreachable bool
}

// Add returns the sum of the requests and of the prefill work. The other fields
// are left empty.
func (l Load) Add(other Load) Load {
	sum := Load{Requests: l.Requests + other.Requests}
	for level := range sum.PendingPrefill {
		sum.PendingPrefill[level] = l.PendingPrefill[level] + other.PendingPrefill[level]
	}
	return sum
}

// Sub returns the requests and the prefill work without those of part, or 0 where
// part has more. The other fields are left empty.
func (l Load) Sub(part Load) Load {
	rest := Load{Requests: max(0, l.Requests-part.Requests)}
	for level := range rest.PendingPrefill {
		rest.PendingPrefill[level] = max(0, l.PendingPrefill[level]-part.PendingPrefill[level])
	}
	return rest
}

// Report is the load that a replica states in an answer.
type Report struct {
	Running, Waiting, Slots int
}

const (
	// maxReportAge is the age up to which a load report is used. Replicas in use
	// answer about once a second; a replica that stopped answering must not be
	// judged by its last report.
	maxReportAge = 1500 * time.Millisecond
	// maxPeerLoadAge is the age up to which the load of other instances is used.
	// Instances report several times within it.
	maxPeerLoadAge = 2 * time.Second
	// An ejected replica gets no requests for baseEjectionTime, doubled after each
	// failed probe up to maxEjectionTime. A crashed replica takes some seconds to
	// restart.
	baseEjectionTime = 400 * time.Millisecond
	maxEjectionTime  = 4 * time.Second
	// ejectionFailures is the number of consecutive failures that eject a replica.
	// A single failure is common on replicas that lose a few percent of their
	// answers.
	ejectionFailures = 2
	// ejectionFailureRatio is the moving average of the failure ratio at which a
	// replica is ejected even without consecutive failures.
	ejectionFailureRatio = 0.3
	// failureRatioWeight is the weight of the newest request in that average.
	failureRatioWeight = 0.12
)

// replica holds what this instance knows of one replica.
type replica struct {
	info            *catalog.Replica
	idHash          uint64          // rendezvous hash of the replica ID
	adapters        map[string]bool // loaded adapters, by adapterKey
	adapterRequests map[string]int  // own requests in flight, by adapterKey
	modelRequests   map[string]int  // own requests in flight, by model
	ownLoad         Load
	peerLoad        Load
	peerLoadAt      time.Time
	report          Report
	reportAt        time.Time
	// sentSinceReport is the number of own requests sent since reportAt.
	sentSinceReport int
	// latencyRatio is the moving average of the ratio of measured to estimated time
	// to the first byte.
	latencyRatio        float64
	lastAnswerAt        time.Time // when the last answer to this instance began
	silentAt            time.Time // when an answer was last reported as silent; zero after a sign of life
	consecutiveFailures int
	unreachable         bool // the last failure was a failed connection attempt
	failureRatio        float64
	ejectedUntil        time.Time     // no requests before this time
	ejectionTime        time.Duration // length of the last ejection; 0 after a success
	probing             bool          // a probe request is in flight
	changingModel       bool          // it loads or unloads a model, and accepts no other order
	changingModelUntil  time.Time
	adapterSlotsFull    bool      // all adapter slots are in use
	unloading           []string  // models that are being unloaded or are about to be
	backoffUntil        time.Time // no requests before this time, as the replica asked
	prefixes            prefixes
}

func newReplica(info *catalog.Replica) *replica {
	r := &replica{idHash: rendezvous.Hash(info.ID), adapters: make(map[string]bool), adapterRequests: make(map[string]int), modelRequests: make(map[string]int), latencyRatio: 1, prefixes: newPrefixes()}
	r.update(info)
	return r
}

// update replaces the replica's description. Adapters that it does not list are
// kept as long as it holds their model, because the description lags behind
// adapter loads.
func (r *replica) update(info *catalog.Replica) {
	r.info = info
	for key := range r.adapters {
		model, _, _ := splitAdapterKey(key)
		if !info.Holds(model) {
			delete(r.adapters, key)
		}
	}
	for _, m := range info.Models {
		for _, a := range m.Adapters {
			r.adapters[adapterKey(m.Name, a)] = true
		}
	}
}

func adapterKey(model, adapter string) string { return model + "/" + adapter }

func splitAdapterKey(key string) (model, adapter string, ok bool) {
	i := slices.Index([]byte(key), '/')
	if i < 0 {
		return key, "", false
	}
	return key[:i], key[i+1:], true
}

func (r *replica) setAdapter(model, adapter string, present bool) {
	if present {
		r.adapters[adapterKey(model, adapter)] = true
	} else {
		delete(r.adapters, adapterKey(model, adapter))
	}
}

func (r *replica) hasAdapter(model, adapter string) bool {
	return adapter == "" || r.adapters[adapterKey(model, adapter)]
}

// inFlight estimates the number of requests that run or wait on the replica.
func (r *replica) inFlight(now time.Time) int {
	n := r.ownLoad.Requests
	if now.Sub(r.peerLoadAt) < maxPeerLoadAge {
		n += r.peerLoad.Requests
	}
	if now.Sub(r.reportAt) < maxReportAge {
		n = max(n, r.report.Running+r.report.Waiting+r.sentSinceReport)
	}
	return n
}

// pendingPrefill estimates the prefill work that the replica does before a new
// request of an urgency level; engines admit more urgent requests first.
// avgPrefill is the average prefill work of a request.
func (r *replica) pendingPrefill(now time.Time, level int, avgPrefill float64) float64 {
	work := 0.0
	usePeerLoad := now.Sub(r.peerLoadAt) < maxPeerLoadAge
	for l := 0; l <= level; l++ {
		work += r.ownLoad.PendingPrefill[l]
		if usePeerLoad {
			work += r.peerLoad.PendingPrefill[l]
		}
	}
	if level < UrgencyLevels-1 && r.hasLessUrgentWork(level) {
		return work // the report doesn't state the urgency of waiting requests
	}
	if now.Sub(r.reportAt) < maxReportAge {
		work = max(work, float64(r.report.Waiting)*avgPrefill)
	}
	return work
}

// hasLessUrgentWork reports whether prefill work less urgent than a level is
// pending on the replica.
func (r *replica) hasLessUrgentWork(level int) bool {
	for l := level + 1; l < UrgencyLevels; l++ {
		if r.ownLoad.PendingPrefill[l]+r.peerLoad.PendingPrefill[l] > 0 {
			return true
		}
	}
	return false
}

// serves reports whether the replica holds the request's model, if it has one, and is
// not about to unload it.
func (r *replica) serves(req *Request) bool {
	return req.Model == "" || r.info.Holds(req.Model) && !slices.Contains(r.unloading, req.Model)
}

// usableAsLastResort reports whether an ejected replica can get a request if no
// other replica can. A failing replica still succeeds sometimes, but an
// unreachable one does not.
func (r *replica) usableAsLastResort() bool { return !r.info.Leaving && !r.unreachable }

// usable reports whether the replica can get a request. An ejected replica gets
// one request as a half-open probe when its ejection time is over.
func (r *replica) usable(now time.Time) bool {
	if r.info.Leaving {
		return false
	}
	return r.ejectionTime == 0 || (!now.Before(r.ejectedUntil) && !r.probing)
}

// recordSuccess ends an ejection and resets the consecutive failures.
func (r *replica) recordSuccess() {
	r.consecutiveFailures, r.ejectionTime, r.probing, r.unreachable, r.silentAt = 0, 0, false, false, time.Time{}
	r.failureRatio *= 1 - failureRatioWeight
}

// recordFailure counts a failure of the replica. It reports whether the failure
// ejects the replica.
func (r *replica) recordFailure(now time.Time, unreachable bool) bool {
	r.consecutiveFailures++
	r.unreachable = unreachable
	r.failureRatio += failureRatioWeight * (1 - r.failureRatio)
	wasProbe := r.probing
	r.probing = false
	if !unreachable && !wasProbe && r.consecutiveFailures < ejectionFailures && r.failureRatio < ejectionFailureRatio {
		return false
	}
	if now.Before(r.ejectedUntil) {
		return false // a late failure of a request sent before the ejection
	}
	r.ejectionTime = min(max(2*r.ejectionTime, baseEjectionTime), maxEjectionTime)
	r.ejectedUntil = now.Add(r.ejectionTime)
	return true
}
