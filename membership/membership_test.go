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

func inst(dc, n int) fleet.Instance {
	id := fmt.Sprintf("dc%02d-%02d", dc, n)
	return fleet.Instance{ID: fleet.InstanceID(id), Incarnation: 1, DataCentre: fleet.DataCentre(fmt.Sprintf("dc%02d", dc)), PeerAddress: id + ":7000"}
}

func beat(i fleet.Instance, sequence uint64) HeartbeatReceived {
	return HeartbeatReceived{Heartbeat{Member: i, Sequence: sequence}}
}

func listing(instances ...fleet.Instance) ListingRead {
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

// Guards against members that stay alive in silence, or come back by an old,
// repeated or reordered heartbeat.
func TestStatusFollowsHeartbeatsInOrder(t *testing.T) {
	is := is.New(t)
	a, b := inst(0, 0), inst(0, 1)
	s := New(Config{Self: a}, start)
	s.Step(start, listing(a, b))
	is.Equal(statusOf(s, b.ID), Listed)
	s.Step(start, beat(b, 5))
	is.Equal(statusOf(s, b.ID), Alive)
	at := func(d time.Duration) time.Time { return start.Add(d) }
	s.Step(at(time.Second), beat(b, 4))
	s.Step(at(time.Second), beat(b, 5))
	s.Step(at(2*time.Second), Tick{})
	is.Equal(statusOf(s, b.ID), Suspect)
	s.Step(at(5*time.Second), Tick{})
	is.Equal(statusOf(s, b.ID), Dead)
	is.True(!s.SenderGone(at(5*time.Second), b.ID, 1)) // silent but listed
	is.Equal(s.AliveIncarnations(), map[fleet.InstanceID]fleet.Incarnation{a.ID: 1})
	s.Step(at(6*time.Second), beat(b, 6))
	is.Equal(statusOf(s, b.ID), Alive)

	b2 := b
	b2.Incarnation = 2
	s.Step(at(7*time.Second), beat(b2, 1))
	s.Step(at(8*time.Second), beat(b, 100)) // late message of the old process
	m, _ := s.Member(b.ID)
	is.Equal(m.Instance.Incarnation, fleet.Incarnation(2))
	is.Equal(m.LastHeard, at(7*time.Second))
	is.True(s.SenderGone(at(8*time.Second), b.ID, 1))
	is.True(!s.SenderGone(at(8*time.Second), b.ID, 2))
	s.Step(at(20*time.Second), listing(a))
	s.Step(at(20*time.Second), Tick{})
	is.True(s.SenderGone(at(20*time.Second), b.ID, 2)) // the list no longer names it
}

// Guards against a process that goes on after a newer one took its name.
func TestNewerIncarnationOfSelfIsTold(t *testing.T) {
	is := is.New(t)
	a := inst(0, 0)
	s := New(Config{Self: a}, start)
	newer := a
	newer.Incarnation = 2
	is.Equal(s.Step(start, beat(newer, 1)), []Action{Replaced{By: newer}})
	is.Equal(len(s.Step(start, beat(newer, 2))), 0)
	is.Equal(len(s.Members()), 0)
}

// Guards against serving an old table while cut off, and against refusing
// while a cut can't be told from an outage of the store.
func TestIsolationRule(t *testing.T) {
	a, b := inst(0, 0), inst(0, 1)
	late := start.Add(20 * time.Second)
	for name, c := range map[string]struct {
		events []Event
		want   bool
	}{
		"nothing heard, no list":          {nil, true},
		"cut off from both":               {[]Event{listing(a, b)}, true},
		"only instance in the list":       {[]Event{listing(a)}, false},
		"store reached":                   {[]Event{listing(a, b), StoreContact{Sent: late.Add(-7 * time.Second)}}, false},
		"old answer of the store":         {[]Event{listing(a, b), StoreContact{Sent: late.Add(-8 * time.Second)}}, true},
		"peer heard, store down":          {[]Event{listing(a, b), beat(b, 1)}, false},
		"heartbeat of an old incarnation": {[]Event{listing(a, b), beat(fleet.Instance{ID: b.ID}, 1)}, true},
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

// Guards against work for members that leave or are dead, and against moving
// more than what a changed member had.
func TestChoicesFollowMembership(t *testing.T) {
	is := is.New(t)
	s := New(Config{Self: inst(0, 0)}, start)
	for n := 1; n < 7; n++ {
		s.Step(start, beat(inst(0, n), 1))
	}
	before := map[string]fleet.InstanceID{}
	for i := range 64 {
		shard := fmt.Sprint("shard/", i)
		before[shard] = s.PreferredOwner(shard)
	}
	gone := inst(0, 3)
	s.Step(start, HeartbeatReceived{Heartbeat{Member: gone, Sequence: 2, Leaving: true}})
	for shard, owner := range before {
		if owner == gone.ID {
			is.True(s.PreferredOwner(shard) != gone.ID)
		} else {
			is.Equal(s.PreferredOwner(shard), owner)
		}
	}
	for i := range 20 {
		e := fleet.EndpointID(fmt.Sprint("e", i))
		readers := s.ReportReaders(e, "dc00")
		is.Equal(len(readers), 2)
		is.True(readers[0] != readers[1])
		is.True(!slices.Contains(readers, gone.ID))
		is.Equal(s.ReportReaders(e, "unknown-dc"), readers) // none there: any reader
	}
	// A member without the store could not renew a lease.
	stale := inst(0, 4)
	s.Step(start, HeartbeatReceived{Heartbeat{Member: stale, Sequence: 2, TableAge: time.Minute}})
	for shard := range before {
		is.True(s.PreferredOwner(shard) != stale.ID)
	}
}

// network delivers heartbeats between states at once.
type network struct {
	now    time.Time
	states map[fleet.InstanceID]*State
	down   map[fleet.InstanceID]bool
	sent   map[fleet.InstanceID]int
}

func newNetwork(dataCentres, each int) *network {
	n := &network{now: start, states: map[fleet.InstanceID]*State{}, down: map[fleet.InstanceID]bool{}, sent: map[fleet.InstanceID]int{}}
	var all []fleet.Instance
	for dc := range dataCentres {
		for i := range each {
			all = append(all, inst(dc, i))
		}
	}
	for _, i := range all {
		n.states[i.ID] = New(Config{Self: i}, start)
		n.states[i.ID].Step(start, listing(all...))
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
				n.sent[id] += len(send.To)
				for _, to := range send.To {
					if !n.down[to.ID] {
						n.states[to.ID].Step(n.now, HeartbeatReceived{send.Heartbeat})
					}
				}
			}
		}
	}
}

// Guards against members of other data centres that are unknown, stay alive
// when dead, or are counted twice in the demand, when relays forward summaries.
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
	n.down[relays[0]], n.down[relays[1]] = true, true // both of one data centre
	n.run(15 * time.Second)
	for id, s := range n.states {
		if !n.down[id] {
			is.Equal(len(s.AliveIncarnations()), 46)
			is.Equal(s.WantedLoads(n.now), 46)
		}
	}
}

// Guards against two sides of a cut that never find each other again.
func TestDataCentresMeetAgainAfterACut(t *testing.T) {
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

// Guards against incarnations that go back, and against live members that are
// not counted as such, for any order of heartbeats and lists.
func TestIncarnationsNeverGoBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		self := inst(0, 0)
		s := New(Config{Self: self}, start)
		now := start
		highest := map[fleet.InstanceID]fleet.Incarnation{}
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			i := inst(0, rapid.IntRange(1, 3).Draw(t, "member"))
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				s.Step(now, listing(self, i))
			case 1:
				s.Step(now, Tick{})
			default:
				i.Incarnation = fleet.Incarnation(rapid.IntRange(1, 3).Draw(t, "incarnation"))
				s.Step(now, beat(i, uint64(rapid.IntRange(1, 5).Draw(t, "sequence"))))
				highest[i.ID] = max(highest[i.ID], i.Incarnation)
			}
			for id, want := range highest {
				if m, ok := s.Member(id); ok && m.Instance.Incarnation != want {
					t.Fatalf("%s has incarnation %d, heard of %d", id, m.Instance.Incarnation, want)
				}
			}
		}
	})
}

// Measures the messages of one member and of one relay at full size.
func BenchmarkFullSize(b *testing.B) {
	n := newNetwork(12, 35)
	n.run(3 * time.Second)
	clear(n.sent)
	for b.Loop() {
		n.run(time.Second)
	}
	member, relay := 0, 0
	for id, s := range n.states {
		if s.IsRelay() {
			relay = max(relay, n.sent[id])
		} else {
			member = max(member, n.sent[id])
		}
	}
	b.ReportMetric(float64(member)/float64(b.N), "member-messages/s")
	b.ReportMetric(float64(relay)/float64(b.N), "relay-messages/s")
	b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N)/420, "us/s-and-member")
}
