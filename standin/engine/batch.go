package standinengine

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"time"

	"github.com/hyssophaven/hyssophaven/engine"
)

// sequence is one accepted request.
type sequence struct {
	request  engine.GenerateRequest
	uses     []*resident
	arrival  uint64
	started  bool
	ended    bool
	next     int // index of the next chunk
	prefill  int // prompt tokens still to process
	thisStep int // prompt tokens processed in the current step
	decodes  bool
	out      chan int      // indices of generated chunks; closed after the last
	cut      chan struct{} // closed when the engine gives the request up
}

// chunkBuffer is the number of chunks that may wait for a slow client before
// its sequence stands still.
const chunkBuffer = 64

// batch holds the accepted sequences.
type batch struct {
	running  []*sequence
	waiting  []*sequence
	arrivals uint64
	tokens   int // generated since the last report
}

// byUrgency orders by rank and then by arrival.
func byUrgency(a, b *sequence) int {
	return cmp.Or(cmp.Compare(a.request.Priority, b.request.Priority), cmp.Compare(a.arrival, b.arrival))
}

// runBatch runs steps while there is work and sleeps otherwise.
func (e *Engine) runBatch() {
	for {
		var cost time.Duration
		e.owner.Do(func() { cost = e.beginStep() })
		if cost == 0 {
			select {
			case <-e.wake:
				continue
			case <-e.stop:
				return
			}
		}
		if !e.sleep(context.Background(), cost) {
			return
		}
		e.owner.Do(e.endStep)
	}
}

// wakeBatch tells the batch goroutine that there is work.
func (e *Engine) wakeBatch() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// beginStep fills the slots and returns the time that the step takes, or 0 if
// there is nothing to do.
func (e *Engine) beginStep() time.Duration {
	if !e.fillSlots() || len(e.batch.running) == 0 {
		return 0
	}
	budget := e.config.PrefillBudget
	for _, s := range e.batch.running {
		s.decodes = s.prefill == 0
		s.thisStep = min(s.prefill, budget)
		budget -= s.thisStep
	}
	used := time.Duration(e.config.PrefillBudget - budget)
	return e.config.DecodeStep + time.Duration(len(e.batch.running))*e.config.DecodePerSequence + used*e.config.PrefillPerToken
}

// fillSlots moves waiting sequences into slots, most urgent first. It reports
// false if a poisoned request crashed the engine.
func (e *Engine) fillSlots() bool {
	b := &e.batch
	slices.SortFunc(b.waiting, byUrgency)
	for len(b.waiting) > 0 {
		if len(b.running) >= e.config.Slots && !e.pauseFor(b.waiting[0]) {
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
		s.prefill = e.prefillTokens(s.request)
	}
	return true
}

// pauseFor frees a slot for s by pausing the least urgent running sequence, if
// that has a lower rank.
func (e *Engine) pauseFor(s *sequence) bool {
	b := &e.batch
	if !e.config.PausesLowerRanks {
		return false
	}
	last := slices.MaxFunc(b.running, byUrgency)
	if last.request.Priority <= s.request.Priority {
		return false
	}
	b.running = slices.DeleteFunc(b.running, func(r *sequence) bool { return r == last })
	b.waiting = append(b.waiting, last)
	e.counts.Paused++
	return true
}

// endStep applies the work of the step and hands out one chunk per decoding sequence.
func (e *Engine) endStep() {
	for _, s := range slices.Clone(e.batch.running) {
		s.prefill -= s.thisStep
		s.thisStep = 0
		if !s.decodes || s.ended {
			continue
		}
		s.decodes = false
		select {
		case s.out <- s.next:
		default:
			continue // the client is slow
		}
		if s.next < s.request.MaxTokens {
			e.counts.Tokens++
			e.batch.tokens++
		}
		s.next++
		if s.next >= s.request.MaxTokens {
			close(s.out)
			e.end(s, func(n *RequestCounts) { n.Finished++ })
		}
	}
}

// prefillTokens returns the prompt tokens to process for a request: its prompt
// without a cached prefix, and the chunks that it resumes after.
func (e *Engine) prefillTokens(r engine.GenerateRequest) int {
	tokens := promptTokens(r.Prompt)
	hit := e.cache.use(engine.PrefixHash(r.Model, r.Adapter, r.Prompt), time.Now())
	if hit {
		e.counts.CacheHits++
		tokens = max(1, tokens-engine.PrefixBytes/4)
	} else {
		e.counts.CacheMisses++
	}
	return tokens + r.ResumeFrom
}

// end removes s from the batch, counts its end and releases what it used.
func (e *Engine) end(s *sequence, count func(*RequestCounts)) {
	if s.ended {
		return
	}
	s.ended = true
	is := func(o *sequence) bool { return o == s }
	e.batch.running = slices.DeleteFunc(e.batch.running, is)
	e.batch.waiting = slices.DeleteFunc(e.batch.waiting, is)
	e.countRequest(s.request, count)
	for _, r := range s.uses {
		r.users--
		e.freeIfUnused(r)
	}
}

// cutUsers gives up the requests that need r.
func (e *Engine) cutUsers(r *resident) {
	for _, s := range slices.Concat(e.batch.running, e.batch.waiting) {
		if slices.Contains(s.uses, r) {
			e.cutSequence(s)
		}
	}
}

// cutAll gives up every request.
func (e *Engine) cutAll() {
	for _, s := range slices.Concat(e.batch.running, e.batch.waiting) {
		e.cutSequence(s)
	}
}

func (e *Engine) cutSequence(s *sequence) {
	close(s.cut)
	e.end(s, func(n *RequestCounts) { n.Cut++ })
}
