package suspect

import "time"

const (
	// historyWindow is the time over which settled answers are counted, at least; at
	// most it is twice as long.
	historyWindow = 30 * time.Second
	// maxHistoryParts limits the parts of a window. Windows are shorter when answers have
	// more parts than that, so that the parts of the newest answers are always counted.
	maxHistoryParts = 4096
)

// history counts the settled answers by part, and all of them.
type history struct {
	current, last map[Part]int // in the current and the last window
	since         time.Time    // start of the current window
	answers       uint64
}

func newHistory() history {
	return history{current: make(map[Part]int), last: make(map[Part]int)}
}

// add counts a settled answer.
func (h *history) add(now time.Time, parts []Part) {
	h.answers++
	h.expire(now)
	for _, p := range parts {
		if _, ok := h.current[p]; !ok && len(h.current) >= maxHistoryParts {
			h.startWindow(now)
		}
		h.current[p]++
	}
}

func (h *history) startWindow(now time.Time) {
	h.current, h.last, h.since = make(map[Part]int), h.current, now
}

// count returns the number of recent answers with a part.
func (h *history) count(now time.Time, p Part) int {
	h.expire(now)
	return h.current[p] + h.last[p]
}

// expire starts a new window if the current one is over.
func (h *history) expire(now time.Time) {
	switch age := now.Sub(h.since); {
	case age >= 2*historyWindow:
		h.startWindow(now)
		clear(h.last)
	case age >= historyWindow:
		h.startWindow(now)
	}
}
