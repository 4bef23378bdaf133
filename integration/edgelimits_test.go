//go:build linux

package integration

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// limitedCaller sends requests of a customer at a rate to instances in turn, and records
// when they were answered.
func (f *edgeFleet) limitedCaller(key string, perSecond int, instances []*edgeInstance, stop <-chan struct{}) (served []time.Time, refused int) {
	var mu sync.Mutex
	var group sync.WaitGroup
	ticker := time.NewTicker(time.Second / time.Duration(perSecond))
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-ticker.C:
		case <-stop:
			group.Wait()
			return served, refused
		}
		group.Go(func() {
			r := edgeRequest{Method: "GET", Path: fmt.Sprintf("/look/%d", n), Header: http.Header{"Api-Key": {key}}}
			got := f.send(instances[n%len(instances)], r)
			mu.Lock()
			defer mu.Unlock()
			switch got.Status {
			case http.StatusOK:
				served = append(served, time.Now())
			case http.StatusTooManyRequests:
				refused++
			}
		})
	}
}

// Guards against a limit that is exceeded, or that refuses customers below it, while its
// owner is killed and another instance takes over.
func TestEdgeLimitsHoldWithoutOwner(t *testing.T) {
	is := is.New(t)
	f := startEdgeFleet(t, 3)
	owner := f.waitOrderHolder(nil)
	f.PutConfigWithCustomers(2, "", `[{"name":"below","api-keys":["k1"],"unit":"tokens","plain-tokens":100,"rate-per-s":2000,"burst":2000},
{"name":"above","api-keys":["k2"],"unit":"tokens","plain-tokens":100,"rate-per-s":1000,"burst":1000}]`)
	waitFor(t, "the limits to be in force", func() bool {
		return strings.Count(f.readLogs(), `msg="config taken over" version=2`) == len(f.instances)
	})
	var others []*edgeInstance
	for _, i := range f.instances {
		if i != owner {
			others = append(others, i)
		}
	}
	time.Sleep(6 * time.Second) // the buckets are full, and most of the credit
	stop := make(chan struct{})
	var below, above []time.Time
	var refused int
	var group sync.WaitGroup
	group.Go(func() { below, refused = f.limitedCaller("k1", 10, others, stop) })
	group.Go(func() { above, _ = f.limitedCaller("k2", 50, others, stop) })
	time.Sleep(3 * time.Second)
	owner.kill()
	f.waitOrderHolder(owner)
	time.Sleep(3 * time.Second)
	close(stop)
	group.Wait()
	t.Logf("below the limit: %d served, %d refused; above: %d served", len(below), refused, len(above))
	is.True(len(below) > 0 && refused*20 <= len(below))
	for n, from := range above {
		count := 0
		for count < len(above)-n && above[n+count].Sub(from) <= 8*time.Second {
			count++
		}
		is.True(100*count <= (8*1000+1000)*11/10+2000+2*100) // and answers that take different times
	}
}
