package controlplane

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against calls to the store that grow with the number of instances although the
// holder of the order lease hands the list on, and against checks so rare that the store
// has dropped the changes since the last one.
func TestChecksOfRelayedListDoNotGrow(t *testing.T) {
	is := is.New(t)
	const leave, history = 2 * time.Second, 20 * time.Second
	for _, n := range []int{6, 24, 60} {
		perSecond := float64(n) / listPause(FromHolder, leave, n).Seconds()
		is.True(perSecond <= 4)
	}
	is.True(listPause(FromHolder, leave, 420) < history)
}

// Guards against an instance that learns of a leaving replica after the time within
// which it must stop sending requests to it.
func TestListPauseIsShorterThanLeaveTime(t *testing.T) {
	is := is.New(t)
	for _, leave := range []time.Duration{time.Second, 2 * time.Second, 4 * time.Second} {
		is.True(listPause(FromStore, leave, 95) <= leave/4)
		is.True(listPause(FromStoreForPeers, leave, 95) <= leave/8)
		is.True(listPause(FromStoreForPeers, leave, 95) < maxFeedLag)
	}
}
