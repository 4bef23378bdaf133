package controlplane

import (
	"bytes"
	"io"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"

	"github.com/hyssophaven/hyssophaven/catalog"
	"github.com/hyssophaven/hyssophaven/dispatch"
	"github.com/hyssophaven/hyssophaven/kernel"
	"github.com/hyssophaven/hyssophaven/metrics"
	"github.com/hyssophaven/hyssophaven/nodeconfig"
	"github.com/hyssophaven/hyssophaven/retry"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newTestCore(t *testing.T) *core {
	t.Helper()
	return newLoggingCore(t, io.Discard)
}

func newLoggingCore(t *testing.T, w io.Writer) *core {
	t.Helper()
	k, err := kernel.New()
	if err != nil {
		t.Fatal(err)
	}
	node := nodeconfig.Node{ID: "self", DataCentre: "z", PeerHost: "127.0.0.1", FirstPeerPort: 7380, Bounds: nodeconfig.Bounds{RetryWindow: 10 * time.Second}}
	return newCore(node, log.New(w), metrics.New(), k.Bus(), epoch)
}

func load(requests int) map[string]dispatch.Load {
	l := dispatch.Load{Requests: requests}
	l.Unread[1] = float64(100 * requests)
	return map[string]dispatch.Load{"r": l}
}

func (c *core) tell(now time.Time, peer string, requests int) FleetState {
	answer := make(chan FleetState, 1)
	servePeer{peer: PeerState{Instance: peer, Loads: load(requests)}, answer: answer}.apply(c, now)
	return <-answer
}

// Guards against an instance that hears of its own load as that of others, or
// of load that instances which are gone had in flight.
func TestPeersHearOfTheOthers(t *testing.T) {
	is := is.New(t)
	c := newTestCore(t)
	now := epoch
	c.tell(now, "a", 3)
	c.tell(now, "b", 4)
	c.sumPeers(now)
	is.Equal(c.tell(now, "a", 3).Loads["r"].Requests, 4)
	is.Equal(c.tell(now, "b", 6).Loads["r"].Requests, 1) // its part grew after the sum
	now = now.Add(peerLifetime / 2)
	c.tell(now, "b", 4)
	now = now.Add(peerLifetime/2 + time.Millisecond) // a has been silent for too long
	c.sumPeers(now)
	is.Equal(len(c.tell(now, "b", 4).Loads), 0)
}

// Guards against a list of replicas from the holder that goes back, or that
// counts as current although the holder has lost the store.
func TestListFromTheHolder(t *testing.T) {
	is := is.New(t)
	c := newTestCore(t)
	now := epoch.Add(time.Minute)
	entry := func(version uint64, leaving bool) []catalog.Entry {
		return []catalog.Entry{{ID: "r", Version: version, Replica: &catalog.Replica{ID: "r", Service: "s", Address: "a:1", Leaving: leaving}}}
	}
	ReplicasRead{Table: "replicas", Entries: entry(5, true), Version: 5}.apply(c, now)
	FleetSeen{State: FleetState{Holder: "other", List: entry(4, false), ListVersion: 4}}.apply(c, now)
	is.True(c.roster.Replicas()[0].Leaving)
	is.Equal(c.listSource, FromStore)
	FleetSeen{State: FleetState{Holder: "other", List: entry(6, false), ListVersion: 6}}.apply(c, now)
	is.True(!c.roster.Replicas()[0].Leaving)
	is.Equal(c.listSource, FromHolder)
	FleetSeen{State: FleetState{Holder: "other", ListVersion: 6, StoreAge: c.listLifetime()}}.apply(c, now.Add(time.Second))
	is.Equal(c.listSource, FromStore)
}

// Guards against entries that change what the instance believes without a line,
// and against a line for each heartbeat.
func TestEntriesAreLogged(t *testing.T) {
	is := is.New(t)
	var logs bytes.Buffer
	c := newLoggingCore(t, &logs)
	lines := func(version uint64, leaving bool, models ...string) int {
		logs.Reset()
		r := &catalog.Replica{ID: "r", Service: "s", Address: "a:1", Leaving: leaving}
		for _, m := range models {
			r.Models = append(r.Models, catalog.Resident{Name: m})
		}
		ReplicasChanged{Entries: []catalog.Entry{{ID: "r", Version: version, Replica: r}}, Version: version}.apply(c, epoch)
		return strings.Count(logs.String(), "replica taken over")
	}
	is.Equal(lines(1, false, "m1", "m2"), 1)
	is.Equal(lines(2, false, "m2", "m1"), 0)
	is.Equal(lines(3, false, "m1"), 1)
	is.Equal(lines(4, true, "m1"), 1)
	ReplicasChanged{Removed: []string{"r"}, Version: 5}.apply(c, epoch)
	is.Equal(lines(6, true, "m1"), 1)
}

// Guards against instances that together send more than the retry budget allows,
// because each takes a tenth of its slack however many they are
// (tsn-bandbook-grown, hunt-6be5-7: 78 instances).
func TestSlackOfRetriesIsDivided(t *testing.T) {
	is := is.New(t)
	const instances = 78
	bounds := nodeconfig.Bounds{RetryWindow: 10 * time.Second, RetryRatio: 0.2, RetrySlack: 196}
	holder := newTestCore(t)
	for n := range instances - 1 {
		holder.tell(epoch, strconv.Itoa(n), 0)
	}
	told := holder.tell(epoch, "0", 0)
	is.Equal(told.Instances, instances)
	sends := 0
	for range instances {
		b := retry.New(epoch, retryLimits(bounds, 0))
		b.SetLimits(retryLimits(bounds, told.Instances))
		for ms := range 10_000 {
			if b.Allow(epoch.Add(time.Duration(ms) * time.Millisecond)) {
				sends++
			}
		}
	}
	is.True(sends > 0)
	is.True(float64(sends) <= bounds.RetrySlack)
}

// Guards against answers that grow with every broken run of the fleet: on scale-1 of
// tsn-bandbook-grown, two thirds of an answer were counts of one broken run each,
// which change no decision.
func TestPeersHearOfRepeatedCrashesOnly(t *testing.T) {
	is := is.New(t)
	f := newFleetSum()
	f.add(nil, map[uint64]int{1: 1, 2: 1, 3: 1})
	f.add(nil, map[uint64]int{2: 1, 3: 2})
	is.Equal(f.crashesWithout(nil), map[uint64]int{2: 2, 3: 3})
	is.Equal(f.crashesWithout(map[uint64]int{2: 1, 3: 1}), map[uint64]int{3: 2})
}

// Guards against an instance that takes each pause of a holder of another version,
// which does not say how often it answers, as its loss.
func TestHolderThatDoesNotSayTheInterval(t *testing.T) {
	is := is.New(t)
	c := newTestCore(t)
	FleetSeen{State: FleetState{Holder: "other", Interval: 2 * StateInterval}}.apply(c, epoch)
	is.Equal(c.holderSilence(), 4*StateInterval+answerTime)
	FleetSeen{State: FleetState{Holder: "other"}}.apply(c, epoch)
	is.Equal(c.holderSilence(), 4*StateInterval+answerTime)
}
