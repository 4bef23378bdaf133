package gateway

import (
	"context"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"
	"golang.org/x/sync/semaphore"

	"github.com/hyssophaven/hyssophaven/control"
	"github.com/hyssophaven/hyssophaven/fleet"
)

// membershipControl is a control service whose snapshot lists live instances.
type membershipControl struct {
	fakeControl
	live map[fleet.InstanceID]fleet.Incarnation
}

func (c *membershipControl) Snapshot() *control.Snapshot {
	return &control.Snapshot{AliveIncarnations: c.live}
}

// Guards against an instance that runs more than its share of the fleet's
// concurrent adapter loads, or none at all.
func TestAdapterLoadsAreSharedBetweenInstances(t *testing.T) {
	for _, c := range []struct{ bound, live, share int }{{90, 3, 30}, {90, 7, 12}, {2, 5, 1}, {4, 1, 4}} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			members := make(map[fleet.InstanceID]fleet.Incarnation)
			for n := range c.live {
				members[fleet.InstanceID(rune('a'+n))] = 1
			}
			g := &Gateway{
				control: &membershipControl{live: members}, adapterLoadSlots: semaphore.NewWeighted(int64(c.bound)),
				cfg: Config{Limits: Limits{MaxAdapterLoads: c.bound}},
			}
			ctx, cancel := context.WithCancel(t.Context())
			started := make(chan struct{}, c.bound+1)
			for range c.bound + 1 {
				go func() {
					if release, err := g.acquireLoadSlot(ctx); err == nil {
						started <- struct{}{}
						<-ctx.Done()
						release()
					}
				}()
			}
			synctest.Wait()
			is.Equal(len(started), c.share)
			cancel()
			synctest.Wait()
		})
	}
}
