package controlplane

import (
	"bytes"
	"context"
	"io"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"

	"github.com/hyssophaven/hyssophaven/bootclock"
	"github.com/hyssophaven/hyssophaven/catalog"
	"github.com/hyssophaven/hyssophaven/dispatch"
	"github.com/hyssophaven/hyssophaven/kernel"
	"github.com/hyssophaven/hyssophaven/leader"
	"github.com/hyssophaven/hyssophaven/metrics"
	"github.com/hyssophaven/hyssophaven/nodeconfig"
	"github.com/hyssophaven/hyssophaven/retry"
	"github.com/hyssophaven/hyssophaven/rowstore"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newTestCore(t *testing.T) *core {
	t.Helper()
	return newTestCoreWithLog(t, io.Discard)
}

func newTestCoreWithLog(t *testing.T, w io.Writer) *core {
	t.Helper()
	k, err := kernel.New()
	if err != nil {
		t.Fatal(err)
	}
	node := nodeconfig.Node{ID: "self", DataCentre: "z", PeerHost: "127.0.0.1", FirstPeerPort: 7380, Bounds: nodeconfig.Bounds{RetryWindow: 10 * time.Second}}
	return newCore(node, log.New(w), metrics.New(), k.Bus(), epoch)
}

// loadWithRequests returns a load of 100 tokens of prefill work per request on
// replica r.
func loadWithRequests(requests int) map[string]dispatch.Load {
	l := dispatch.Load{Requests: requests}
	l.PendingPrefill[1] = float64(100 * requests)
	return map[string]dispatch.Load{"r": l}
}

// reportPeerState sends the state of a peer with a number of requests in flight, and
// returns the answer.
func (c *core) reportPeerState(now time.Time, peer string, requests int) FleetState {
	answer := make(chan FleetState, 1)
	servePeer{peer: PeerState{Instance: peer, Loads: loadWithRequests(requests)}, answer: answer}.apply(c, now)
	return <-answer
}

// Guards against an instance that receives its own load as load of its peers, or the
// load of peers that have expired.
func TestPeersReceiveLoadOfOtherInstances(t *testing.T) {
	is := is.New(t)
	c := newTestCore(t)
	now := epoch
	c.reportPeerState(now, "a", 3)
	c.reportPeerState(now, "b", 4)
	c.updateFleetSum(now)
	is.Equal(c.reportPeerState(now, "a", 3).Loads["r"].Requests, 4)
	is.Equal(c.reportPeerState(now, "b", 6).Loads["r"].Requests, 1) // b's load grew after the sum was computed
	now = now.Add(peerLifetime / 2)
	c.reportPeerState(now, "b", 4)
	now = now.Add(peerLifetime/2 + time.Millisecond) // the state of a has expired
	c.updateFleetSum(now)
	is.Equal(len(c.reportPeerState(now, "b", 4).Loads), 0)
}

// Guards against an older list of replicas from the holder that replaces a newer one,
// and against one that counts as current although the store does not answer the
// holder.
func TestReplicaListFromHolder(t *testing.T) {
	is := is.New(t)
	c := newTestCore(t)
	now := epoch.Add(time.Minute)
	entry := func(version rowstore.Version, leaving bool) []catalog.Entry {
		return []catalog.Entry{{ID: "r", Version: version, Replica: &catalog.Replica{ID: "r", Service: "s", Address: "a:1", Leaving: leaving}}}
	}
	ReplicasRead{Table: "replicas", Entries: entry(5, true), Version: 5}.apply(c, now)
	FleetSeen{State: FleetState{Holder: "other", List: entry(4, false), ListVersion: 4}, SentAt: now}.apply(c, now)
	is.True(c.replicaList.Replicas()[0].Leaving)
	is.Equal(c.listSource, FromStore)
	FleetSeen{State: FleetState{Holder: "other", List: entry(6, false), ListVersion: 6}, SentAt: now}.apply(c, now)
	is.True(!c.replicaList.Replicas()[0].Leaving)
	is.Equal(c.listSource, FromHolder)
	FleetSeen{State: FleetState{Holder: "other", ListVersion: 6, ListAge: c.listLifetime()}, SentAt: now.Add(time.Second)}.apply(c, now.Add(time.Second))
	is.Equal(c.listSource, FromStore)
}

// Guards against a changed replica that is not logged, and against a log line for
// each heartbeat.
func TestReplicaChangesAreLoggedOnce(t *testing.T) {
	is := is.New(t)
	var logs bytes.Buffer
	c := newTestCoreWithLog(t, &logs)
	lines := func(version rowstore.Version, leaving bool, models ...string) int {
		logs.Reset()
		r := &catalog.Replica{ID: "r", Service: "s", Address: "a:1", Leaving: leaving}
		for _, m := range models {
			r.Models = append(r.Models, catalog.LoadedModel{Name: m})
		}
		ReplicasChanged{Entries: []catalog.Entry{{ID: "r", Version: version, Replica: r}}, Version: version}.apply(c, epoch)
		return strings.Count(logs.String(), "replica taken over")
	}
	is.Equal(lines(1, false, "m1", "m2"), 1)
	is.Equal(lines(2, false, "m2", "m1"), 0)
	is.Equal(lines(3, false, "m1"), 1)
	is.Equal(lines(4, true, "m1"), 1)
	ReplicasChanged{Removed: []catalog.Entry{{ID: "r", Version: 5}}, Version: 5}.apply(c, epoch)
	is.Equal(lines(6, true, "m1"), 1)
}

// Guards against dropping a replica that was removed from the list and written again
// before this instance read either change.
func TestReplicaWrittenAgainAfterRemovalIsKept(t *testing.T) {
	is := is.New(t)
	c := newTestCore(t)
	entry := func(version rowstore.Version) catalog.Entry {
		return catalog.Entry{ID: "r", Version: version, Replica: &catalog.Replica{ID: "r", Service: "s", Address: "a:1"}}
	}
	ReplicasChanged{Entries: []catalog.Entry{entry(1)}, Version: 1}.apply(c, epoch)
	ReplicasChanged{Entries: []catalog.Entry{entry(3)}, Removed: []catalog.Entry{{ID: "r", Version: 2}}, Version: 4}.apply(c, epoch)
	is.True(c.replicaList.Replica("r") != nil)
	ReplicasChanged{Entries: []catalog.Entry{entry(5)}, Removed: []catalog.Entry{{ID: "r", Version: 6}}, Version: 6}.apply(c, epoch)
	is.True(c.replicaList.Replica("r") == nil)
}

// Guards against requests to a replica that was removed from the list before the current
// holder of the order lease first read it: the holder does not know of the removal.
func TestNewHolderHandsOnEarlierRemovals(t *testing.T) {
	is := is.New(t)
	entry := func(id string, version rowstore.Version) catalog.Entry {
		return catalog.Entry{ID: id, Version: version, Replica: &catalog.Replica{ID: id, Service: "s", Address: id + ":1"}}
	}
	peer, holder := newTestCore(t), newTestCore(t)
	ReplicasRead{Table: "replicas", Entries: []catalog.Entry{entry("removed", 3), entry("kept", 4)}, Version: 5}.apply(peer, epoch)
	ReplicasRead{Table: "replicas", Entries: []catalog.Entry{entry("kept", 4)}, Version: 10}.apply(holder, epoch)
	answer := func() FleetState {
		list, whole := holder.listSince(peer.replicaList.Version())
		return FleetState{Holder: "h", List: list, ListIsWhole: whole, ListVersion: holder.replicaList.Version()}
	}
	peer.adoptHolderList(epoch, answer(), epoch)
	is.True(peer.replicaList.Replica("removed") == nil)
	is.True(peer.replicaList.Replica("kept") != nil)
	is.True(!answer().ListIsWhole)
}

// Guards against a fleet that exceeds its retry budget because each instance takes a
// tenth of the slack whatever their number. It occurred with 78 instances.
func TestRetrySlackIsDividedAmongInstances(t *testing.T) {
	is := is.New(t)
	const instances = 78
	bounds := nodeconfig.Bounds{RetryWindow: 10 * time.Second, RetryRatio: 0.2, RetrySlack: 196}
	holder := newTestCore(t)
	for n := range instances - 1 {
		holder.reportPeerState(epoch, strconv.Itoa(n), 0)
	}
	answer := holder.reportPeerState(epoch, "0", 0)
	is.Equal(answer.Instances, instances)
	sends := 0
	for range instances {
		b := retry.New(epoch, retryLimits(bounds, 0))
		b.SetLimits(retryLimits(bounds, answer.Instances))
		for ms := range 10_000 {
			if b.AllowRetry(epoch.Add(time.Duration(ms) * time.Millisecond)) {
				sends++
			}
		}
	}
	is.True(sends > 0)
	is.True(float64(sends) <= bounds.RetrySlack)
}

// Guards against answers that grow with every crash count in the fleet. Counts of 1
// change no decision, but made up two thirds of an answer at scale.
func TestPeersReceiveRepeatedCrashesOnly(t *testing.T) {
	is := is.New(t)
	f := newFleetSum()
	f.add(nil, map[uint64]int{1: 1, 2: 1, 3: 1})
	f.add(nil, map[uint64]int{2: 1, 3: 2})
	is.Equal(f.crashesWithout(nil), map[uint64]int{2: 2, 3: 3})
	is.Equal(f.crashesWithout(map[uint64]int{2: 1, 3: 1}), map[uint64]int{3: 2})
}

// Guards against an instance that treats each pause between answers as the loss of
// the holder, if the holder has another version and does not send its interval.
func TestHolderWithoutStateInterval(t *testing.T) {
	is := is.New(t)
	c := newTestCore(t)
	FleetSeen{State: FleetState{Holder: "other", Interval: 2 * StateInterval}}.apply(c, epoch)
	is.Equal(c.maxHolderSilence(), 4*StateInterval+maxAnswerTime)
	FleetSeen{State: FleetState{Holder: "other"}}.apply(c, epoch)
	is.Equal(c.maxHolderSilence(), 4*StateInterval+maxAnswerTime)
}

// Guards against replicas that are dropped because a restored list lacks them, whether this
// instance or the holder of the order lease has read it, and against peers of a later era
// that are ignored.
func TestReplicasAreKeptUntilWrittenAgainAfterRestore(t *testing.T) {
	ownRead := ReplicasRead{Table: "replicas", Version: rowstore.NewVersion(2, 3)}
	relayed := FleetSeen{State: FleetState{Holder: "h", ListIsWhole: true, ListVersion: rowstore.NewVersion(2, 3)}, SentAt: epoch}
	readBefore := ReplicasChanged{Version: rowstore.NewVersion(1, 10), Entries: []catalog.Entry{
		{ID: "r", Version: rowstore.NewVersion(1, 10), Replica: &catalog.Replica{ID: "r", Service: "s", Address: "a:1"}},
		{ID: "other", Version: rowstore.NewVersion(1, 10), Replica: &catalog.Replica{ID: "other", Service: "s", Address: "b:1"}},
	}}
	for _, test := range []struct {
		name  string
		reads []Observation
	}{
		{"own read", []Observation{ownRead}},
		{"list of the holder", []Observation{relayed}},
		{"both", []Observation{relayed, ownRead}},
		{"delayed read of the earlier era", []Observation{relayed, readBefore, ownRead}},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			c := newTestCore(t)
			version := rowstore.NewVersion(1, 9)
			entry := catalog.Entry{ID: "r", Version: version, Replica: &catalog.Replica{ID: "r", Service: "s", Address: "a:1"}}
			ReplicasRead{Table: "replicas", Entries: []catalog.Entry{entry}, Version: version}.apply(c, epoch)
			for _, read := range test.reads {
				read.apply(c, epoch)
			}
			is.True(c.replicaList.Replica("other") == nil)
			c.tick(epoch.Add(recoveryGrace-time.Millisecond), 0)
			is.True(c.replicaList.Replica("r") != nil)
			c.tick(epoch.Add(recoveryGrace), 0)
			is.True(c.replicaList.Replica("r") == nil)
		})
	}
}

// Guards against an instance that orders at once because it takes a lease that was lost in
// a restore for one that never existed: it reads the lease for the first time after the
// restore, and another table before. Versions without an era, of peers of earlier program
// versions, are no earlier era.
func TestRestoreBeforeFirstReadOfLease(t *testing.T) {
	for _, test := range []struct {
		name string
		seen rowstore.Version
		want bool // orders are possible at once
	}{
		{"restored", rowstore.NewVersion(1, 9), false},
		{"not restored", rowstore.NewVersion(2, 1), true},
		{"peer of an earlier program version", rowstore.NewVersion(0, 9), true},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			c := newTestCore(t)
			c.leader = leader.New("self", "a:1", 1, leader.Options{FirstStart: true, StartedAt: bootclock.Now()})
			RowsSeen{Table: "config", Version: test.seen}.apply(c, epoch)
			c.leader.Tick(bootclock.Now())
			LeaseRead{Row: leader.Row{Version: rowstore.NewVersion(2, 0)}}.apply(c, epoch)
			is.Equal(c.leader.Tick(bootclock.Now()) == leader.WriteLease, test.want)
			is.Equal(c.metrics.Counter(metricStoreRestores).Value() == 0, test.want)
		})
	}
}

// Guards against an instance that learns of a restore from the holder's list and does not
// read the list of replicas again itself.
func TestListIsReadAgainAfterHolderReportsRestore(t *testing.T) {
	is := is.New(t)
	c := newTestCore(t)
	k, err := kernel.New()
	is.NoErr(err)
	is.NoErr(k.Start(context.Background()))
	defer func() { _ = k.Stop(context.Background()) }()
	c.bus = k.Bus()
	behind := make(chan string, 4)
	is.NoErr(kernel.Subscribe(c.bus, "test", func(_ context.Context, e FeedBehind) { behind <- e.Table }))
	before, after := rowstore.NewVersion(1, 9), rowstore.NewVersion(2, 3)
	ReplicasRead{Table: "replicas", Version: before}.apply(c, epoch)
	RowsSeen{Table: "replicas", Version: before}.apply(c, epoch)
	FleetSeen{State: FleetState{Holder: "h", ListIsWhole: true, ListVersion: after, TableVersions: map[string]rowstore.Version{"replicas": after}}, SentAt: epoch}.apply(c, epoch)
	select {
	case table := <-behind:
		is.Equal(table, "replicas")
	case <-time.After(5 * time.Second):
		t.Fatal("the list is not read again")
	}
}
