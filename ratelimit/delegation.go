package ratelimit

import "time"

// Deputy returns the address of the instance to ask if the owner can't be reached, or "".
func (c *Client) Deputy() string { return c.deputy }

// Delegated reports whether the next requests are for the deputy.
func (c *Client) Delegated() bool { return c.delegated }

// UseDeputy sets whether the next requests are for the deputy. A client that goes back to
// the owner tells the deputy first.
func (c *Client) UseDeputy(use bool) {
	switch {
	case use && !c.delegated:
		c.delegated, c.pooled, c.sentAt = true, false, time.Time{} // a request is due
	case !use && c.delegated && c.pooled && !c.lost:
		c.farewell = true
	case !use && c.delegated:
		c.leaveDeputy(false)
	}
	c.farewell = c.farewell && !use
}

// leaveDeputy makes the next requests be for the owner. Unless the deputy has confirmed it,
// the owner is told that the deputy can still grant the shares of the instance.
func (c *Client) leaveDeputy(confirmed bool) {
	if c.pooled && !confirmed {
		c.pooledUntil = c.contactAt.Add(AnswerTimeout + poolTime)
	}
	c.delegated, c.pooled, c.farewell, c.sentAt = false, false, false, time.Time{}
}

// pooledShare returns the share that the client leaves to a deputy: none before the owner
// reserves it.
func (c *Client) pooledShare(now time.Time, a *account) float64 {
	switch silent := now.Sub(c.ownerAt); {
	case silent <= fallbackDelay || c.leaving:
		return 0
	case silent > reservationTime:
		return a.fallback.share * lateFallbackRatio
	default:
		return a.fallback.share
	}
}
