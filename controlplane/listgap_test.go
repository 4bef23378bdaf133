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

// Guards against replicas that are kept after their entries were removed, although their
// entries can't have lapsed while the store was away, and against ones that are dropped
// although they can have.
func TestGraceAppliesToEntriesThatCanHaveLapsed(t *testing.T) {
	const gap = 5 * time.Second
	for _, test := range []struct {
		name        string
		otherFailed bool          // the calls for another table fail
		gap         time.Duration // in which the list was not read
		learnedAt   time.Duration // after the gap
		keptUntil   time.Duration // after the gap; 0 if the replica is dropped at once
	}{
		{"no gap", false, 300 * time.Millisecond, 0, 0},
		{"another table is away", true, 300 * time.Millisecond, 0, 0},
		{"reset of one connection", false, 1500 * time.Millisecond, 0, 0},
		{"store was away", false, gap, 0, recoveryGrace},
		{"store was away, removal is learned later", false, gap, time.Second, recoveryGrace},
		{"removal is learned after the grace period", false, gap, 3 * time.Second, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			c := newTestCore(t)
			c.node.ReplicaLease = 3600 * time.Millisecond
			ReplicasRead{Table: "replicas", Entries: []catalog.Entry{listedReplica("r", 1)}, Version: 1, CurrentAt: epoch}.apply(c, epoch)
			StoreState{Table: "config", Unavailable: test.otherFailed}.apply(c, epoch)
			StoreState{Table: "replicas", Unavailable: true}.apply(c, epoch)
			back := epoch.Add(test.gap)
			StoreState{Table: "replicas"}.apply(c, back)
			for at := time.Duration(0); at < test.learnedAt; at += 500 * time.Millisecond {
				ReplicasChanged{Version: 1, CurrentAt: back.Add(at)}.apply(c, back.Add(at))
			}
			learned := back.Add(test.learnedAt)
			ReplicasChanged{Removed: []catalog.Entry{{ID: "r", Version: 2}}, Version: 2, CurrentAt: learned}.apply(c, learned)
			is.Equal(c.replicaList.Replica("r") != nil, test.keptUntil > 0)
			is.Equal(c.listEvidence(learned, "r").RemovalPending, test.keptUntil > 0)
			if test.keptUntil > 0 {
				c.tick(back.Add(test.keptUntil-time.Millisecond), 0)
				is.True(c.replicaList.Replica("r") != nil)
				c.tick(back.Add(test.keptUntil), 0)
				is.True(c.replicaList.Replica("r") == nil)
			}
		})
	}
}

// Guards against an instance that was cut off from the store and keeps a replica for the
// grace period, although the holder of the order lease has seen the store remove it.
func TestHolderConfirmsRemovalAfterGap(t *testing.T) {
	is := is.New(t)
	cut, holder := newTestCore(t), newTestCore(t)
	for _, c := range []*core{cut, holder} {
		ReplicasRead{Table: "replicas", Entries: []catalog.Entry{listedReplica("r", 2), listedReplica("other", 3)}, Version: 3, CurrentAt: epoch}.apply(c, epoch)
	}
	for at := time.Duration(0); at < 10*time.Second; at += 500 * time.Millisecond {
		ReplicasChanged{Version: 3, CurrentAt: epoch.Add(at)}.apply(holder, epoch.Add(at))
	}
	now := epoch.Add(10 * time.Second)
	removal := ReplicasChanged{Removed: []catalog.Entry{{ID: "r", Version: 4}}, Version: 4, CurrentAt: now}
	removal.apply(holder, now)
	removal.apply(cut, now)
	is.True(cut.replicaList.Replica("r") != nil) // the store can have been away
	answer := make(chan PeerState, 1)
	ownState{answer: answer}.apply(cut, now)
	state := FleetState{Holder: "h", ListVersion: holder.replicaList.Version()}
	state.List, state.ListIsWhole = holder.listSince((<-answer).ListVersion)
	FleetSeen{State: state, SentAt: now}.apply(cut, now)
	is.True(cut.replicaList.Replica("r") == nil)
	is.True(cut.replicaList.Replica("other") != nil)
}

// Guards against instances that go on sending requests to a removed replica because the holder
// of the order lease keeps it for the grace period: the holder was paused, and these instances
// saw no gap in which the entry can have lapsed. The holder's list does not show the end of the
// grace period to a peer that knows all rows.
func TestPeersDropReplicaThatHolderKeeps(t *testing.T) {
	for _, test := range []struct {
		name    string
		peerGap time.Duration
		kept    bool // by the peer, until its own grace period ends
	}{
		{"peer has read the list meanwhile", time.Second, false},
		{"peer has not reached the store either", 5 * time.Second, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			holder, peer := newTestCore(t), newTestCore(t)
			holder.leader = heldLease()
			for _, c := range []*core{holder, peer} {
				ReplicasRead{Table: "replicas", Entries: []catalog.Entry{listedReplica("r", 1), listedReplica("other", 1)}, Version: 1, CurrentAt: epoch}.apply(c, epoch)
			}
			exchange := func(now time.Time) {
				answer := make(chan PeerState, 1)
				ownState{answer: answer}.apply(peer, now)
				FleetSeen{State: holder.fleetState(now, <-answer), SentAt: now}.apply(peer, now)
			}
			const gap = 5 * time.Second
			back := epoch.Add(gap)
			for at := epoch; !at.After(back.Add(-test.peerGap)); at = at.Add(time.Second) {
				ReplicasChanged{Version: 1, CurrentAt: at}.apply(peer, at)
			}
			ReplicasChanged{Removed: []catalog.Entry{{ID: "r", Version: 2}}, Version: 2, CurrentAt: back}.apply(holder, back)
			is.True(holder.replicaList.Replica("r") != nil)
			exchange(back)
			is.Equal(peer.replicaList.Replica("r") != nil, test.kept)
			end := back.Add(recoveryGrace)
			holder.tick(end, 0)
			peer.tick(end, 0)
			exchange(end)
			is.True(holder.replicaList.Replica("r") == nil)
			is.True(peer.replicaList.Replica("r") == nil)
			is.True(peer.replicaList.Replica("other") != nil)
		})
	}
}

// heldLease returns the state of an instance that holds the order lease.
func heldLease() *leader.State {
	s := leader.New("self", "a:1", 1, leader.Options{FirstStart: true, StartedAt: bootclock.Now()})
	s.Tick(bootclock.Now())
	s.RecordRead(bootclock.Now(), leader.Row{})
	s.Tick(bootclock.Now())
	s.RecordWritten(bootclock.Now(), 1)
	return s
}

// Guards against replicas that are dropped after the store was away, because the holder of
// the order lease reached it first and its list hid the gap from this instance.
func TestListOfHolderAfterGapStartsGrace(t *testing.T) {
	is := is.New(t)
	c := newTestCore(t)
	ReplicasRead{Table: "replicas", Entries: []catalog.Entry{listedReplica("r", 1)}, Version: 1, CurrentAt: epoch}.apply(c, epoch)
	const gap, age = 5 * time.Second, 100 * time.Millisecond
	now := epoch.Add(gap)
	FleetSeen{State: FleetState{Holder: "h", ListVersion: 1, ListAge: gap - time.Second}, SentAt: now.Add(-time.Second)}.apply(c, now.Add(-time.Second)) // the holder has not reached the store
	FleetSeen{State: FleetState{Holder: "h", ListVersion: 1, ListAge: age}, SentAt: now.Add(age)}.apply(c, now.Add(age))
	ReplicasChanged{Removed: []catalog.Entry{{ID: "r", Version: 2}}, Version: 2, CurrentAt: now.Add(2 * age)}.apply(c, now.Add(2*age))
	is.True(c.replicaList.Replica("r") != nil)
	c.tick(now.Add(recoveryGrace), 0)
	is.True(c.replicaList.Replica("r") == nil)
}

// Guards against a removed replica that is kept because the list of a new holder is older
// than the one that this instance had from the holder before.
func TestOlderListOfNewHolderStartsNoGrace(t *testing.T) {
	is := is.New(t)
	c := newTestCore(t)
	ReplicasRead{Table: "replicas", Entries: []catalog.Entry{listedReplica("r", 1)}, Version: 1, CurrentAt: epoch}.apply(c, epoch)
	now := epoch
	for range 4 {
		now = now.Add(time.Second)
		FleetSeen{State: FleetState{Holder: "old", ListVersion: 1}, SentAt: now}.apply(c, now)
	}
	now = now.Add(300 * time.Millisecond)
	FleetSeen{State: FleetState{Holder: "new", ListVersion: 1, ListAge: 3 * time.Second}, SentAt: now}.apply(c, now)
	now = now.Add(300 * time.Millisecond)
	FleetSeen{State: FleetState{Holder: "new", ListVersion: 1}, SentAt: now}.apply(c, now)
	ReplicasChanged{Removed: []catalog.Entry{{ID: "r", Version: 2}}, Version: 2, CurrentAt: now}.apply(c, now)
	is.True(c.replicaList.Replica("r") == nil)
}

// Guards against a list from the holder that looks new because the process was paused after
// it had received the answer.
func TestListAgeCountsPauseOfProcess(t *testing.T) {
	is := is.New(t)
	c := newTestCore(t)
	FleetSeen{State: FleetState{Holder: "h", ListVersion: 1, ListAge: time.Second}, SentAt: epoch}.apply(c, epoch.Add(5*time.Second))
	is.Equal(c.listCurrentAt, epoch.Add(-time.Second))
	is.Equal(c.listSource, FromStore)
}
