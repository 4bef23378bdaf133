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

// Guards against racing edits of one row of which two are accepted, edits that
// revert, and revisions that go back on an instance (F8, I8).
func TestRacingEditsThroughSeveralInstances(t *testing.T) {
	is := is.New(t)
	d := startDeployment(t, options{})
	stop, watched := make(chan struct{}), make(chan error, 1)
	go func() { watched <- d.watchRevisions(stop) }()
	for round := range 5 {
		seen, err := d.members()[0].operator().Table(t.Context())
		is.NoErr(err)
		row, _ := seen.Row(modelName(0))
		results := make(chan error, 9)
		var weights sync.Map
		for n := range cap(results) {
			go func() {
				changed := row
				changed.Weight = float64(100*round + n + 1)
				_, err := d.members()[n%instanceCount].operator().Edit(t.Context(), table.Edit{
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
		after, err := d.members()[1].operator().Table(t.Context())
		is.NoErr(err)
		got, _ := after.Row(modelName(0))
		_, told := weights.Load(got.Weight)
		is.True(told) // the edit in force is the one that was accepted
		d.waitInForce(after.Revision)
	}
	close(stop)
	is.NoErr(<-watched)
}

// watchRevisions reports an instance whose revision goes back.
func (d *deployment) watchRevisions(stop chan struct{}) error {
	highest := make(map[string]uint64)
	for {
		select {
		case <-stop:
			return nil
		default:
		}
		for _, i := range d.members() {
			s, err := i.operator().Status(d.ctx)
			if err != nil {
				return err
			}
			if s.TableRevision < highest[i.id] {
				return fmt.Errorf("%s went back from revision %d to %d", i.id, highest[i.id], s.TableRevision)
			}
			highest[i.id] = s.TableRevision
		}
	}
}

// Guards against edits, leases and claims that are repeated or forgotten when
// the store's answer is lost after the write took effect (F6).
func TestStoreAnswersLostAfterTheWrite(t *testing.T) {
	is := is.New(t)
	d := startDeployment(t, options{})
	l := d.startLoad(8)
	d.faults("tables", `{"lose_probability":0.4}`)
	accepted := make(map[float64]bool)
	for n := range 12 {
		i, weight := d.members()[n%instanceCount], float64(n+2)
		seen, err := i.operator().Table(t.Context())
		if err != nil {
			continue
		}
		row, _ := seen.Row(modelName(0))
		row.Weight = weight
		_, err = i.operator().Edit(t.Context(), table.Edit{Changes: []table.Change{{Row: row, BaseVersion: row.RowVersion}}})
		accepted[weight] = err == nil
	}
	// Leases change hands while answers are lost.
	d.startInstance()
	leaving := d.members()[0]
	leaving.terminate()
	waitFor(t, leaving.id+" to end", leaving.ended)
	d.remove(leaving)
	d.waitWork(100)
	d.faults("tables", healthy)

	history, err := d.members()[0].operator().History(t.Context(), 100)
	is.NoErr(err)
	for n, entry := range history {
		is.Equal(entry.Revision, history[0].Revision-uint64(n)) // no edit is missing or doubled
	}
	told := 0
	for _, ok := range accepted {
		if ok {
			told++
		}
	}
	is.True(int(history[0].Revision)-1 >= told) // revision 1 is the first table
	d.waitInForce(history[0].Revision)
	o := l.end()
	d.checkSafety(o)
	for _, b := range o.bookings {
		is.True(b.status == 0 || b.status == 201 || b.executed != "yes" || b.status >= http.StatusBadRequest)
	}
	d.waitReachable()
}

// Guards against an accepted edit of a version that never takes effect (I8)
// because every replica is full, although models have second copies.
func TestVersionChangesInAFullFleet(t *testing.T) {
	d := startDeployment(t, options{memoryMB: 50_000}) // two models on each engine
	d.waitInForce(d.edit(d.members()[0], modelName(1), setVersion("2")))
	d.waitVersion(modelName(1), "2")
	d.waitReachable()
	d.checkMemory()
}
