package control

import "time"

// retryBudget counts requests and retries of this instance.
type retryBudget struct{ requests, retries int }

func (b *retryBudget) Request(time.Time)           { b.requests++ }
func (b *retryBudget) Allow(time.Time) bool        { b.retries++; return true }
func (b *retryBudget) Counts(time.Time) (int, int) { return b.requests, b.retries }
