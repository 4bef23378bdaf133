package suspect

import (
	"maps"
	"time"
)

const (
	// historyWindow is the time over which settled answers are counted, at least; at
	// most it is twice as long.
	historyWindow = 30 * time.Second
	// maxHistoryParts limits the parts whose answers are counted. Parts that are counted
	// already stay.
	maxHistoryParts = 4096
	// maxHistoryPerAnswer limits the parts of one answer that are counted.
	maxHistoryPerAnswer = 64
)

// history counts the settled answers by part, and all of them.
type history struct {
	parts   map[Part]*answerCount
	answers uint64
}

// answerCount counts answers in the current and the last window.
type answerCount struct {
	current, last int
	since         time.Time // start of the current window
}

// add counts a settled answer.
func (h *history) add(now time.Time, parts []Part) {
	h.answers++
	for _, p := range parts[:min(len(parts), maxHistoryPerAnswer)] {
		c, ok := h.parts[p]
		if !ok {
			if len(h.parts) >= maxHistoryParts {
				continue
			}
			c = &answerCount{since: now}
			h.parts[p] = c
		}
		c.roll(now)
		c.current++
	}
}

// roll starts a new window if the current one is over.
func (c *answerCount) roll(now time.Time) {
	switch age := now.Sub(c.since); {
	case age >= 2*historyWindow:
		c.current, c.last, c.since = 0, 0, now
	case age >= historyWindow:
		c.current, c.last, c.since = 0, c.current, now
	}
}

// count returns the number of recent answers with a part.
func (h *history) count(now time.Time, p Part) int {
	c, ok := h.parts[p]
	if !ok {
		return 0
	}
	c.roll(now)
	return c.current + c.last
}

// expire drops the parts without recent answers.
func (h *history) expire(now time.Time) {
	maps.DeleteFunc(h.parts, func(_ Part, c *answerCount) bool { return now.Sub(c.since) >= 2*historyWindow })
}
