package standinengine

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"time"

	"github.com/hyssophaven/hyssophaven/engine"
)

// sequence is an accepted request.
type sequence struct {
	request         engine.GenerateRequest
	residents       []*resident
	arrival         uint64
	started         bool
	ended           bool
	nextChunk       int // index of the next chunk to generate
	prefillLeft     int // prompt tokens that are not processed yet
	stepPrefill     int // prompt tokens processed in the current step
	decodesThisStep bool
	chunks          chan int      // indices of generated chunks; closed after the last one
	aborted         chan struct{} // closed when the engine aborts the request
}

// chunkBuffer is the number of chunks buffered for a slow client. While the buffer
// is full, the sequence generates no further chunk.
const chunkBuffer = 64

// batch holds the accepted sequences of the engine.
type batch struct {
	running           []*sequence
	waiting           []*sequence
	arrivals          uint64
	tokensSinceReport int // tokens generated since the last load report
}

// compareRankThenArrival orders sequences by rank, most urgent first, and then by
// arrival.
func compareRankThenArrival(a, b *sequence) int {
	return cmp.Or(cmp.Compare(a.request.Priority, b.request.Priority), cmp.Compare(a.arrival, b.arrival))
}

// runBatch runs batch steps while there is work, and otherwise blocks until
// signalBatch is called or the engine is closed.
func (e *Engine) runBatch() {
	for {
		var stepTime time.Duration
		e.owner.Do(func() { stepTime = e.startStep() })
		if stepTime == 0 {
			select {
			case <-e.batchSignal:
				continue
			case <-e.stop:
				return
			}
		}
		if !e.sleep(context.Background(), stepTime) {
			return
		}
		e.owner.Do(e.endStep)
	}
}

// signalBatch wakes the batch goroutine.
func (e *Engine) signalBatch() {
	select {
	case e.batchSignal <- struct{}{}:
	default:
	}
}

// startStep fills the slots and distributes the prefill budget. It returns the
// duration of the step, or 0 if there is nothing to do.
func (e *Engine) startStep() time.Duration {
	if !e.fillSlots() || len(e.batch.running) == 0 {
		return 0
	}
	budget := e.config.PrefillBudget
	for _, s := range e.batch.running {
		s.decodesThisStep = s.prefillLeft == 0
		s.stepPrefill = min(s.prefillLeft, budget)
		budget -= s.stepPrefill
	}
	prefilled := time.Duration(e.config.PrefillBudget - budget)
	return e.config.DecodeStep + time.Duration(len(e.batch.running))*e.config.DecodePerSequence + prefilled*e.config.PrefillPerToken
}

// fillSlots moves waiting sequences into free slots, most urgent first. It returns
// false if a request with Config.PoisonText crashed the engine.
func (e *Engine) fillSlots() bool {
	b := &e.batch
	slices.SortFunc(b.waiting, compareRankThenArrival)
	for len(b.waiting) > 0 {
		if len(b.running) >= e.config.Slots && !e.preemptFor(b.waiting[0]) {
			return true
		}
		s := b.waiting[0]
		b.waiting = slices.Delete(b.waiting, 0, 1)
		b.running = append(b.running, s)
		if s.started {
			continue
		}
		s.started = true
		e.countRequest(s.request, func(n *RequestCounts) { n.Started++ })
		if e.config.PoisonText != "" && strings.Contains(s.request.Prompt, e.config.PoisonText) {
			e.crash()
			return false
		}
		s.prefillLeft = e.prefillTokens(s.request)
	}
	return true
}

// preemptFor preempts the least urgent running sequence to free a slot for s, if
// that sequence has a lower rank than s. It returns whether it freed a slot. The
// preempted sequence keeps its progress and waits for a slot again.
func (e *Engine) preemptFor(s *sequence) bool {
	b := &e.batch
	if !e.config.PreemptsLowerRanks {
		return false
	}
	lowest := slices.MaxFunc(b.running, compareRankThenArrival)
	if lowest.request.Priority <= s.request.Priority {
		return false
	}
	b.running = slices.DeleteFunc(b.running, func(r *sequence) bool { return r == lowest })
	b.waiting = append(b.waiting, lowest)
	e.counts.Preempted++
	return true
}

// endStep applies the prefill progress of the step and emits one chunk for each
// decoding sequence.
func (e *Engine) endStep() {
	for _, s := range slices.Clone(e.batch.running) {
		s.prefillLeft -= s.stepPrefill
		s.stepPrefill = 0
		if !s.decodesThisStep || s.ended {
			continue
		}
		s.decodesThisStep = false
		select {
		case s.chunks <- s.nextChunk:
		default:
			continue // the buffer of a slow client is full
		}
		if s.nextChunk < s.request.MaxTokens {
			e.counts.Tokens++
			e.batch.tokensSinceReport++
		}
		s.nextChunk++
		if s.nextChunk >= s.request.MaxTokens {
			close(s.chunks)
			e.endSequence(s, func(n *RequestCounts) { n.Finished++ })
		}
	}
}

// prefillTokens returns the number of tokens to prefill for a request: the prompt
// tokens that are not in the prefix cache and the tokens before ResumeFrom. It adds
// the prompt's prefix to the cache.
func (e *Engine) prefillTokens(r engine.GenerateRequest) int {
	tokens := promptTokens(r.Prompt)
	hit := e.cache.lookupOrInsert(engine.PrefixHash(r.Model, r.Adapter, r.Prompt), time.Now())
	if hit {
		e.counts.CacheHits++
		tokens = max(1, tokens-engine.PrefixBytes/4)
	} else {
		e.counts.CacheMisses++
	}
	return tokens + r.ResumeFrom
}

// endSequence removes s from the batch, applies count to its request counts and
// releases its residents. It does nothing if s has already ended.
func (e *Engine) endSequence(s *sequence, count func(*RequestCounts)) {
	if s.ended {
		return
	}
	s.ended = true
	isSequence := func(o *sequence) bool { return o == s }
	e.batch.running = slices.DeleteFunc(e.batch.running, isSequence)
	e.batch.waiting = slices.DeleteFunc(e.batch.waiting, isSequence)
	e.countRequest(s.request, count)
	for _, r := range s.residents {
		r.userCount--
		e.freeIfUnused(r)
	}
}

// abortUsers aborts the requests that use r.
func (e *Engine) abortUsers(r *resident) {
	for _, s := range slices.Concat(e.batch.running, e.batch.waiting) {
		if slices.Contains(s.residents, r) {
			e.abortSequence(s)
		}
	}
}

// abortAll aborts all requests.
func (e *Engine) abortAll() {
	for _, s := range slices.Concat(e.batch.running, e.batch.waiting) {
		e.abortSequence(s)
	}
}

func (e *Engine) abortSequence(s *sequence) {
	close(s.aborted)
	e.endSequence(s, func(n *RequestCounts) { n.Aborted++ })
}
