//go:build linux

package integration

import (
	"net/http"
	"testing"

	"github.com/matryer/is"
)

const (
	down    = `{"down":true}`
	healthy = `{}`
)

// Guards against an outage of the stores that stops serving, runs keyed
// bookings without a claim (I4, I5), accepts edits (I8) or leads to
// overcommitted memory once the leases have lapsed (F5).
func TestStoresDownLongerThanALease(t *testing.T) {
	is := is.New(t)
	d := startDeployment(t, options{})
	first := d.members()[0]
	l := d.startLoad(5)
	d.storesFail(down)
	waitFor(t, "every lease to lapse", func() bool {
		for _, i := range d.members() {
			if s, err := i.operator().Status(t.Context()); err != nil || len(s.Leases) > 0 {
				return false
			}
		}
		return true
	})
	b := book(t.Context(), first, "while down", "key while down")
	is.Equal(b.status, http.StatusServiceUnavailable)
	is.Equal(b.executed, "no")
	_, err := first.operator().Table(t.Context())
	is.True(err != nil)
	is.NoErr(checkAnswer(t.Context(), first, modelName(1), newText("while down"), 4))

	d.storesFail(`{"delay":"2500ms"}`) // above the timeout of a store call
	d.waitWork(30)
	d.storesFail(healthy)
	d.waitInForce(d.edit(first, modelName(0), setMinReplicas(2)))
	o := l.end()
	for _, err := range o.failed {
		t.Error(err) // serving needs no store
	}
	o.bookings = append(o.bookings, b)
	d.checkSafety(o)
	d.waitReachable()
}

// Guards against an instance that can't start during an outage of the stores
// although a peer has the table, and that serves an old one.
func TestInstanceStartsFromAPeerWhileTheStoresAreDown(t *testing.T) {
	is := is.New(t)
	d := startDeployment(t, options{})
	revision := d.edit(d.members()[0], modelName(1), setMinReplicas(2))
	d.waitInForce(revision)
	d.storesFail(down)
	late := d.startInstance()
	d.waitReachable()
	s, err := late.operator().Status(t.Context())
	is.NoErr(err)
	is.True(s.TableRevision >= revision)
	b := book(t.Context(), late, "late", "key late")
	is.Equal(b.executed, "no")
	checkBookings(t, []booking{b}, d.executions())
}

// Guards against an instance that misses edits because it is cut off from the
// platform only, and against one that serves an old table although it is cut
// off from everything (I8, I4).
func TestInstancesCutOff(t *testing.T) {
	is := is.New(t)
	d := startDeployment(t, options{})
	alone, other := d.members()[0], d.members()[1]
	alone.platform.cut()
	d.waitInForce(d.edit(other, modelName(2), setMinReplicas(2)))
	is.NoErr(checkAnswer(t.Context(), alone, modelName(2), newText("cut from the store"), 4))

	d.cutPeers()
	waitFor(t, "the instance to fail readiness", func() bool { return !alone.ready() })
	text := newText("cut from both")
	err := checkAnswer(t.Context(), alone, modelName(0), text, 4)
	is.True(saidNo(err))
	is.Equal(d.started().of(text), 0)
	b := book(t.Context(), alone, "cut", "key cut")
	is.Equal(b.executed, "no")
	for _, i := range d.members()[1:] {
		is.NoErr(checkAnswer(t.Context(), i, modelName(0), newText("others"), 4))
	}
	revision := d.edit(other, modelName(2), setMinReplicas(1))

	for _, i := range d.members() {
		i.peers.restore()
	}
	alone.platform.restore()
	d.waitInForce(revision)
	d.waitReachable()
	checkBookings(t, []booking{b}, d.executions())
	d.checkMemory()
}

func (d *deployment) cutPeers() {
	for _, i := range d.members() {
		i.peers.cut()
	}
}

// Guards against a holder that goes on giving orders after its leases expired
// while it was paused (F7): memory stays within its bounds (I1), the table
// moves on (I8), and every model is reachable afterwards (I2).
func TestLeaseHolderPausedPastItsTerm(t *testing.T) {
	for _, ignores := range []bool{false, true} {
		t.Run(map[bool]string{false: "engines check tokens", true: "engines ignore tokens"}[ignores], func(t *testing.T) {
			d := startDeployment(t, options{ignoresTokens: ignores})
			other := d.members()[1]
			paused := d.members()[0]
			for _, i := range d.members() {
				if d.owned(i.id, other) > d.owned(paused.id, other) {
					paused = i
				}
			}
			if paused == other {
				other = d.members()[2]
			}
			l := d.startLoad(6)
			// Orders of the holder are under way when it is paused.
			d.edit(paused, modelName(0), setMinReplicas(2))
			d.edit(paused, modelName(1), setVersion("2"))
			paused.pause()
			waitFor(t, "the paused holder's replicas to be taken over", func() bool { return d.owned(paused.id, other) == 0 })
			revision := d.edit(other, modelName(2), setVersion("2"))
			d.edit(other, modelName(0), setMinReplicas(1))
			revision = max(revision, d.edit(other, modelName(3), setMinReplicas(2)))
			paused.resume()
			d.waitInForce(revision)
			d.waitVersion(modelName(1), "2")
			d.waitVersion(modelName(2), "2")
			d.checkSafety(l.end())
			d.waitReachable()
			d.checkMemory()
		})
	}
}
