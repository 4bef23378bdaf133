package burn

import (
	"slices"
	"sort"
	"time"
)

const (
	// BudgetPeriod is the time over which the error budget is counted. Hourly
	// buckets are kept for it.
	BudgetPeriod = 24 * time.Hour
	hourBuckets  = int(BudgetPeriod/time.Hour) + 1

	// fineBuckets are the one-minute buckets of ranks and moves, for the
	// longest window of six hours; coarseBuckets are those of rows, which use
	// minutes for the windows up to one hour and whole hours beyond.
	fineBuckets   = 6*60 + 1
	coarseBuckets = 60 + 1

	// maxRows bounds the rows of one incarnation's counts; further rows are
	// counted together as OtherRows. Together with the buckets it bounds the
	// state to (maxRows*(61+25) + (3+maxMoves)*(361+25)) buckets of 144 bytes,
	// or 15 MB. 440 models and as many adapters and kinds of work fit.
	maxRows = 1024
	// maxMoves bounds the kinds of move: two actions and nine causes exist.
	maxMoves = 32
)

// OtherRows is the name under which rows beyond the bound are counted.
const OtherRows = "(other rows)"

// Bucket holds the counts of one minute or hour of the wall clock.
type Bucket struct {
	Index  int64 // minutes or hours since 1970
	Counts Counts
}

// Series is one line of counts over time, in order. Both resolutions hold the
// same requests, minutes for a shorter time.
type Series struct {
	Minutes []Bucket
	Hours   []Bucket
}

func indexOf(t time.Time, step time.Duration) int64 { return t.Unix() / int64(step/time.Second) }

// add counts c at the given time.
func (s *Series) add(at time.Time, c *Counts) {
	addTo(&s.Minutes, indexOf(at, time.Minute), c)
	addTo(&s.Hours, indexOf(at, time.Hour), c)
}

// merge adds the counts of o.
func (s *Series) merge(o *Series) {
	for i := range o.Minutes {
		addTo(&s.Minutes, o.Minutes[i].Index, &o.Minutes[i].Counts)
	}
	for i := range o.Hours {
		addTo(&s.Hours, o.Hours[i].Index, &o.Hours[i].Counts)
	}
}

// addTo adds c to the bucket with the given index, which is usually the last.
func addTo(buckets *[]Bucket, index int64, c *Counts) {
	b := *buckets
	i := len(b)
	if i > 0 && b[i-1].Index >= index {
		i = sort.Search(len(b), func(n int) bool { return b[n].Index >= index })
	}
	if i == len(b) || b[i].Index != index {
		b = slices.Insert(b, i, Bucket{Index: index})
		*buckets = b
	}
	b[i].Counts.Add(c)
}

// expire drops buckets that are too old and reports whether any are left.
func (s *Series) expire(now time.Time, minutes int) bool {
	s.Minutes = after(s.Minutes, indexOf(now, time.Minute)-int64(minutes))
	s.Hours = after(s.Hours, indexOf(now, time.Hour)-int64(hourBuckets))
	return len(s.Minutes)+len(s.Hours) > 0
}

// after returns the buckets with a higher index than the given one.
func after(b []Bucket, index int64) []Bucket {
	i := sort.Search(len(b), func(n int) bool { return b[n].Index > index })
	if i == 0 {
		return b
	}
	return slices.Clone(b[i:]) // lets the memory of the old buckets go
}

func (s *Series) clone() Series {
	return Series{Minutes: slices.Clone(s.Minutes), Hours: slices.Clone(s.Hours)}
}

// last returns the sum over the n newest buckets, the current one included.
func last(b []Bucket, now time.Time, step time.Duration, n int) Counts {
	var sum Counts
	current := indexOf(now, step)
	for i := len(b) - 1; i >= 0 && b[i].Index > current-int64(n); i-- {
		if b[i].Index <= current {
			sum.Add(&b[i].Counts)
		}
	}
	return sum
}
