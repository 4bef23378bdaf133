package idempotency

import (
	"crypto/sha256"
	"time"
)

// Settings are the bounds of a call.
type Settings struct {
	// ClaimWithin is the time in which a claim must be made.
	ClaimWithin time.Duration
	// AnswerWithin is how long an answer may wait for being stored before the
	// caller gets it all the same.
	AnswerWithin time.Duration
	// RetryFirst and RetryMax are the first and the longest pause between
	// tries of a store call; the pause doubles in between.
	RetryFirst time.Duration
	RetryMax   time.Duration
	// InlineBytes is the largest answer body that is kept in the record.
	InlineBytes int
}

// DefaultSettings returns the settings for a store whose calls time out after 2 s.
func DefaultSettings() Settings {
	return Settings{
		ClaimWithin:  3 * time.Second,
		AnswerWithin: 500 * time.Millisecond,
		RetryFirst:   50 * time.Millisecond,
		RetryMax:     5 * time.Second,
		InlineBytes:  16 << 10,
	}
}

type phase uint8

const (
	idle      phase = iota
	claiming        // a commit of the claim is open
	reading         // a read before sending is open or waits to be repeated
	sending         // the request is at the service
	storing         // the answer's body is being stored as an object
	settling        // the final record is being written
	releasing       // the claim is being given up; the request was not sent
	ended
)

// Call is the state of one keyed call in one instance.
type Call struct {
	settings Settings
	key      string
	owner    Owner
	body     [sha256.Size]byte

	phase    phase
	begun    time.Time
	deadline time.Time // for making the claim
	pause    time.Duration
	version  uint64 // version on which the next or open commit depends
	maybe    bool   // a commit of the claim may have taken effect
	waiting  bool   // a Wait is open
	gone     bool   // the caller hung up
	stopping bool
	told     bool
	final    Record // what settling writes
	answer   Answer // the answer to tell, with its body
}

// NewCall returns a call that has not begun. The key is a ClaimKey and body a BodyHash.
func NewCall(s Settings, key string, owner Owner, body [sha256.Size]byte) *Call {
	return &Call{settings: s, key: key, owner: owner, body: body, pause: s.RetryFirst}
}

// Step handles an event and returns what to do next, in order.
func (c *Call) Step(now time.Time, ev Event) []Action {
	switch ev.(type) {
	case CallerGone:
		c.gone = true
		return nil
	case Stopping:
		return c.stop()
	}
	switch c.phase {
	case idle:
		c.begun, c.deadline = now, now.Add(c.settings.ClaimWithin)
		return c.claim(0)
	case claiming:
		return c.stepClaiming(now, ev)
	case reading:
		return c.stepReading(now, ev)
	case sending:
		return c.stepSending(now, ev)
	case storing:
		return c.stepStoring(now, ev)
	case settling:
		return c.stepSettling(now, ev)
	case releasing:
		return c.stepReleasing(now, ev)
	default:
		return nil
	}
}

// stop makes the call give up at its next failure. A pause ends at once.
func (c *Call) stop() []Action {
	c.stopping = true
	if c.waiting && c.told {
		return c.end()
	}
	return nil
}

func (c *Call) end() []Action {
	c.phase = ended
	return []Action{End{}}
}

func (c *Call) tell(v Verdict, a Answer) []Action {
	if c.told {
		return nil
	}
	c.told = true
	return []Action{Tell{Verdict: v, Answer: a}}
}

// wait pauses before the next try. Step gets a Woken event after it.
func (c *Call) wait(now time.Time) []Action {
	until := now.Add(c.pause)
	c.pause = min(2*c.pause, c.settings.RetryMax)
	c.waiting = true
	return []Action{Wait{Until: until}}
}

// claim commits the claim on condition that the record is still at version.
func (c *Call) claim(version uint64) []Action {
	c.phase, c.version = claiming, version
	return []Action{Commit{Record: c.record(Claimed), IfVersion: version}}
}

func (c *Call) record(s Status) Record {
	return Record{Status: s, Owner: c.owner, Body: c.body, At: c.begun}
}

func (c *Call) read(p phase) []Action {
	c.phase = p
	return []Action{Read{}}
}

func (c *Call) stepClaiming(now time.Time, ev Event) []Action {
	switch ev := ev.(type) {
	case Committed:
		return c.claimed(ev.Version)
	case Conflicted:
		return c.read(reading)
	case StoreDown:
		return c.giveUp(StoreUnavailable)
	case StoreLost:
		c.maybe = true
		return c.read(reading)
	default:
		return nil
	}
}

// claimed goes on with a claim that is certainly this call's.
func (c *Call) claimed(version uint64) []Action {
	c.version, c.maybe = version, true
	if c.gone || c.stopping {
		return c.giveUp(NotExecuted)
	}
	c.phase = sending
	return []Action{Send{}}
}

// giveUp tells that nothing was sent, and releases the claim if there may be one.
func (c *Call) giveUp(v Verdict) []Action {
	out := c.tell(v, Answer{})
	if !c.maybe {
		return append(out, c.end()...)
	}
	c.pause = c.settings.RetryFirst
	return append(out, c.read(releasing)...)
}

// stepReading looks at the record after a claim was lost or met another one.
func (c *Call) stepReading(now time.Time, ev Event) []Action {
	switch ev := ev.(type) {
	case Woken:
		c.waiting = false
		return c.read(reading)
	case LoadFailed:
		if c.gone || c.stopping || !now.Before(c.deadline) {
			return c.giveUp(StoreUnavailable)
		}
		return c.wait(now)
	case Loaded:
		return c.judge(now, ev)
	default:
		return nil
	}
}

// judge decides from the record what happens to a call that is not sent yet.
func (c *Call) judge(now time.Time, ev Loaded) []Action {
	switch {
	case ev.Found && ev.Record.Owner == c.owner && ev.Record.Status == Claimed:
		return c.claimed(ev.Version)
	case !ev.Found || ev.Record.Status == Released:
		if c.gone || c.stopping || !now.Before(c.deadline) {
			return c.giveUp(StoreUnavailable)
		}
		return c.claim(ev.Version)
	}
	// The key belongs to another call, so no claim of this call can take effect.
	var out []Action
	switch {
	case ev.Record.Body != c.body:
		out = c.tell(OtherBody, Answer{})
	case ev.Record.Status == Done:
		out = c.tell(Replayed, ev.Record.Answer)
	case ev.Record.Status == Unknown || !ev.OwnerAlive:
		out = c.tell(EarlierUnknown, Answer{})
	default:
		out = c.tell(InProgress, Answer{})
	}
	return append(out, c.end()...)
}

func (c *Call) stepSending(now time.Time, ev Event) []Action {
	switch ev := ev.(type) {
	case Answered:
		c.answer = ev.Answer
		if len(ev.Answer.Body) > c.settings.InlineBytes {
			c.phase = storing
			return []Action{PutObject{Name: c.key, Body: ev.Answer.Body}}
		}
		return c.settle(now, Done, ev.Answer)
	case NotSent:
		return c.giveUp(NotExecuted)
	case SendLost:
		out := c.tell(OutcomeUnknown, Answer{})
		return append(out, c.settle(now, Unknown, Answer{})...)
	default:
		return nil
	}
}

func (c *Call) stepStoring(now time.Time, ev Event) []Action {
	kept := c.answer
	kept.Body = nil
	switch ev.(type) {
	case ObjectStored:
		kept.Object = c.key
	case ObjectFailed:
		kept.BodyLost = true
	default:
		return nil
	}
	return c.settle(now, Done, kept)
}
