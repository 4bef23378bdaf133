package dispatch

import (
	"math"
	"time"

	"github.com/hyssophaven/hyssophaven/catalog"
	"github.com/hyssophaven/hyssophaven/prefixcache"
)

// This file feeds the estimate of what replicas hold in their KV caches. It is used for
// services for which isContended is true; for all others, prefixes is used as before.

const (
	// defaultRunTime is the time that a request runs, until one has ended.
	defaultRunTime = 500 * time.Millisecond
	// minBelief is the probability from which prompt parts count as believed.
	minBelief = 0.5
	// minJudgedSaving is the least expected saving that an answer can prove or disprove:
	// about an engine step; and minJudgedShare its least share of the expected time.
	minJudgedSaving, minJudgedShare = 8 * time.Millisecond, 0.15
)

// prefixAverages are moving averages of a service for the estimate.
type prefixAverages struct {
	avgNewTokens float64 // per request: prompt tokens that are not cached, and output tokens
	avgRunTime   time.Duration
}

// prefixEstimate is the estimate of all replicas' caches, with the result of the last
// look-up for a request. The result is kept in replica.cached.
type prefixEstimate struct {
	table      *prefixcache.Table
	replicas   []*replica // by prefixcache.Replica
	lookedUp   *Request   // request of the last look-up
	generation uint64     // number of the last look-up
	active     bool       // the service of lookedUp uses the estimate
	counts     PrefixCounts
}

// PrefixCounts counts what became of the estimate of replicas' caches.
type PrefixCounts struct {
	Parts       int // entries of the estimate: pairs of a part and a replica
	Believed    int // decisions for a replica that was believed to hold shared parts
	Hits        int // of these, answers as early as with the parts
	Misses      int // and as late as without them
	Corrections int // corrections of the estimate by late answers
	Dropped     int // parts that corrections have dropped
}

// cachedPrefixes is the part of the estimate for one replica.
type cachedPrefixes struct {
	id prefixcache.Replica // 0 before the first send
	// The result of the look-up with this generation: the expected number of cached tokens,
	// those of the shared parts among them, the highest probability, and the Unix time in
	// nanoseconds of the last use of the last shared part.
	generation       uint64
	expected, shared float64
	probability      float64
	usedAt           int64
}

// believedPrefix is what was believed of the shared parts of a prompt when it was sent.
type believedPrefix struct {
	belief prefixcache.Belief
	tokens int // of the prompt up to the end of the part that belief is about
}

func newPrefixEstimate() prefixEstimate {
	return prefixEstimate{table: prefixcache.New(), replicas: make([]*replica, 1)}
}

// add returns the identifier of a replica in the table.
func (e *prefixEstimate) add(r *replica) prefixcache.Replica {
	if r.cached.id == 0 {
		r.cached.id = e.table.AddReplica()
		for len(e.replicas) <= int(r.cached.id) {
			e.replicas = append(e.replicas, nil)
		}
		e.replicas[r.cached.id] = r
	}
	return r.cached.id
}

// remove forgets a replica that was removed or has restarted.
func (e *prefixEstimate) remove(r *replica) {
	if r.cached.id != 0 {
		e.table.RemoveReplica(r.cached.id)
		e.replicas[r.cached.id] = nil
		r.cached = cachedPrefixes{}
	}
}

// PrefixCounts returns the counts since the start.
func (s *State) PrefixCounts() PrefixCounts {
	counts := s.prefixes.counts
	counts.Parts = s.prefixes.table.Len()
	return counts
}

// lookUpPrefixes computes, for each replica that may hold parts of a request's prompt, the
// expected number of cached tokens.
func (s *State) lookUpPrefixes(now time.Time, svc *service, req *Request) {
	e := &s.prefixes
	e.generation++
	e.lookedUp, e.active = req, svc.isContended()
	if req.Model == "" || !e.active {
		return
	}
	tokens := 0.0
	for _, p := range req.Parts {
		tokens += float64(p.Tokens)
	}
	for i := len(req.Parts) - 1; i >= 0; i-- {
		fromEnd := len(req.Parts) - 1 - i
		e.table.Holders(now, req.Model, req.Parts[i].Key, func(b prefixcache.Belief) {
			e.replicas[b.Replica].cached.addPart(e.generation, b, tokens, fromEnd)
		})
		tokens -= float64(req.Parts[i].Tokens)
	}
}

// addPart adds a part, with the tokens of the prompt up to its end, to the result of a
// look-up. fromEnd is the number of parts after it. Parts are added from the last one on,
// because a replica that holds a part holds the ones before it as well.
func (c *cachedPrefixes) addPart(generation uint64, b prefixcache.Belief, tokens float64, fromEnd int) {
	if c.generation != generation {
		c.generation, c.expected, c.shared, c.probability, c.usedAt = generation, 0, 0, 0, 0
	}
	if fromEnd == 1 {
		c.usedAt = b.UsedAt
	}
	if gain := b.Probability - c.probability; gain > 0 {
		c.expected += gain * tokens
		c.probability = b.Probability
	}
	if fromEnd > 0 {
		c.shared = max(c.shared, b.Probability*tokens)
	}
}

// cachedTokens returns the number of prompt tokens expected in a replica's prefix cache.
func (s *State) cachedTokens(r *replica, req *Request) int {
	e := &s.prefixes
	active := e.active
	if e.lookedUp != req {
		active = s.service(req.Service).isContended()
	}
	switch {
	case !active:
		return r.prefixes.cachedTokens(req.Parts)
	case e.lookedUp != req || r.cached.generation != e.generation:
		return 0
	}
	return int(math.Round(r.cached.expected))
}

// believedPrefix returns what is believed of the shared parts of a prompt on a replica.
func (s *State) believedPrefix(now time.Time, svc *service, r *replica, req *Request) believedPrefix {
	if req.Model == "" || !svc.isContended() || r.cached.id == 0 || len(req.Parts) < 2 {
		return believedPrefix{}
	}
	shared := req.Parts[:len(req.Parts)-1]
	for i := len(shared) - 1; i >= 0; i-- {
		b := s.prefixes.table.Find(now, r.cached.id, req.Model, shared[i].Key)
		if b.Probability < minBelief {
			continue
		}
		s.prefixes.counts.Believed++
		return believedPrefix{belief: b, tokens: sumTokens(shared[:i+1])}
	}
	return believedPrefix{}
}

// lastPrefixUse returns the Unix time in nanoseconds at which the replica last processed a
// request's last shared part, as far as this instance knows, and 0 if it does not.
func (s *State) lastPrefixUse(r *replica, req *Request) int64 {
	if !s.service(req.Service).isContended() {
		if at, ok := r.prefixes.lastUsed(req.Parts[len(req.Parts)-2].Key); ok {
			return at.UnixNano()
		}
		return 0
	}
	if s.prefixes.lookedUp != req || r.cached.generation != s.prefixes.generation {
		return 0
	}
	return r.cached.usedAt
}

func sumTokens(parts []Part) int {
	sum := 0
	for _, p := range parts {
		sum += p.Tokens
	}
	return sum
}

// recordPrefixSend records that a replica processes a prompt.
func (s *State) recordPrefixSend(now time.Time, r *replica, req *Request) {
	svc := s.service(req.Service)
	if !svc.isContended() {
		r.prefixes.add(now, req.Parts)
		return
	}
	if req.Model == "" {
		return
	}
	t, id := s.prefixes.table, s.prefixes.add(r)
	svc.avgNewTokens = movingAverage(svc.avgNewTokens, float64(max(0, req.PromptTokens-s.cachedTokens(r, req))+req.OutputTokens))
	t.AddWork(id, float64(max(0, req.PromptTokens-sumTokens(req.Parts))+req.OutputTokens))
	for _, p := range req.Parts {
		t.Use(now, id, req.Model, p.Key, p.Tokens)
		t.Pin(id, p.Key)
	}
	s.updateCacheRoom(now, r)
}

// recordPrefixEnd records the end of a send that began at sentAt. A replica that can't be
// reached, or fails repeatedly, has probably crashed and lost its cache.
func (s *State) recordPrefixEnd(now, sentAt time.Time, r *replica, req *Request, outcome Outcome) {
	svc := s.service(req.Service)
	if req.Model == "" || r.cached.id == 0 || !svc.isContended() {
		return
	}
	t, id := s.prefixes.table, r.cached.id
	for _, p := range req.Parts {
		t.Unpin(now, id, req.Model, p.Key)
	}
	switch outcome {
	case Answered:
		if svc.avgRunTime == 0 {
			svc.avgRunTime = now.Sub(sentAt)
		}
		svc.avgRunTime += time.Duration(averageWeight * float64(now.Sub(sentAt)-svc.avgRunTime))
	case Unreachable:
		t.Forget(id)
	case Failed, ConnectionBroken:
		if r.consecutiveFailures+1 >= ejectionFailures {
			t.Forget(id)
		}
	case Misdirected:
		t.ForgetModel(id, req.Model)
	}
	s.updateCacheRoom(now, r)
}

// forgetUnloaded forgets the parts of models that a replica has unloaded or replaced by
// another version. info is its new description.
func (s *State) forgetUnloaded(r *replica, info *catalog.Replica) {
	if r.cached.id == 0 {
		return
	}
	versions := make(map[string]int, len(info.Models))
	for _, m := range info.Models {
		versions[m.Name] = m.Version
	}
	for _, m := range r.info.Models {
		if version, holds := versions[m.Name]; !holds || version != m.Version {
			s.prefixes.table.ForgetModel(r.cached.id, m.Name)
		}
	}
}

// countPeerWork adds to the work of a replica what the other instances have sent to it
// since their load was last recorded: each of their requests runs for the average time.
func (s *State) countPeerWork(now time.Time, r *replica, load Load) {
	svc := s.service(r.info.Service)
	if r.cached.id == 0 || !svc.isContended() {
		return
	}
	runTime := svc.avgRunTime
	if runTime <= 0 {
		runTime = defaultRunTime
	}
	elapsed := min(max(now.Sub(r.peerLoadAt), 0), maxPeerLoadAge)
	s.prefixes.table.AddWork(r.cached.id, float64(load.Requests)*elapsed.Seconds()/runTime.Seconds()*svc.avgNewTokens)
}

// updateCacheRoom updates how many tokens a replica can hold beside its running requests.
func (s *State) updateCacheRoom(now time.Time, r *replica) {
	svc := s.service(r.info.Service)
	if r.cached.id == 0 || !svc.isContended() {
		return
	}
	s.prefixes.table.SetRoom(r.cached.id, s.cacheRoom(now, svc, r))
}

// cacheRoom returns the capacity of a replica's KV cache less what its running requests
// use, or maxPrefixTokens if the capacity is not known.
func (s *State) cacheRoom(now time.Time, svc *service, r *replica) float64 {
	capacity := s.cacheCapacity(r.info.Service)
	if capacity <= 0 {
		return maxPrefixTokens
	}
	running := min(r.inFlight(now), r.info.Slots)
	return max(0, capacity-float64(running)*(svc.avgPromptTokens+svc.avgOutputTokens))
}

// cacheCapacity returns the capacity in tokens of the KV cache of a service's replicas, or
// 0 if it is not known.
func (s *State) cacheCapacity(service string) float64 {
	if s.config == nil {
		return 0
	}
	if config, ok := s.config.Services[service]; ok && config.Engine != nil {
		return float64(config.Engine.KVCacheTokens)
	}
	return 0
}

// judgePrefix corrects the estimate by the time to the first byte of an answer: whether it
// came as early as with the prompt parts that were believed, or as late as without them.
// An answer that is later than that waited for other work and shows nothing. It reports
// whether the parts were missed; the number of tokens that were prefilled is not known then.
// expected and took are for a machine that is as slow as usual.
func (s *State) judgePrefix(r *replica, req *Request, d Decision, expected, took time.Duration) (missed bool) {
	b := d.believed
	if b.tokens == 0 || r.cached.id != b.belief.Replica || d.NeedsAdapter || d.PrefixSource != nil ||
		d.PrefillWork < minOwnPrefillShare*(d.PendingPrefill+d.PrefillWork) {
		return false
	}
	perToken := s.LatencyProfile(req.Model).PerToken * r.latencyRatio
	saving := prefillTime(float64(b.tokens) * perToken)
	if float64(saving) < max(float64(minJudgedSaving), minJudgedShare*float64(expected)) {
		return false
	}
	without := expected + prefillTime(float64(min(d.CachedTokens, b.tokens))*perToken)
	if took > without+saving {
		return false
	}
	evidence := float64(took-without+saving/2) / float64(saving/2)
	counts := &s.prefixes.counts
	if evidence < 0 {
		counts.Hits++
	} else {
		counts.Misses++
	}
	if dropped := s.prefixes.table.Learn(b.belief, evidence); dropped > 0 {
		counts.Corrections++
		counts.Dropped += dropped
	}
	return evidence >= 0
}
