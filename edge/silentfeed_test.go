package edge

import (
	"strconv"
	"testing"

	"github.com/hyssophaven/hyssophaven/platform"
	"github.com/hyssophaven/hyssophaven/platform/platformtest"
)

// Guards against a change of the config that all instances miss until their waiting calls
// of the feed end, which takes longer than hangTimeout: the store has lost track of these
// calls, or the open connections are silent for good, those of the lease included.
func TestConfigIsInForceAlthoughFeedsAreSilent(t *testing.T) {
	const instances = 3
	for _, test := range []struct {
		name   string
		fault  func(*platformtest.Store)
		holder bool
	}{
		{"forgotten feeds", (*platformtest.Store).ForgetFeeds, true},
		{"silent feeds", (*platformtest.Store).SilenceFeeds, true},
		{"silent connections", (*platformtest.Store).SilenceConnections, true},
		{"forgotten feeds, no holder", (*platformtest.Store).ForgetFeeds, false},
		{"silent feeds, no holder", (*platformtest.Store).SilenceFeeds, false},
		{"silent connections, no holder", (*platformtest.Store).SilenceConnections, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			backends := platformtest.NewBackends()
			backends.Store.SetFaults(platformtest.StoreFaults{RefuseWrites: !test.holder})
			d := startDeploymentOn(t, backends, instances)
			if test.holder {
				d.eventually("one instance gives orders", func() bool { return d.orderingCount() == 1 })
			}
			d.eventually("the feeds wait", func() bool { return d.Store.WaitingFeeds(platform.ConfigTable) == instances })
			test.fault(d.Store)
			d.PutConfig(5, route("first"))
			d.servedByAll("/first/x")
			d.PutConfig(7, route("second")) // the feeds have recovered
			d.servedByAll("/second/x")
		})
	}
}

// Guards against a lease that is lost, or whose epoch changes, because configs in quick
// succession make the store reject its renewals.
func TestConfigChangesKeepLease(t *testing.T) {
	d := startDeployment(t, 2)
	d.eventually("one instance gives orders", func() bool { return d.orderingCount() == 1 })
	d.eventually("the feeds wait", func() bool { return d.Store.WaitingFeeds(platform.ConfigTable) == 2 })
	version := 2
	for range 8 {
		writes := d.Store.Writes()
		d.Store.ForgetFeeds()
		for range 4 {
			version++
			d.PutConfig(version, route("next"))
		}
		d.eventually("the lease is renewed", func() bool { return d.Store.Writes() > writes+1 })
	}
	d.eventually("the last config is in force", func() bool { return d.logCount("config taken over", "version="+strconv.Itoa(version)+" ") == 2 })
	if d.orderingCount() != 1 || d.logged("ordering=false") || !d.logged("order lease not written") {
		t.Fatalf("the lease was not kept, or no write of it was rejected:\n%s", d.logs.String())
	}
}
