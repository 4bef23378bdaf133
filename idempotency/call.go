package idempotency

import (
	"crypto/sha256"
	"time"

	"github.com/hyssophaven/hyssophaven/backing/version"
)

// Settings limits the times and sizes of a call.
type Settings struct {
	// ClaimTimeout limits the time for claiming the key.
	ClaimTimeout time.Duration
	// AnswerHoldTime limits how long an answer is held back until it is recorded, and
	// a refusal until the claim is released. After that, the caller gets the answer
	// even if the record is not written.
	AnswerHoldTime time.Duration
	// InitialBackoff and MaxBackoff are the initial and the maximum backoff between
	// attempts of a store call. The backoff doubles after each attempt.
	InitialBackoff time.Duration
	MaxBackoff     time.Duration
	// MaxInlineBytes is the maximum size of an answer body stored in the record.
	// Larger bodies are stored as objects.
	MaxInlineBytes int
}

// DefaultSettings returns the settings for a store with a call timeout of 2 s.
func DefaultSettings() Settings {
	return Settings{
		ClaimTimeout:   3 * time.Second,
		AnswerHoldTime: 500 * time.Millisecond,
		InitialBackoff: 50 * time.Millisecond,
		MaxBackoff:     5 * time.Second,
		MaxInlineBytes: 16 << 10,
	}
}

// phase is the progress of a call.
type phase uint8

const (
	idle      phase = iota
	claiming        // a commit of the claim is outstanding
	reading         // the record is read to decide whether the request can be sent
	sending         // the request was sent; its answer is outstanding
	storing         // the answer's body is being stored as an object
	recording       // the final record is being written
	releasing       // a claim of a request that was not executed is being released
	ended
)

// Call is the state machine of one call with an idempotency key. It is not safe
// for concurrent use.
type Call struct {
	settings Settings
	key      string
	owner    Owner
	bodyHash [sha256.Size]byte
	era      uint64 // Begun.Era

	phase         phase
	begunAt       time.Time
	deadline      time.Time // end of claiming; in phases recording and releasing, the latest time to answer the caller
	backoff       time.Duration
	version       uint64 // IfVersion of the outstanding or next commit
	claimPossible bool   // a commit of the claim may have taken effect
	waitPending   bool   // a Wait is outstanding
	callerGone    bool
	stopping      bool    // the instance is shutting down
	answered      bool    // the caller was answered
	finalRecord   Record  // record to write in phase recording
	verdict       Verdict // for the caller in phases recording and releasing
	answer        Answer  // answer for the caller, including its body
}

// NewCall returns a call that has not begun. key comes from ClaimKey and bodyHash
// from BodyHash.
func NewCall(s Settings, key string, owner Owner, bodyHash [sha256.Size]byte) *Call {
	return &Call{settings: s, key: key, owner: owner, bodyHash: bodyHash, backoff: s.InitialBackoff}
}

// Step handles one event and returns the actions to carry out, in order.
func (c *Call) Step(now time.Time, ev Event) []Action {
	switch ev := ev.(type) {
	case Begun:
		c.era = ev.Era
	case CallerGone:
		c.callerGone = true
		return nil
	case Stopping:
		return c.stopRetrying()
	}
	switch c.phase {
	case idle:
		c.begunAt, c.deadline = now, now.Add(c.settings.ClaimTimeout)
		return c.commitClaim(0)
	case claiming:
		return c.stepClaiming(now, ev)
	case reading:
		return c.stepReading(now, ev)
	case sending:
		return c.stepSending(now, ev)
	case storing:
		return c.stepStoring(now, ev)
	case recording:
		return c.stepRecording(now, ev)
	case releasing:
		return c.stepReleasing(now, ev)
	default:
		return nil
	}
}

// stopRetrying makes the call end at the next failure. A call that is only waiting
// to retry and has answered its caller ends immediately.
func (c *Call) stopRetrying() []Action {
	c.stopping = true
	if c.waitPending && c.answered {
		return c.end()
	}
	return nil
}

func (c *Call) end() []Action {
	c.phase = ended
	return []Action{End{}}
}

func (c *Call) answerCaller(v Verdict, a Answer) []Action {
	if c.answered {
		return nil
	}
	c.answered = true
	return []Action{Reply{Verdict: v, Answer: a}}
}

// waitToRetry requests a WaitEnded event after the current backoff and doubles the
// backoff.
func (c *Call) waitToRetry(now time.Time) []Action {
	until := now.Add(c.backoff)
	c.backoff = min(2*c.backoff, c.settings.MaxBackoff)
	c.waitPending = true
	return []Action{Wait{Until: until}}
}

// commitClaim commits the claim if the stored version is still version.
func (c *Call) commitClaim(version uint64) []Action {
	c.phase, c.version = claiming, version
	return []Action{Commit{Record: c.newRecord(Claimed), IfVersion: version}}
}

func (c *Call) newRecord(s Status) Record {
	return Record{Status: s, Owner: c.owner, BodyHash: c.bodyHash, At: c.begunAt}
}

func (c *Call) readRecord(p phase) []Action {
	c.phase = p
	return []Action{Read{}}
}

func (c *Call) stepClaiming(now time.Time, ev Event) []Action {
	switch ev := ev.(type) {
	case Committed:
		return c.claimConfirmed(now, ev.Version)
	case Conflicted:
		return c.readRecord(reading)
	case CommitFailed:
		return c.endUnsent(StoreUnavailable)
	case CommitUnknown:
		c.claimPossible = true
		return c.readRecord(reading)
	default:
		return nil
	}
}

// claimConfirmed sends the request once this call certainly holds the claim. A claim
// in another era than that of the call does not count, because the claim of an
// earlier call can be lost until it is written again.
func (c *Call) claimConfirmed(now time.Time, v uint64) []Action {
	c.version, c.claimPossible = v, true
	if version.Era(v) != c.era {
		return c.releaseClaim(now, StoreUnavailable)
	}
	if c.callerGone || c.stopping {
		return c.releaseClaim(now, NotExecuted)
	}
	c.phase = sending
	return []Action{Keep{c.newRecord(Claimed)}, Send{}}
}

// releaseClaim releases the claim that this call holds and then answers that the
// request was not executed, so that a repeat finds the key free.
func (c *Call) releaseClaim(now time.Time, v Verdict) []Action {
	c.phase, c.verdict = releasing, v
	c.backoff = c.settings.InitialBackoff
	c.deadline = now.Add(c.settings.AnswerHoldTime)
	released := c.newRecord(Released)
	return []Action{Keep{released}, Commit{Record: released, IfVersion: c.version}}
}

// endUnsent answers that the request was not executed. It then releases the claim
// if a commit of it may have taken effect, or else ends the call.
func (c *Call) endUnsent(v Verdict) []Action {
	out := c.answerCaller(v, Answer{})
	if !c.claimPossible {
		return append(out, c.end()...)
	}
	c.backoff = c.settings.InitialBackoff
	out = append(out, Keep{c.newRecord(Released)})
	return append(out, c.readRecord(releasing)...)
}

// stepReading handles the read that follows a claim with a conflict or an unknown
// outcome.
func (c *Call) stepReading(now time.Time, ev Event) []Action {
	switch ev := ev.(type) {
	case WaitEnded:
		c.waitPending = false
		return c.readRecord(reading)
	case ReadFailed:
		if c.callerGone || c.stopping || !now.Before(c.deadline) {
			return c.endUnsent(StoreUnavailable)
		}
		return c.waitToRetry(now)
	case ReadResult:
		return c.decideFromRecord(now, ev)
	default:
		return nil
	}
}

// decideFromRecord sends the request, claims the key again or ends the call,
// depending on the stored record.
func (c *Call) decideFromRecord(now time.Time, ev ReadResult) []Action {
	switch {
	case ev.Found && ev.Record.Owner == c.owner && ev.Record.Status == Claimed:
		return c.claimConfirmed(now, ev.Version)
	case !ev.Found || ev.Record.Status == Released:
		otherEra := ev.Found && version.Era(ev.Version) != c.era // a claim would not count
		if otherEra || c.callerGone || c.stopping || !now.Before(c.deadline) {
			return c.endUnsent(StoreUnavailable)
		}
		return c.commitClaim(ev.Version)
	case ev.Record.Status == Claimed && version.Era(ev.Version) != c.era:
		// The claim can be older than the newest record of its call, or be one that
		// is not sent.
		return c.endUnsent(StoreUnavailable)
	}
	// The key belongs to another call, so no claim of this call can take effect.
	var out []Action
	switch {
	case ev.Record.BodyHash != c.bodyHash:
		out = c.answerCaller(KeyReused, Answer{})
	case ev.Record.Status == Done:
		out = c.answerCaller(Replayed, ev.Record.Answer)
	case ev.Record.Status == Unknown || !ev.OwnerAlive:
		out = c.answerCaller(EarlierUnknown, Answer{})
	default:
		out = c.answerCaller(InProgress, Answer{})
	}
	return append(out, c.end()...)
}

func (c *Call) stepSending(now time.Time, ev Event) []Action {
	switch ev := ev.(type) {
	case Answered:
		c.answer = ev.Answer
		if len(ev.Answer.Body) > c.settings.MaxInlineBytes {
			c.phase = storing
			return []Action{PutObject{Name: c.key, Body: ev.Answer.Body}}
		}
		return c.commitFinal(now, Done, ev.Answer)
	case NotSent:
		return c.releaseClaim(now, NotExecuted)
	case SendUnknown:
		out := c.answerCaller(OutcomeUnknown, Answer{})
		return append(out, c.commitFinal(now, Unknown, Answer{})...)
	default:
		return nil
	}
}

func (c *Call) stepStoring(now time.Time, ev Event) []Action {
	stored := c.answer
	stored.Body = nil
	switch ev.(type) {
	case ObjectStored:
		stored.Object = c.key
	case ObjectFailed:
		stored.BodyLost = true
	default:
		return nil
	}
	return c.commitFinal(now, Done, stored)
}
