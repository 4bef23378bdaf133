package dispatch

import (
	"time"

	"github.com/hyssophaven/hyssophaven/rendezvous"
)

// affinityShare is the share of the prefill time of shared prompt parts that is
// subtracted from the score of the replica all instances prefer for them. Services that
// use the estimate of prefixscore.go have no such share.
const affinityShare = 0.5

// prefixAffinity returns the ID of the replica that all instances prefer for the
// shared parts of a request's prompt, or "", and the amount to subtract from its
// score. All parts but the last count as shared.
func (s *State) prefixAffinity(now time.Time, svc *service, req *Request) (id string, bonus time.Duration) {
	if req.Model == "" || len(req.Parts) < 2 {
		return "", 0
	}
	shared := req.Parts[:len(req.Parts)-1]
	tokens := 0
	for _, p := range shared {
		tokens += p.Tokens
	}
	work := float64(tokens) * s.LatencyProfile(req.Model).PerToken
	return affinityReplica(now, svc, req.Model, shared[len(shared)-1].Key), time.Duration(affinityShare * float64(prefillTime(work)))
}

// affinityReplica returns the ID of the replica that rendezvous hashing selects
// for a shared prompt part, or "" if no replica holds the model.
func affinityReplica(now time.Time, svc *service, model string, key uint64) string {
	var best string
	var highest uint64
	for _, r := range svc.replicas {
		if r.info.Leaving || r.backsOff(now) || r.ejectionTime > 0 || !r.info.Holds(model) {
			continue
		}
		if w := rendezvous.Score(key, r.idHash); best == "" || w > highest {
			best, highest = r.info.ID, w
		}
	}
	return best
}
