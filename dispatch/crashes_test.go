package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a request that crashes replicas and is not counted because the other
// requests that ran on crashed replicas fill the table.
func TestCrashingContentIsCountedInFullTable(t *testing.T) {
	is := is.New(t)
	const crashing = 1
	c := make(crashes)
	now := time.Unix(1000, 0)
	c.add(now, crashing)
	for i := range uint64(3 * maxCrashes) {
		now = now.Add(time.Millisecond)
		c.add(now, 100+i)
		if i%100 == 0 {
			c.add(now, crashing)
		}
	}
	is.True(len(c) <= maxCrashes)
	is.True(c.limitReached(now, crashing, 0))
	is.True(!c.limitReached(now, 100, 0))
	c.add(now, 7) // a new content in a full table
	c.add(now, 7)
	is.True(c.limitReached(now, 7, 0))
}
