package leader

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/hyssophaven/hyssophaven/bootclock"
	"github.com/hyssophaven/hyssophaven/rowstore"
)

// Guards against orders of two holders that overlap, and against an epoch that is given
// out twice, because the store loses or brings back a record of the lease when it is
// restored, also if instances restart meanwhile or a delayed write takes effect after the
// restore.
func TestOrdersKeepHandoverGapAcrossRestores(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(3)
		c.store.era = 1
		c.store.row.Version = rowstore.NewVersion(1, 0)
		c.store.copy()
		c.run(t, 22)
	})
}

// Guards against an epoch that two instances order with, and against a lower epoch after a
// higher one: a write of an instance that missed a restore of the store, or one that takes
// effect late, replaces the row of the lease because its version was given out again.
func TestEpochsAreUniqueAcrossRestores(t *testing.T) {
	for range 10 {
		rapid.Check(t, runWithMissedRestores)
	}
}

// runWithMissedRestores restores the store from copies that lack its last transactions, each
// time while an instance does not learn of it. In some restores the instance is back as soon
// as the row of the lease has the version again that it knows.
func runWithMissedRestores(t *rapid.T) {
	c := newCluster(3)
	c.store.era = 1
	c.store.row.Version = rowstore.NewVersion(1, 0)
	c.store.keepsHistory = true
	steps := func(most int) time.Duration {
		return time.Duration(rapid.IntRange(0, most).Draw(t, "steps")) * stepTime
	}
	now := c.advance(0, Term)
	for range rapid.IntRange(1, 4).Draw(t, "restores") {
		now = c.advance(now, steps(200))
		k := rapid.IntRange(0, 2).Draw(t, "instance")
		i := c.instances[k]
		if rapid.Bool().Draw(t, "late write") {
			for end := now + renewInterval; now < end; now += stepTime {
				c.stepWithLateCalls(now, k)
			}
		}
		suspended := rapid.Bool().Draw(t, "suspended")
		i.partitioned = !suspended
		if suspended {
			i.frozenUntil = math.MaxInt64
		}
		now = c.advance(now, steps(10))
		lost := rapid.IntRange(0, min(6, len(c.store.copies)-1)).Draw(t, "lost")
		c.store.restore(len(c.store.copies) - 1 - lost)
		for range rapid.IntRange(0, 3).Draw(t, "other transactions") {
			c.store.commit()
		}
		matches := rapid.Bool().Draw(t, "version matches")
		for end := now + steps(60); now < end || matches && now < end+Term; now += stepTime {
			if matches && c.store.row.Version.Counter() == i.state.row.Version.Counter() {
				break
			}
			c.step(now)
		}
		c.store.applyDelayedWrites()
		i.partitioned, i.frozenUntil = false, 0
		now = c.advance(now, steps(160))
	}
	c.advance(now, 2*(orderWindow+maxOrderDelay+handoverGap))
	c.checkOrders(t)
}

// stepWithLateCalls is step, but calls of instance k to the store get no answer and take
// effect late.
func (c *cluster) stepWithLateCalls(now time.Duration, k int) {
	for n := range c.instances {
		callResult := ""
		if n == k {
			callResult = "late"
		}
		c.tick(now, n, callResult)
	}
	c.sendContacts(now)
}

// Guards against a successor that takes a restored record, or a missing one, for the state
// of the lease: that of another holder which it still has to wait for, or of one that
// released it. The last holder orders until its term ends, because it reaches neither the
// store nor its peers after the restore.
func TestSuccessorWaitsForHolderOfEarlierEra(t *testing.T) {
	lease := func(holder string, released bool) Lease {
		return Lease{Holder: holder, Address: holder, Epoch: epochsPerEra, Era: 1, HandoverDone: true, Released: released}
	}
	for _, test := range []struct {
		name    string
		copied  Lease
		version uint64
		holder  int  // the instance that orders before the restore
		restart bool // of the successor
	}{
		{"no record", Lease{}, 0, 0, false},
		{"no record for a new process", Lease{}, 0, 0, true},
		{"released by another instance", lease("c", true), 3, 0, true},
		{"held by the successor", lease("b", false), 3, 0, true},
		{"held by the instance whose term has ended", lease("a", false), 3, 1, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			c, now := newClusterWithHolder()
			step := func() { now = c.step(now) }
			if test.holder == 1 {
				c.instances[0].storeUnreachable = true
				for c.orders[len(c.orders)-1].by == 0 {
					step()
				}
			}
			c.store.copies = []storeCopy{{row: Row{Lease: test.copied, Version: rowstore.NewVersion(1, test.version)}, counter: test.version}}
			c.store.restore(0)
			c.instances[test.holder].partitioned = true
			successor := 1 - test.holder
			c.instances[successor].storeUnreachable = false
			if test.restart {
				c.instances[successor].state = newState(successor, Options{})
			}
			for c.orders[len(c.orders)-1].by == test.holder {
				step()
			}
			c.checkOrders(t)
		})
	}
}

// Guards against a holder that goes on after a restore although another instance has
// acquired the lease since and orders until its term ends, at any instant of the restore.
func TestLastHolderResumesOnlyBeforeItsSuccessorOrders(t *testing.T) {
	for outage := time.Duration(0); outage < 2*(Term+handoverGap); outage += 50 * time.Millisecond {
		c, now := newClusterWithHolder()
		held := c.store.row
		c.instances[0].storeUnreachable = true
		for end := now + outage; now < end; {
			now = c.step(now)
		}
		c.store.copies = []storeCopy{{row: held, counter: c.store.counter}}
		c.store.restore(0)
		c.instances[0].storeUnreachable, c.instances[1].storeUnreachable = false, true
		for end := now + 3*(Term+handoverGap); now < end; now += 50 * time.Millisecond {
			c.tick(now, 0, "") // the instances don't reach each other
			c.tick(now, 1, "")
		}
		c.checkOrders(t)
	}
}

// Guards against a holder that resumes the lease long after its term: a successor has
// ordered, and a write of the earlier era has overwritten the successor's record.
func TestHolderDoesNotResumeAfterItsTerm(t *testing.T) {
	c, now := newClusterWithHolder()
	step := func() { now = c.step(now) }
	delayed := Write{Lease: c.store.row.Lease}
	c.store.copies = []storeCopy{{}}
	c.store.restore(0)
	old := c.instances[0]
	old.state.RecordEra(old.now(now), c.store.era) // a peer tells it of the restore
	old.partitioned = true
	for c.orders[len(c.orders)-1].by == 0 {
		step()
	}
	delayed.Version = c.store.row.Version // holds by accident
	c.store.putIfVersion(delayed)
	old.partitioned = false
	for end := now + 2*Term + 2*handoverGap; now < end; {
		step()
	}
	c.checkOrders(t)
}

// Guards against a holder that goes on after a restore without a wait, although it still
// waited for its predecessor: the predecessor has gone on in an era that this instance
// missed and that a second restore has ended.
func TestWaitingHolderDoesNotResume(t *testing.T) {
	c, now := newClusterWithHolder()
	first, second := c.instances[0], c.instances[1]
	held := c.store.copyNow()
	first.storeUnreachable = true
	for c.store.row.Holder != "b" {
		now = c.step(now)
	}
	second.partitioned = true
	c.store.restoreFrom(held)
	first.storeUnreachable = false
	for end := now + 800*time.Millisecond; now < end; {
		now = c.step(now)
	}
	c.store.restoreFrom(held)
	first.partitioned, second.partitioned = true, false
	for end := now + 2*(Term+maxOrderDelay+handoverGap); now < end; {
		now = c.step(now)
	}
	c.checkOrders(t)
}

// Guards against a holder that goes on after a restore because the row of the lease is of the
// earlier era, although another instance has acquired the lease in this one.
func TestHolderDoesNotResumeAfterAcquisitionInEra(t *testing.T) {
	is := is.New(t)
	s := New("a", "a:1", 1, Options{FirstStart: true})
	now := bootclock.Time(time.Second)
	is.Equal(s.Tick(now), ReadLease)
	s.RecordRead(now, Row{Version: rowstore.NewVersion(1, 0)})
	is.Equal(s.Tick(now), WriteLease)
	s.RecordWritten(now, rowstore.NewVersion(1, 1))
	now = now.Add(renewInterval)
	is.Equal(s.Tick(now), WriteLease)
	s.RecordFailure(now, true)
	is.Equal(s.Tick(now), ReadLease)
	stale := s.Row()
	stale.Version = rowstore.NewVersion(2, 5)
	stale.Epochs = EpochRecord{Last: 2*epochsPerEra + 1, Version: rowstore.NewVersion(2, 4)}
	s.RecordRead(now, stale)
	for end := now.Add(Term); now < end; now = now.Add(stepTime) {
		is.True(s.Tick(now) != WriteLease)
	}
}

// Guards against orders that stop for long after a restore of the store: the holder goes
// on if its term has not ended, and has a successor otherwise.
func TestOrdersResumeAfterRestore(t *testing.T) {
	for _, test := range []struct {
		name   string
		outage time.Duration
		limit  time.Duration // until the next order
	}{
		{"within the term", Term - renewInterval - 100*time.Millisecond, 300 * time.Millisecond},
		{"shortly after the term", Term, 300 * time.Millisecond},
		{"long after the term", 2 * Term, 2*Term + handoverGap + handoverMargin + time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			c, now := newClusterWithHolder()
			step := func() { now = c.step(now) }
			c.store.copies = []storeCopy{{row: Row{}}}
			for _, i := range c.instances {
				i.storeUnreachable = true
			}
			for end := now + test.outage; now < end; {
				step()
			}
			c.store.restore(0)
			for _, i := range c.instances {
				i.storeUnreachable = false
			}
			before, restored := len(c.orders), now
			for len(c.orders) == before || !c.instances[c.orders[len(c.orders)-1].by].state.row.current() {
				step()
				is.True(now-restored < test.limit)
			}
		})
	}
}
