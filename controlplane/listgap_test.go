package controlplane

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hyssophaven/hyssophaven/bootclock"
	"github.com/hyssophaven/hyssophaven/catalog"
	"github.com/hyssophaven/hyssophaven/leader"
	"github.com/hyssophaven/hyssophaven/rowstore"
)

// listedReplica returns the entry of a replica.
func listedReplica(id string, version rowstore.Version) catalog.Entry {
	return catalog.Entry{ID: id, Version: version, Replica: &catalog.Replica{ID: id, Service: "s", Address: id + ":1"}}
}

// Guards against a holder of the order lease that vouches for a list of replicas that it
// does not follow any more, because the store answers its lease calls and those for other
// tables.
func TestOtherAnswersDoNotVouchForList(t *testing.T) {
	is := is.New(t)
	c := newTestCore(t)
	c.leader = leader.New("self", "a:1", 1, leader.Options{FirstStart: true, StartedAt: bootclock.Now()})
	c.leader.Tick(bootclock.Now())
	LeaseRead{}.apply(c, epoch)
	is.Equal(c.leader.Tick(bootclock.Now()), leader.WriteLease)
	LeaseWritten{Version: 1}.apply(c, epoch)
	is.True(c.leader.Held())
	ReplicasRead{Table: "replicas", Entries: []catalog.Entry{listedReplica("r", 2)}, Version: 2, CurrentAt: epoch}.apply(c, epoch)
	const age = 5 * time.Second
	now := epoch.Add(age)
	LeaseWritten{Version: 3}.apply(c, now)
	StoreState{Table: "config"}.apply(c, now)
	RowsSeen{Table: "config", Version: 3}.apply(c, now)
	is.Equal(c.reportPeerState(now, "peer", 0).ListAge, age)
	ReplicasChanged{Version: 4, CurrentAt: now.Add(-time.Second)}.apply(c, now)
	is.Equal(c.reportPeerState(now, "peer", 0).ListAge, time.Second)
}
