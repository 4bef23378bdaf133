package membership

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/hyssophaven/hyssophaven/backing"
	"github.com/hyssophaven/hyssophaven/fleet"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func testInstance(dc, n int) fleet.Instance {
	id := fmt.Sprintf("dc%02d-%02d", dc, n)
	return fleet.Instance{ID: fleet.InstanceID(id), Incarnation: 1, DataCentre: fleet.DataCentre(fmt.Sprintf("dc%02d", dc)), PeerAddress: id + ":7000"}
}

func heartbeatFrom(i fleet.Instance, sequence uint64) HeartbeatReceived {
	return HeartbeatReceived{Heartbeat{Member: i, Sequence: sequence}}
}

func listingOf(instances ...fleet.Instance) ListingRead {
	var l ListingRead
	for _, i := range instances {
		l.Instances = append(l.Instances, backing.ListedInstance{ID: i.ID, DataCentre: i.DataCentre, PeerAddress: i.PeerAddress})
	}
	return l
}

func statusOf(s *State, id fleet.InstanceID) Status {
	m, _ := s.Member(id)
	return m.Status
}

// Guards against members that stay alive without heartbeats, or become alive
// again through an old, repeated or reordered heartbeat.
func TestStatusFollowsHeartbeatsInOrder(t *testing.T) {
	is := is.New(t)
	a, b := testInstance(0, 0), testInstance(0, 1)
	s := New(Config{Self: a}, start)
	s.Step(start, listingOf(a, b))
	is.Equal(statusOf(s, b.ID), Listed)
	s.Step(start, heartbeatFrom(b, 5))
	is.Equal(statusOf(s, b.ID), Alive)
	at := func(d time.Duration) time.Time { return start.Add(d) }
	s.Step(at(time.Second), heartbeatFrom(b, 4))
	s.Step(at(time.Second), heartbeatFrom(b, 5))
	s.Step(at(2*time.Second), Tick{})
	is.Equal(statusOf(s, b.ID), Suspect)
	s.Step(at(5*time.Second), Tick{})
	is.Equal(statusOf(s, b.ID), Dead)
	is.True(!s.SenderGone(at(5*time.Second), b.ID, 1)) // silent but still listed
	is.Equal(s.AliveIncarnations(), map[fleet.InstanceID]fleet.Incarnation{a.ID: 1})
	s.Step(at(6*time.Second), heartbeatFrom(b, 6))
	is.Equal(statusOf(s, b.ID), Alive)

	b2 := b
	b2.Incarnation = 2
	s.Step(at(7*time.Second), heartbeatFrom(b2, 1))
	s.Step(at(8*time.Second), heartbeatFrom(b, 100)) // delayed heartbeat of the old process
	m, _ := s.Member(b.ID)
	is.Equal(m.Instance.Incarnation, fleet.Incarnation(2))
	is.Equal(m.LastHeard, at(7*time.Second))
	is.True(s.SenderGone(at(8*time.Second), b.ID, 1))
	is.True(!s.SenderGone(at(8*time.Second), b.ID, 2))
	s.Step(at(20*time.Second), listingOf(a))
	s.Step(at(20*time.Second), Tick{})
	is.True(s.SenderGone(at(20*time.Second), b.ID, 2)) // no longer listed
}

// Guards against a process that continues after a newer incarnation of its
// instance has started.
func TestNewerIncarnationOfSelfIsReported(t *testing.T) {
	is := is.New(t)
	a := testInstance(0, 0)
	s := New(Config{Self: a}, start)
	newer := a
	newer.Incarnation = 2
	is.Equal(s.Step(start, heartbeatFrom(newer, 1)), []Action{Replaced{By: newer}})
	is.Equal(len(s.Step(start, heartbeatFrom(newer, 2))), 0)
	is.Equal(len(s.Members()), 0)
}

// Guards against an isolated instance that serves from an old table, and against
// refusing requests during an outage of the store alone.
func TestIsolationRule(t *testing.T) {
	a, b := testInstance(0, 0), testInstance(0, 1)
	late := start.Add(20 * time.Second)
	for name, c := range map[string]struct {
		events []Event
		want   bool
	}{
		"nothing heard, no list":          {nil, true},
		"cut off from both":               {[]Event{listingOf(a, b)}, true},
		"only instance in the list":       {[]Event{listingOf(a)}, false},
		"store reached":                   {[]Event{listingOf(a, b), StoreAnswered{Sent: late.Add(-7 * time.Second)}}, false},
		"old answer of the store":         {[]Event{listingOf(a, b), StoreAnswered{Sent: late.Add(-8 * time.Second)}}, true},
		"peer heard, store down":          {[]Event{listingOf(a, b), heartbeatFrom(b, 1)}, false},
		"heartbeat of an old incarnation": {[]Event{listingOf(a, b), heartbeatFrom(fleet.Instance{ID: b.ID}, 1)}, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := New(Config{Self: a}, start)
			for _, ev := range c.events {
				s.Step(late, ev)
			}
			s.Step(late, Tick{})
			is.Equal(s.Isolated(late), c.want)
		})
	}
}

// Guards against assigning shards or reports to leaving members, assigning shards
// to members that cannot reach the store, and moving the shards of other members
// when one leaves.
func TestOwnersAndReadersFollowMembership(t *testing.T) {
	is := is.New(t)
	s := New(Config{Self: testInstance(0, 0)}, start)
	for n := 1; n < 7; n++ {
		s.Step(start, heartbeatFrom(testInstance(0, n), 1))
	}
	before := map[string]fleet.InstanceID{}
	for i := range 64 {
		shard := fmt.Sprint("shard/", i)
		before[shard] = s.PreferredOwner(shard)
	}
	leavingMember := testInstance(0, 3)
	s.Step(start, HeartbeatReceived{Heartbeat{Member: leavingMember, Sequence: 2, Leaving: true}})
	for shard, owner := range before {
		if owner == leavingMember.ID {
			is.True(s.PreferredOwner(shard) != leavingMember.ID)
		} else {
			is.Equal(s.PreferredOwner(shard), owner)
		}
	}
	for i := range 20 {
		e := fleet.EndpointID(fmt.Sprint("e", i))
		readers := s.ReportReaders(e, "dc00")
		is.Equal(len(readers), 2)
		is.True(readers[0] != readers[1])
		is.True(!slices.Contains(readers, leavingMember.ID))
		is.Equal(s.ReportReaders(e, "unknown-dc"), readers) // no instances there, so all are candidates
	}
	// A member that can't reach the store could not renew a lease.
	staleMember := testInstance(0, 4)
	s.Step(start, HeartbeatReceived{Heartbeat{Member: staleMember, Sequence: 2, TableAge: time.Minute}})
	for shard := range before {
		is.True(s.PreferredOwner(shard) != staleMember.ID)
	}
}

// network runs one State per instance and delivers heartbeats between them
// without delay. Instances in down neither run nor receive.
type network struct {
	now          time.Time
	states       map[fleet.InstanceID]*State
	down         map[fleet.InstanceID]bool
	messagesSent map[fleet.InstanceID]int
}

func newNetwork(dataCentres, each int) *network {
	n := &network{now: start, states: map[fleet.InstanceID]*State{}, down: map[fleet.InstanceID]bool{}, messagesSent: map[fleet.InstanceID]int{}}
	var all []fleet.Instance
	for dc := range dataCentres {
		for i := range each {
			all = append(all, testInstance(dc, i))
		}
	}
	for _, i := range all {
		n.states[i.ID] = New(Config{Self: i}, start)
		n.states[i.ID].Step(start, listingOf(all...))
	}
	return n
}

func (n *network) run(d time.Duration) {
	ids := make([]fleet.InstanceID, 0, len(n.states))
	for id := range n.states {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for end := n.now.Add(d); n.now.Before(end); n.now = n.now.Add(500 * time.Millisecond) {
		for _, id := range ids {
			if n.down[id] {
				continue
			}
			own := Heartbeat{Demand: []RowDemand{{Row: "drafts", ArrivalRate: 1, InFlight: 2}}, WantedLoads: 1}
			for _, a := range n.states[id].Step(n.now, Tick{Own: own}) {
				send, ok := a.(SendHeartbeat)
				if !ok {
					continue
				}
				n.messagesSent[id] += len(send.To)
				for _, to := range send.To {
					if !n.down[to.ID] {
						n.states[to.ID].Step(n.now, HeartbeatReceived{send.Heartbeat})
					}
				}
			}
		}
	}
}

// Guards against members of other data centres that stay unknown, stay alive
// after they stopped, or are counted twice in the demand, while relays forward
// summaries and when both relays of a data centre stop.
func TestRelaysConnectDataCentres(t *testing.T) {
	is := is.New(t)
	n := newNetwork(4, 12)
	n.run(5 * time.Second)
	for _, s := range n.states {
		is.Equal(len(s.AliveIncarnations()), 48)
		is.Equal(s.Demand(n.now), []RowDemand{{Row: "drafts", ArrivalRate: 48, InFlight: 96}})
		is.Equal(s.WantedLoads(n.now), 48)
	}
	var relays []fleet.InstanceID
	for id, s := range n.states {
		if s.IsRelay() {
			relays = append(relays, id)
		}
		is.True(len(s.Targets()) <= 11+3*2)
	}
	slices.Sort(relays)
	is.Equal(len(relays), 8)
	n.down[relays[0]], n.down[relays[1]] = true, true // both relays of one data centre
	n.run(15 * time.Second)
	for id, s := range n.states {
		if !n.down[id] {
			is.Equal(len(s.AliveIncarnations()), 46)
			is.Equal(s.WantedLoads(n.now), 46)
		}
	}
}

// Guards against data centres that never reconnect after a network partition.
func TestDataCentresReconnectAfterPartition(t *testing.T) {
	is := is.New(t)
	n := newNetwork(4, 12)
	n.run(5 * time.Second)
	for id := range n.states {
		n.down[id] = id >= "dc02"
	}
	n.run(30 * time.Second)
	is.Equal(len(n.states["dc00-00"].AliveIncarnations()), 24)
	clear(n.down)
	n.run(10 * time.Second)
	for _, s := range n.states {
		is.Equal(len(s.AliveIncarnations()), 48)
	}
}

// Guards against a member whose incarnation decreases, for any order of
// heartbeats and lists.
func TestIncarnationsNeverGoBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		self := testInstance(0, 0)
		s := New(Config{Self: self}, start)
		now := start
		highest := map[fleet.InstanceID]fleet.Incarnation{}
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			i := testInstance(0, rapid.IntRange(1, 3).Draw(t, "member"))
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				s.Step(now, listingOf(self, i))
			case 1:
				s.Step(now, Tick{})
			default:
				i.Incarnation = fleet.Incarnation(rapid.IntRange(1, 3).Draw(t, "incarnation"))
				s.Step(now, heartbeatFrom(i, uint64(rapid.IntRange(1, 5).Draw(t, "sequence"))))
				highest[i.ID] = max(highest[i.ID], i.Incarnation)
			}
			for id, want := range highest {
				if m, ok := s.Member(id); ok && m.Instance.Incarnation != want {
					t.Fatalf("%s has incarnation %d, want the highest heard of, %d", id, m.Instance.Incarnation, want)
				}
			}
		}
	})
}

// BenchmarkFullSize measures the messages per second of one member and of one
// relay, and the processor time per member, with 420 instances.
func BenchmarkFullSize(b *testing.B) {
	n := newNetwork(12, 35)
	n.run(3 * time.Second)
	clear(n.messagesSent)
	for b.Loop() {
		n.run(time.Second)
	}
	member, relay := 0, 0
	for id, s := range n.states {
		if s.IsRelay() {
			relay = max(relay, n.messagesSent[id])
		} else {
			member = max(member, n.messagesSent[id])
		}
	}
	b.ReportMetric(float64(member)/float64(b.N), "member-messages/s")
	b.ReportMetric(float64(relay)/float64(b.N), "relay-messages/s")
	b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N)/420, "us/s-and-member")
}
