package routing

import "time"

const (
	historyBuckets = 32
	historyStep    = 125 * time.Millisecond // 32 steps cover reports up to 4 s old
)

// history keeps the recent changes of the work in flight in time buckets, so
// that a load report can be corrected by what happened after it was taken.
type history struct {
	counts [historyBuckets]int32
	latest int64 // number of the newest bucket since the epoch
}

func bucketOf(t time.Time) int64 { return t.UnixNano() / int64(historyStep) }

func (h *history) advance(now time.Time) {
	b := bucketOf(now)
	if b-h.latest >= historyBuckets {
		h.counts = [historyBuckets]int32{}
		h.latest = b
		return
	}
	for h.latest < b {
		h.latest++
		h.counts[h.latest%historyBuckets] = 0
	}
}

func (h *history) add(now time.Time, delta int32) {
	h.advance(now)
	h.counts[h.latest%historyBuckets] += delta
}

// since returns the sum of the changes after t, as far back as it is kept.
func (h *history) since(now, t time.Time) int {
	h.advance(now)
	first := max(bucketOf(t)+1, h.latest-historyBuckets+1)
	if t.IsZero() {
		first = h.latest - historyBuckets + 1
	}
	sum := 0
	for b := first; b <= h.latest; b++ {
		sum += int(h.counts[b%historyBuckets])
	}
	return sum
}
