//go:build linux

package integration

import (
	"errors"
	"fmt"
	"net/http"
	"sync"
	"testing"

	"github.com/matryer/is"

	"github.com/hyssophaven/hyssophaven/operator"
	"github.com/hyssophaven/hyssophaven/table"
)

// Guards against two accepted edits when several instances edit the same version of
// a row concurrently, against accepted edits that are reverted, and against revisions
// that decrease on an instance (F8, I8).
func TestRacingEditsThroughSeveralInstances(t *testing.T) {
	is := is.New(t)
	d := startDeployment(t, options{})
	stop, watched := make(chan struct{}), make(chan error, 1)
	go func() { watched <- d.watchRevisions(stop) }()
	for round := range 5 {
		seen, err := d.members()[0].newOperatorClient().Table(t.Context())
		is.NoErr(err)
		row, _ := seen.Row(modelName(0))
		results := make(chan error, 9)
		var weights sync.Map
		for n := range cap(results) {
			go func() {
				changed := row
				changed.Weight = float64(100*round + n + 1)
				_, err := d.members()[n%instanceCount].newOperatorClient().Edit(t.Context(), table.Edit{
					Author: fmt.Sprint(n), Changes: []table.Change{{Row: changed, BaseVersion: row.RowVersion}}})
				if err == nil {
					weights.Store(changed.Weight, true)
				}
				results <- err
			}()
		}
		accepted := 0
		for range cap(results) {
			err := <-results
			var failure *operator.Error
			if err == nil {
				accepted++
			} else if !errors.As(err, &failure) || failure.Code != operator.CodeConflict {
				t.Errorf("racing edit: %v", err)
			}
		}
		is.Equal(accepted, 1)
		after, err := d.members()[1].newOperatorClient().Table(t.Context())
		is.NoErr(err)
		got, _ := after.Row(modelName(0))
		_, wasAccepted := weights.Load(got.Weight)
		is.True(wasAccepted) // the edit in force is the one that was accepted
		d.waitRevision(after.Revision)
	}
	close(stop)
	is.NoErr(<-watched)
}

// watchRevisions returns an error if the table revision of an instance decreases
// before stop is closed.
func (d *deployment) watchRevisions(stop chan struct{}) error {
	highest := make(map[string]uint64)
	for {
		select {
		case <-stop:
			return nil
		default:
		}
		for _, i := range d.members() {
			s, err := i.newOperatorClient().Status(d.ctx)
			if err != nil {
				return err
			}
			if s.TableRevision < highest[i.id] {
				return fmt.Errorf("%s: revision decreased from %d to %d", i.id, highest[i.id], s.TableRevision)
			}
			highest[i.id] = s.TableRevision
		}
	}
}

// Guards against edits, leases and claims that are applied twice or lost when the
// store applies a write but its response is lost (F6).
func TestStoreAnswersLostAfterTheWrite(t *testing.T) {
	is := is.New(t)
	d := startDeployment(t, options{})
	l := d.startLoad(8)
	d.setPlatformFaults("tables", `{"lose_probability":0.4}`)
	accepted := make(map[float64]bool)
	for n := range 12 {
		i, weight := d.members()[n%instanceCount], float64(n+2)
		seen, err := i.newOperatorClient().Table(t.Context())
		if err != nil {
			continue
		}
		row, _ := seen.Row(modelName(0))
		row.Weight = weight
		_, err = i.newOperatorClient().Edit(t.Context(), table.Edit{Changes: []table.Change{{Row: row, BaseVersion: row.RowVersion}}})
		accepted[weight] = err == nil
	}
	// Leases move to another instance while responses are lost.
	d.startInstance()
	leaving := d.members()[0]
	leaving.terminate()
	waitFor(t, leaving.id+" to end", leaving.hasEnded)
	d.removeInstance(leaving)
	d.waitRequestsFinished(100)
	d.setPlatformFaults("tables", noFaults)

	history, err := d.members()[0].newOperatorClient().History(t.Context(), 100)
	is.NoErr(err)
	for n, entry := range history {
		is.Equal(entry.Revision, history[0].Revision-uint64(n)) // no edit is missing or duplicated
	}
	acceptedCount := 0
	for _, ok := range accepted {
		if ok {
			acceptedCount++
		}
	}
	is.True(int(history[0].Revision)-1 >= acceptedCount) // revision 1 is the initial table
	d.waitRevision(history[0].Revision)
	o := l.stopAndWait()
	d.checkSafety(o)
	for _, b := range o.bookings {
		is.True(b.status == 0 || b.status == 201 || b.executed != "yes" || b.status >= http.StatusBadRequest)
	}
	d.waitReachable()
}

// Guards against an accepted version change that never takes effect (I8) because
// every replica is full, although some models are loaded on two replicas.
func TestVersionChangesInAFullFleet(t *testing.T) {
	d := startDeployment(t, options{engineMemoryMB: 50_000}) // room for two models on each engine
	d.waitRevision(d.editRow(d.members()[0], modelName(1), setVersion("2")))
	d.waitVersion(modelName(1), "2")
	d.waitReachable()
	d.checkMemory()
}
