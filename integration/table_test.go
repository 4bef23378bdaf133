//go:build linux

package integration

import (
	"errors"
	"fmt"

	"github.com/hyssophaven/hyssophaven/backing/backinghttp"
	"github.com/hyssophaven/hyssophaven/fleet"
	"github.com/hyssophaven/hyssophaven/table"
	"github.com/hyssophaven/hyssophaven/tablestore"
)

func modelName(i int) string { return fmt.Sprintf("model-%d", i+1) }

func adapterName(i int) string { return fmt.Sprintf("adapter-%d", i+1) }

// tableRows returns the rows of the deployment's table: the three ranks, a booking
// service, and modelCount models with an adapter each, whose ranks cycle through the
// three.
func tableRows() []table.Row {
	out := []table.Row{
		{Name: "urgent", Kind: table.KindRank, Rank: fleet.Urgent, Weight: 1, Floor: 0.5},
		{Name: "prompt", Kind: table.KindRank, Rank: fleet.Prompt, Weight: 1, Floor: 0.1},
		{Name: "patient", Kind: table.KindRank, Rank: fleet.Patient, Weight: 1, Floor: 0.05},
		{Name: "booking", Kind: table.KindService, Rank: fleet.Urgent, Weight: 1, Pool: "booking", NotIdempotent: []string{"POST /bookings"}},
	}
	for i := range modelCount {
		rank := fleet.Ranks()[i%fleet.RankCount]
		out = append(out,
			table.Row{Name: modelName(i), Kind: table.KindModel, Rank: rank, Weight: 1, Pool: "models", Version: "1", MemoryMB: modelMemoryMB},
			table.Row{Name: adapterName(i), Kind: table.KindAdapter, Rank: rank, Weight: 1, Base: modelName(i), Version: "1", MemoryMB: 200})
	}
	return out
}

// modelRowNames returns the names that callers can use as the model of a request:
// those of models and adapters.
func modelRowNames() []string {
	var out []string
	for i := range modelCount {
		out = append(out, modelName(i), adapterName(i))
	}
	return out
}

// seedTable writes the initial table, revision 1.
func (d *deployment) seedTable() {
	d.t.Helper()
	client := backinghttp.NewClient(d.platformAddress, backinghttp.Options{})
	defer client.Close()
	edit := table.Edit{Author: "test"}
	for _, r := range tableRows() {
		edit.Changes = append(edit.Changes, table.Change{Row: r})
	}
	if _, err := tablestore.New(client.Tables()).Edit(d.t.Context(), edit); err != nil {
		d.t.Fatal(err)
	}
}

// editRow applies change to the current state of a row through an instance and returns
// the new table revision. It retries after any error, such as a conflict or an unknown
// outcome.
func (d *deployment) editRow(target *instance, name string, change func(*table.Row)) uint64 {
	d.t.Helper()
	var revision uint64
	waitNoError(d.t, "an edit of "+name, func() error {
		seen, err := target.newOperatorClient().Table(d.t.Context())
		if err != nil {
			return err
		}
		row, ok := seen.Row(name)
		if !ok {
			return fmt.Errorf("row %q does not exist", name)
		}
		change(&row)
		revision, err = target.newOperatorClient().Edit(d.t.Context(), table.Edit{Changes: []table.Change{{Row: row, BaseVersion: row.RowVersion}}})
		return err
	})
	return revision
}

// waitRevision waits until every instance has adopted at least the given revision.
func (d *deployment) waitRevision(revision uint64) {
	d.t.Helper()
	waitNoError(d.t, fmt.Sprintf("revision %d on every instance", revision), func() error {
		for _, i := range d.members() {
			s, err := i.newOperatorClient().Status(d.t.Context())
			if err != nil {
				return err
			}
			if s.TableRevision < revision {
				return fmt.Errorf("%s is at revision %d", i.id, s.TableRevision)
			}
		}
		return nil
	})
}

// waitReachable waits until every instance is ready and answers requests for every
// model and adapter (I2).
func (d *deployment) waitReachable() {
	d.t.Helper()
	defer d.logResidents()
	for _, i := range d.members() {
		waitFor(d.t, i.id+" to be ready", i.isReady)
		for _, name := range modelRowNames() {
			waitNoError(d.t, fmt.Sprintf("%s to answer for %s", i.id, name), func() error {
				err := checkAnswer(d.t.Context(), i, name, uniqueText("reach"), 1)
				if errors.Is(err, errWrongAnswer) {
					d.t.Fatal(err)
				}
				return err
			})
		}
	}
}

// logResidents logs, if the test failed, what each instance reports as loaded on the
// engines.
func (d *deployment) logResidents() {
	if !d.t.Failed() {
		return
	}
	for _, i := range d.members() {
		if s, err := i.newOperatorClient().Status(d.ctx); err == nil {
			for _, e := range s.Endpoints {
				d.t.Logf("%s: %s owner %s counted %d MB trial %v: %v", i.id, e.ID, e.Owner, e.CountedMB, e.ReservedForTrial, e.Residents)
			}
			d.t.Logf("%s: findings %v", i.id, s.Findings)
		}
	}
}

// ownedReplicas returns how many replicas the instance id owns according to the status
// of another instance, or -1 if that status is unavailable.
func (d *deployment) ownedReplicas(id string, observer *instance) int {
	s, err := observer.newOperatorClient().Status(d.ctx)
	if err != nil {
		return -1
	}
	n := 0
	for _, e := range s.Endpoints {
		if e.Owner == id {
			n++
		}
	}
	return n
}

func setMinReplicas(n int) func(*table.Row) { return func(r *table.Row) { r.MinReplicas = n } }

func setVersion(v string) func(*table.Row) { return func(r *table.Row) { r.Version = v } }

// waitVersion waits until every instance answers with the given version of a model.
func (d *deployment) waitVersion(name, version string) {
	d.t.Helper()
	defer d.logResidents()
	for _, i := range d.members() {
		waitFor(d.t, fmt.Sprintf("%s to serve version %s of %s", i.id, version, name), func() bool {
			text := uniqueText("version")
			got, err := streamAnswer(d.ctx, i, name, text, 2, nil)
			return err == nil && got == expectedAnswer(name, version, text, 2)
		})
	}
}
