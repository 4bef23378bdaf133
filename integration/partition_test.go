//go:build linux

package integration

import (
	"net/http"
	"testing"

	"github.com/matryer/is"
)

// Fault settings of the table service and the object store.
const (
	storesDown = `{"down":true}`
	noFaults   = `{}`
)

// Guards against instances that stop serving, execute bookings with an idempotency
// key without a claim (I4, I5), accept edits (I8) or overcommit memory when the
// stores are down until all leases have expired (F5).
func TestStoresDownLongerThanALease(t *testing.T) {
	is := is.New(t)
	d := startDeployment(t, options{})
	first := d.members()[0]
	l := d.startLoad(5)
	d.setStoreFaults(storesDown)
	waitFor(t, "every lease to expire", func() bool {
		for _, i := range d.members() {
			if s, err := i.newOperatorClient().Status(t.Context()); err != nil || len(s.Leases) > 0 {
				return false
			}
		}
		return true
	})
	b := sendBooking(t.Context(), first, "while down", "key while down")
	is.Equal(b.status, http.StatusServiceUnavailable)
	is.Equal(b.executed, "no")
	_, err := first.newOperatorClient().Table(t.Context())
	is.True(err != nil)
	is.NoErr(checkAnswer(t.Context(), first, modelName(1), uniqueText("while down"), 4))

	d.setStoreFaults(`{"delay":"2500ms"}`) // longer than the timeout of a store call
	d.waitRequestsFinished(30)
	d.setStoreFaults(noFaults)
	d.waitRevision(d.editRow(first, modelName(0), setMinReplicas(2)))
	o := l.stopAndWait()
	for _, err := range o.failed {
		t.Error(err) // streams and bookings of the load must not depend on the stores
	}
	o.bookings = append(o.bookings, b)
	d.checkSafety(o)
	d.waitReachable()
}

// Guards against an instance that cannot start during an outage of the stores
// although a peer has the table, or that starts with an outdated table.
func TestInstanceStartsFromAPeerWhileTheStoresAreDown(t *testing.T) {
	is := is.New(t)
	d := startDeployment(t, options{})
	revision := d.editRow(d.members()[0], modelName(1), setMinReplicas(2))
	d.waitRevision(revision)
	d.setStoreFaults(storesDown)
	started := d.startInstance()
	d.waitReachable()
	s, err := started.newOperatorClient().Status(t.Context())
	is.NoErr(err)
	is.True(s.TableRevision >= revision)
	b := sendBooking(t.Context(), started, "late", "key late")
	is.Equal(b.executed, "no")
	checkBookings(t, []bookingResult{b}, d.bookingExecutions())
}

// Guards against an instance that misses edits while it is disconnected from the
// platform but not from its peers, and against an instance that continues to serve an
// outdated table while it is disconnected from both (I8, I4).
func TestInstancesCutOff(t *testing.T) {
	is := is.New(t)
	d := startDeployment(t, options{})
	disconnected, other := d.members()[0], d.members()[1]
	disconnected.platformLink.cut()
	d.waitRevision(d.editRow(other, modelName(2), setMinReplicas(2)))
	is.NoErr(checkAnswer(t.Context(), disconnected, modelName(2), uniqueText("cut from the store"), 4))

	d.cutPeers()
	waitFor(t, "the disconnected instance to become unready", func() bool { return !disconnected.isReady() })
	text := uniqueText("cut from both")
	err := checkAnswer(t.Context(), disconnected, modelName(0), text, 4)
	is.True(isNotExecuted(err))
	is.Equal(d.startsByPrompt().forText(text), 0)
	b := sendBooking(t.Context(), disconnected, "cut", "key cut")
	is.Equal(b.executed, "no")
	for _, i := range d.members()[1:] {
		is.NoErr(checkAnswer(t.Context(), i, modelName(0), uniqueText("others"), 4))
	}
	revision := d.editRow(other, modelName(2), setMinReplicas(1))

	for _, i := range d.members() {
		i.peerLink.restore()
	}
	disconnected.platformLink.restore()
	d.waitRevision(revision)
	d.waitReachable()
	checkBookings(t, []bookingResult{b}, d.bookingExecutions())
	d.checkMemory()
}

func (d *deployment) cutPeers() {
	for _, i := range d.members() {
		i.peerLink.cut()
	}
}

// Guards against a lease holder that continues to issue orders after its leases
// expired while it was paused (F7): memory must not be overcommitted (I1), edits must
// take effect (I8), and every model must be reachable afterwards (I2).
func TestLeaseHolderPausedPastItsTerm(t *testing.T) {
	for _, ignoreTokens := range []bool{false, true} {
		t.Run(map[bool]string{false: "engines check tokens", true: "engines ignore tokens"}[ignoreTokens], func(t *testing.T) {
			d := startDeployment(t, options{enginesIgnoreTokens: ignoreTokens})
			other := d.members()[1]
			paused := d.members()[0]
			for _, i := range d.members() {
				if d.ownedReplicas(i.id, other) > d.ownedReplicas(paused.id, other) {
					paused = i
				}
			}
			if paused == other {
				other = d.members()[2]
			}
			l := d.startLoad(6)
			// Orders of the holder are in flight when it is paused.
			d.editRow(paused, modelName(0), setMinReplicas(2))
			d.editRow(paused, modelName(1), setVersion("2"))
			paused.pause()
			waitFor(t, "the paused holder's replicas to be taken over", func() bool { return d.ownedReplicas(paused.id, other) == 0 })
			revision := d.editRow(other, modelName(2), setVersion("2"))
			d.editRow(other, modelName(0), setMinReplicas(1))
			revision = max(revision, d.editRow(other, modelName(3), setMinReplicas(2)))
			paused.resume()
			d.waitRevision(revision)
			d.waitVersion(modelName(1), "2")
			d.waitVersion(modelName(2), "2")
			d.checkSafety(l.stopAndWait())
			d.waitReachable()
			d.checkMemory()
		})
	}
}
