package edge

import (
	"testing"
	"time"

	"github.com/hyssophaven/hyssophaven/platform"
	"github.com/hyssophaven/hyssophaven/platform/platformtest"
)

// leaveTime is the time within which instances stop sending requests to a replica that
// leaves, if the deployment sets none.
const leaveTime = 2 * time.Second

// Guards against instances that keep a replica whose entry was removed because the calls
// for the list of replicas are never answered: the connection has fallen silent for good
// or was reset, or the store has lost track of the call.
func TestRemovalIsSeenAlthoughWaitingCallsAreLost(t *testing.T) {
	for _, test := range []struct {
		name string
		lose func(s *platformtest.Store) int
	}{
		{"forgotten", func(s *platformtest.Store) int { return s.ForgetWaiting(platform.ReplicaTable) }},
		{"reset", func(s *platformtest.Store) int { return s.ResetWaiting(platform.ReplicaTable) }},
		{"silent connections", func(s *platformtest.Store) int { s.SilenceChannels(); return 1 }},
	} {
		t.Run(test.name, func(t *testing.T) {
			d := startDeployment(t, 2)
			d.eventually("the holder relays the list", func() bool { return d.logged("list of replicas", "source=holder") })
			time.Sleep(2 * time.Second) // the other instance has made its own calls
			d.eventually("a call waits", func() bool { return test.lose(d.Store) > 0 })
			d.Store.Remove(platform.ReplicaTable, "app-0")
			removedAt := time.Now()
			for dropped := 0; dropped < 2; {
				if time.Since(removedAt) > leaveTime {
					t.Fatalf("%d of 2 instances know of the removal after %s\n%s", dropped, leaveTime, d.logs.String())
				}
				time.Sleep(10 * time.Millisecond)
				dropped = d.logCount("replica dropped", "replica=app-0") + d.logCount("replica entry is not usable", "replica=app-0")
			}
			t.Logf("known after %s", time.Since(removedAt))
		})
	}
}
