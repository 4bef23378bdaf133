package idempotency

import "time"

// settle writes the final record of a request that was sent.
func (c *Call) settle(now time.Time, s Status, a Answer) []Action {
	c.phase = settling
	c.pause = c.settings.RetryFirst
	c.deadline = now.Add(c.settings.AnswerWithin)
	c.final = c.record(s)
	c.final.Answer = a
	return []Action{Commit{Record: c.final, IfVersion: c.version}}
}

// stepSettling repeats the final write until it has taken effect. The caller
// gets the answer with the first success, or after AnswerWithin without one.
func (c *Call) stepSettling(now time.Time, ev Event) []Action {
	switch ev := ev.(type) {
	case Committed:
		return append(c.tell(Ran, c.answer), c.end()...)
	case Conflicted, StoreLost:
		// Only this call writes the record now, so a conflict means that an
		// earlier write took effect after all. The read shows whether it did.
		return append(c.tellLate(now), c.read(settling)...)
	case Woken:
		c.waiting = false
		return c.read(settling)
	case StoreDown, LoadFailed:
		return c.retrySettling(now)
	case Loaded:
		if !ev.Found || ev.Record.Owner != c.owner || ev.Record.Status != Claimed {
			return append(c.tell(Ran, c.answer), c.end()...)
		}
		c.version = ev.Version
		return append(c.tellLate(now), Commit{Record: c.final, IfVersion: c.version})
	default:
		return nil
	}
}

// tellLate gives the answer that has waited for its record long enough.
func (c *Call) tellLate(now time.Time) []Action {
	if now.Before(c.deadline) {
		return nil
	}
	return c.tell(Ran, c.answer)
}

func (c *Call) retrySettling(now time.Time) []Action {
	var out []Action
	if c.stopping || !now.Add(c.pause).Before(c.deadline) {
		out = c.tell(Ran, c.answer)
	}
	if c.stopping {
		return append(out, c.end()...)
	}
	return append(out, c.wait(now)...)
}

// stepReleasing writes a Released record until no claim of this call can take
// effect any more. The request was not sent.
func (c *Call) stepReleasing(now time.Time, ev Event) []Action {
	switch ev := ev.(type) {
	case Committed:
		return c.end()
	case Conflicted, StoreLost:
		return c.read(releasing)
	case Woken:
		c.waiting = false
		return c.read(releasing)
	case StoreDown, LoadFailed:
		if c.stopping {
			return c.end()
		}
		return c.wait(now)
	case Loaded:
		own := ev.Found && ev.Record.Owner == c.owner && ev.Record.Status == Claimed
		if !own && ev.Version > c.version {
			return c.end() // the condition of the open claim can't hold any more
		}
		return []Action{Commit{Record: c.record(Released), IfVersion: ev.Version}}
	default:
		return nil
	}
}
