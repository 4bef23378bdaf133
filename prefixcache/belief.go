package prefixcache

import (
	"math"
	"time"
)

const (
	// pinnedProbability is the probability that a replica holds a part that a running
	// request uses. The request may still wait for its prefill.
	pinnedProbability = 0.97
	// halfFill is the work since the last use, as a share of the room, at which a part is
	// held with probability 0.5. It is below 1, because work is underestimated: other
	// instances' requests are counted by their sums.
	halfFill = 0.8
	// maxFill is the same share above which a part is dropped; its probability is
	// below 0.07.
	maxFill = 1.25
	// ageHalfLife is the age that halves the probability, for changes of the replica that
	// this instance does not learn of.
	ageHalfLife = 60 * time.Second
	// Bounds of a replica's retention, and its change by one answer.
	minRetention, maxRetention            = 0.1, 1.25
	retentionAfterMiss, retentionAfterHit = 0.9, 1.02
	// correctionEvidence is the sum of evidence at which the estimate is corrected: more
	// than one late answer, because one is often late for another reason.
	correctionEvidence = 1.5
)

// Belief is what is believed of one part on one replica.
type Belief struct {
	Replica     Replica
	Probability float64
	// UsedAt is the Unix time of the last use in nanoseconds.
	UsedAt int64
	// position orders the uses of the parts of a replica.
	position float64
}

// Holders calls visit for every replica that may hold a part of a prompt for a model.
func (t *Table) Holders(now time.Time, model string, part uint64, visit func(Belief)) {
	i, ok := t.holders[part]
	if !ok {
		return
	}
	at := now.UnixNano()
	for i != none {
		e := &t.entries[i]
		i = e.nextHolder // visit may drop this entry
		if r := &t.replicas[e.replica]; !t.isUnloaded(r, e, model) {
			visit(Belief{Replica: e.replica, Probability: r.probability(at, e), UsedAt: e.usedAt, position: e.position})
		}
	}
}

// Find returns what is believed of a part on a replica. The probability is 0 if the
// replica is not known to hold it.
func (t *Table) Find(now time.Time, id Replica, model string, part uint64) Belief {
	i := t.find(id, part)
	if i == none {
		return Belief{}
	}
	e, r := &t.entries[i], &t.replicas[id]
	if t.isUnloaded(r, e, model) {
		return Belief{}
	}
	return Belief{Replica: id, Probability: r.probability(now.UnixNano(), e), UsedAt: e.usedAt, position: e.position}
}

// probability returns the probability that the replica still holds the part. It falls
// with the work since the last use, the faster the less room the running requests leave,
// and with the age.
func (r *replica) probability(now int64, e *entry) float64 {
	if e.pins > 0 {
		return pinnedProbability
	}
	room := r.room * r.retention
	if room <= 0 {
		return 0
	}
	fill := (r.work - e.position) / (halfFill * room)
	cube := fill * fill * fill
	return math.Exp2(-float64(max(now-e.usedAt, 0))/float64(ageHalfLife)) / (1 + cube*cube)
}

// Learn records what an answer shows about the parts of which b was believed when its
// request was sent: evidence is -1 if the answer came as early as with the parts, 1 if as
// late as without them, or between. It returns the number of parts that are dropped.
//
// Replicas drop parts in the order of last use, so once enough answers have been late, the
// parts last used no later than b are gone too.
func (t *Table) Learn(b Belief, evidence float64) (dropped int) {
	if b.Replica == 0 {
		return 0
	}
	r := &t.replicas[b.Replica]
	r.doubt = max(0, r.doubt+min(max(evidence, -1), 1))
	if evidence < 0 {
		r.retention = min(r.retention*retentionAfterHit, maxRetention)
	}
	if r.doubt < correctionEvidence {
		return 0
	}
	r.doubt = 0
	r.retention = max(r.retention*retentionAfterMiss, minRetention)
	for i := r.oldest; i != none && t.entries[i].position <= b.position; {
		newer := t.entries[i].newer
		if t.entries[i].pins == 0 {
			t.drop(i)
			dropped++
		}
		i = newer
	}
	return dropped
}
