package controlplane

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hyssophaven/hyssophaven/catalog"
	"github.com/hyssophaven/hyssophaven/dispatch"
	"github.com/hyssophaven/hyssophaven/residency"
)

// Guards against a request that waits for an adapter and is then sent to a replica that
// has asked meanwhile for no more requests, and against adapters that are ordered there.
func TestNoticeDuringAdapterLoad(t *testing.T) {
	for name, notice := range map[string]dispatch.Notice{"leaving": {Leaving: true}, "backoff": {Backoff: time.Minute}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newTestCore(t)
			r := &catalog.Replica{ID: "r", Service: "s", Address: "a:1", StartMillis: 1, Models: []catalog.LoadedModel{{Name: "m"}}}
			ReplicasRead{Table: "replicas", Entries: []catalog.Entry{{ID: "r", Version: 1, Replica: r}}, Version: 1}.apply(c, epoch)
			key := adapterKey{"r", "m", "a1"}
			own, forwarded := make(chan residency.AdapterResult, 1), make(chan residency.AdapterResult, 1)
			c.adapterWaiters[key] = []adapterWaiter{
				{answer: own, deadline: epoch.Add(time.Second)}, {answer: forwarded, deadline: epoch.Add(time.Second), forwarded: true},
			}
			NoticeSeen{From: r, Notice: notice}.apply(c, epoch)
			AdapterAnswered{Result: residency.AdapterResult{Replica: "r", Model: "m", Adapter: "a1", OK: true}}.apply(c, epoch)
			is.True(!(<-own).OK)
			is.True((<-forwarded).OK) // the other instance has its own notices
			actions := c.plan.RequestAdapter(epoch, "r", "m", "a2")
			is.Equal(len(actions), 1)
			is.True(actions[0].AdapterResult != nil && !actions[0].AdapterResult.OK)
		})
	}
}
