package idempotency

import "time"

// commitFinal starts to write the final record of a request that was sent.
func (c *Call) commitFinal(now time.Time, s Status, a Answer) []Action {
	c.phase, c.verdict = recording, Executed
	c.backoff = c.settings.InitialBackoff
	c.deadline = now.Add(c.settings.AnswerHoldTime)
	c.finalRecord = c.newRecord(s)
	c.finalRecord.Answer = a
	return []Action{Keep{c.finalRecord}, Commit{Record: c.finalRecord, IfVersion: c.version}}
}

// stepRecording retries the final write until it has taken effect. The caller gets
// the answer when it has, or after AnswerHoldTime.
func (c *Call) stepRecording(now time.Time, ev Event) []Action {
	switch ev := ev.(type) {
	case Committed:
		return append(c.answerCaller(c.verdict, c.answer), c.end()...)
	case Conflicted, CommitUnknown:
		// Only this call writes the record in this phase, so a conflict means
		// that one of its earlier writes took effect or that the store was
		// restored. The read shows whether the final record is stored.
		return append(c.answerIfOverdue(now), c.readRecord(recording)...)
	case WaitEnded:
		c.waitPending = false
		return c.readRecord(recording)
	case CommitFailed, ReadFailed:
		return c.retryFinal(now)
	case ReadResult:
		if !MustWriteAgain(c.finalRecord, ev) {
			return append(c.answerCaller(c.verdict, c.answer), c.end()...)
		}
		c.version = ev.Version
		return append(c.answerIfOverdue(now), Commit{Record: c.finalRecord, IfVersion: c.version})
	default:
		return nil
	}
}

// answerIfOverdue answers the caller if AnswerHoldTime has passed.
func (c *Call) answerIfOverdue(now time.Time) []Action {
	if now.Before(c.deadline) {
		return nil
	}
	return c.answerCaller(c.verdict, c.answer)
}

// retryFinal schedules a retry of the final write or of the release, or ends the call
// if the instance is stopping. It answers the caller first if the call ends or if the
// retry would start after AnswerHoldTime.
func (c *Call) retryFinal(now time.Time) []Action {
	var out []Action
	if c.stopping || !now.Add(c.backoff).Before(c.deadline) {
		out = c.answerCaller(c.verdict, c.answer)
	}
	if c.stopping {
		return append(out, c.end()...)
	}
	return append(out, c.waitToRetry(now)...)
}

// stepReleasing retries writing a Released record until no claim of this call can
// take effect. The request was not executed. The caller is told so then, or after
// AnswerHoldTime.
func (c *Call) stepReleasing(now time.Time, ev Event) []Action {
	switch ev := ev.(type) {
	case Committed:
		return append(c.answerCaller(c.verdict, c.answer), c.end()...)
	case Conflicted, CommitUnknown:
		return append(c.answerIfOverdue(now), c.readRecord(releasing)...)
	case WaitEnded:
		c.waitPending = false
		return c.readRecord(releasing)
	case CommitFailed, ReadFailed:
		return c.retryFinal(now)
	case ReadResult:
		ownClaim := ev.Found && ev.Record.Owner == c.owner && ev.Record.Status == Claimed
		if !ownClaim && ev.Version > c.version { // the condition of an outstanding claim can no longer hold
			return append(c.answerCaller(c.verdict, c.answer), c.end()...)
		}
		return append(c.answerIfOverdue(now), Commit{Record: c.newRecord(Released), IfVersion: ev.Version})
	default:
		return nil
	}
}
