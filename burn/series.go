package burn

import (
	"slices"
	"sort"
	"time"
)

const (
	// BudgetPeriod is the period of the error budget. Hourly buckets are kept for
	// this long.
	BudgetPeriod = 24 * time.Hour
	hourBuckets  = int(BudgetPeriod/time.Hour) + 1

	// rankMinuteBuckets is the number of one-minute buckets of a rank or a kind of
	// move. It covers the longest window of six hours.
	rankMinuteBuckets = 6*60 + 1
	// rowMinuteBuckets is the number of one-minute buckets of a row. It covers the
	// windows up to one hour; longer windows of rows use hourly buckets.
	rowMinuteBuckets = 60 + 1

	// maxRows limits the series of rows of an incarnation, one per row and rank;
	// further rows are counted together as OtherRows. With the limits on buckets
	// and moves, the state is at most (maxRows*(61+25) + (3+maxMoves)*(361+25))
	// buckets of 144 bytes, or 15 MB. The limit is enough for 440 models and as
	// many adapters and kinds of work.
	maxRows = 1024
	// maxMoves limits the kinds of move. Two actions and nine causes exist.
	maxMoves = 32
)

// OtherRows is the row name for requests of rows beyond the limit.
const OtherRows = "(other rows)"

// Bucket holds the counts of one minute or one hour of wall-clock time.
type Bucket struct {
	Index  int64 // minutes or hours since 1970
	Counts Counts
}

// Series is a time series of counts, ordered by time, in buckets of one minute and
// of one hour. Both count the same requests, but the minutes expire earlier.
type Series struct {
	Minutes []Bucket
	Hours   []Bucket
}

// bucketIndex returns the index of the bucket of length step that contains t.
func bucketIndex(t time.Time, step time.Duration) int64 { return t.Unix() / int64(step/time.Second) }

// add adds c to the buckets of the given time.
func (s *Series) add(at time.Time, c *Counts) {
	addToBucket(&s.Minutes, bucketIndex(at, time.Minute), c)
	addToBucket(&s.Hours, bucketIndex(at, time.Hour), c)
}

// merge adds the counts of o bucket by bucket.
func (s *Series) merge(o *Series) {
	for i := range o.Minutes {
		addToBucket(&s.Minutes, o.Minutes[i].Index, &o.Minutes[i].Counts)
	}
	for i := range o.Hours {
		addToBucket(&s.Hours, o.Hours[i].Index, &o.Hours[i].Counts)
	}
}

// addToBucket adds c to the bucket with the given index, usually the last one, and
// inserts the bucket if it does not exist.
func addToBucket(buckets *[]Bucket, index int64, c *Counts) {
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

// expire drops all but the given number of newest minutes and the hours of the
// budget period. It reports whether any buckets are left.
func (s *Series) expire(now time.Time, minutes int) bool {
	s.Minutes = bucketsAfter(s.Minutes, bucketIndex(now, time.Minute)-int64(minutes))
	s.Hours = bucketsAfter(s.Hours, bucketIndex(now, time.Hour)-int64(hourBuckets))
	return len(s.Minutes)+len(s.Hours) > 0
}

// bucketsAfter returns the buckets with an index above the given one.
func bucketsAfter(b []Bucket, index int64) []Bucket {
	i := sort.Search(len(b), func(n int) bool { return b[n].Index > index })
	if i == 0 {
		return b
	}
	return slices.Clone(b[i:]) // releases the memory of the dropped buckets
}

func (s *Series) clone() Series {
	return Series{Minutes: slices.Clone(s.Minutes), Hours: slices.Clone(s.Hours)}
}

// sumNewest returns the sum of the buckets of the last n minutes or hours, by
// step, including the current one.
func sumNewest(b []Bucket, now time.Time, step time.Duration, n int) Counts {
	var sum Counts
	current := bucketIndex(now, step)
	for i := len(b) - 1; i >= 0 && b[i].Index > current-int64(n); i-- {
		if b[i].Index <= current {
			sum.Add(&b[i].Counts)
		}
	}
	return sum
}
