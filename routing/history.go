package routing

import "time"

const (
	historyBuckets     = 32
	historyBucketWidth = 125 * time.Millisecond // 32 buckets cover load reports up to 4 s old
)

// inFlightHistory records the recent changes in the number of requests in flight,
// in time buckets, to correct a load report for changes after it was taken.
type inFlightHistory struct {
	counts       [historyBuckets]int32
	latestBucket int64 // number of the newest bucket, counted from the Unix epoch
}

func bucketNumber(t time.Time) int64 { return t.UnixNano() / int64(historyBucketWidth) }

// advance moves the newest bucket to now and clears the buckets in between.
func (h *inFlightHistory) advance(now time.Time) {
	b := bucketNumber(now)
	if b-h.latestBucket >= historyBuckets {
		h.counts = [historyBuckets]int32{}
		h.latestBucket = b
		return
	}
	for h.latestBucket < b {
		h.latestBucket++
		h.counts[h.latestBucket%historyBuckets] = 0
	}
}

func (h *inFlightHistory) add(now time.Time, delta int32) {
	h.advance(now)
	h.counts[h.latestBucket%historyBuckets] += delta
}

// changesSince returns the sum of the changes after t, as far back as they are
// kept. A zero t sums all that are kept.
func (h *inFlightHistory) changesSince(now, t time.Time) int {
	h.advance(now)
	first := max(bucketNumber(t)+1, h.latestBucket-historyBuckets+1)
	if t.IsZero() {
		first = h.latestBucket - historyBuckets + 1
	}
	sum := 0
	for b := first; b <= h.latestBucket; b++ {
		sum += int(h.counts[b%historyBuckets])
	}
	return sum
}
