package dispatch

import (
	"slices"
	"time"

	"github.com/hyssophaven/hyssophaven/catalog"
	"github.com/hyssophaven/hyssophaven/rendezvous"
)

// This file decides when a replica takes shared prompt parts from the KV cache of
// another one instead of prefilling them. The load pattern is prompts that share
// thousands of tokens, sent by many instances to many replicas: each replica prefills
// the same parts again, and prefilling them delays every request in its batch.
//
// A source that lost the parts costs nothing: the replica prefills what it did not get.

const (
	// minFetchedTokens is the size of the shared parts from which a transfer is worth
	// its bytes: an engine prefills fewer tokens within one or two steps.
	minFetchedTokens = 2048
	// minPrefillTokensPerMS is a prefill speed that every engine reaches, in tokens per
	// millisecond. A transfer must be faster.
	minPrefillTokensPerMS = 10.0
	// prefixFetchSetup is the time that a transfer takes besides its bytes.
	prefixFetchSetup = 5 * time.Millisecond
)

// prefixSource returns the replica whose KV cache most probably holds the shared parts
// of a request's prompt, apart from the chosen one: the one to which this instance sent
// them last, or the one that all instances prefer for them. It returns nil if there is
// none or if a transfer is not worth it. What the chosen replica has cached is not known
// for sure, so it does not count; nothing is transferred twice.
func (s *State) prefixSource(now time.Time, svc *service, chosen *replica, req *Request) *catalog.Replica {
	if req.Model == "" || len(req.Parts) < 2 {
		return nil
	}
	shared := req.Parts[:len(req.Parts)-1]
	tokens := 0
	for _, p := range shared {
		tokens += p.Tokens
	}
	if tokens < minFetchedTokens || !s.transfersQuickly(req.Service, tokens) {
		return nil
	}
	key := shared[len(shared)-1].Key
	var source *replica
	var lastUsed int64
	var highest uint64
	for _, r := range svc.replicas {
		if r == chosen || !r.canProvidePrefix(now, req.Model) {
			continue
		}
		used, score := s.lastPrefixUse(r, req), rendezvous.Score(key, r.idHash)
		if source == nil || used > lastUsed || (used == lastUsed && score > highest) {
			source, lastUsed, highest = r, used, score
		}
	}
	if source == nil {
		return nil
	}
	return source.info
}

// canProvidePrefix reports whether other replicas can take prompt parts for a model from
// the replica's KV cache. Unloading a model drops its parts.
func (r *replica) canProvidePrefix(now time.Time, model string) bool {
	return !r.info.Leaving && !r.backsOff(now) && r.ejectionTime == 0 && r.info.Holds(model) && !slices.Contains(r.unloading, model)
}

// transfersQuickly reports whether a replica of a service can take tokens from the KV
// cache of another one in less time than any engine needs to prefill them.
func (s *State) transfersQuickly(service string, tokens int) bool {
	if s.config == nil {
		return false
	}
	config, ok := s.config.Services[service]
	if !ok || config.Engine == nil || config.Engine.KVBytesPerToken <= 0 || config.Engine.KVTransferMbps <= 0 {
		return false
	}
	const bitsPerByte, bitsPerMegabit = 8, 1e6
	seconds := float64(tokens) * config.Engine.KVBytesPerToken * bitsPerByte / (config.Engine.KVTransferMbps * bitsPerMegabit)
	transfer := prefixFetchSetup + time.Duration(seconds*float64(time.Second))
	return transfer < time.Duration(float64(tokens)/minPrefillTokensPerMS*float64(time.Millisecond))
}
