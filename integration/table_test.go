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

// rows returns the table of the deployment: a model and an adapter on it for
// each rank and one more, and a booking service.
func rows() []table.Row {
	out := []table.Row{
		{Name: "urgent", Kind: table.KindRank, Rank: fleet.Urgent, Weight: 1, Floor: 0.5},
		{Name: "prompt", Kind: table.KindRank, Rank: fleet.Prompt, Weight: 1, Floor: 0.1},
		{Name: "patient", Kind: table.KindRank, Rank: fleet.Patient, Weight: 1, Floor: 0.05},
		{Name: "booking", Kind: table.KindService, Rank: fleet.Urgent, Weight: 1, Pool: "booking", NotIdempotent: []string{"POST /bookings"}},
	}
	for i := range modelCount {
		rank := fleet.Ranks()[i%fleet.RankCount]
		out = append(out,
			table.Row{Name: modelName(i), Kind: table.KindModel, Rank: rank, Weight: 1, Pool: "models", Version: "1", MemoryMB: modelMB},
			table.Row{Name: adapterName(i), Kind: table.KindAdapter, Rank: rank, Weight: 1, Base: modelName(i), Version: "1", MemoryMB: 200})
	}
	return out
}

// served returns the names of the rows that callers use as models.
func served() []string {
	var out []string
	for i := range modelCount {
		out = append(out, modelName(i), adapterName(i))
	}
	return out
}

func (d *deployment) seedTable() {
	d.t.Helper()
	client := backinghttp.NewClient(d.address, backinghttp.Options{})
	defer client.Close()
	edit := table.Edit{Author: "test"}
	for _, r := range rows() {
		edit.Changes = append(edit.Changes, table.Change{Row: r})
	}
	if _, err := tablestore.New(client.Tables()).Edit(d.t.Context(), edit); err != nil {
		d.t.Fatal(err)
	}
}

// edit changes one row through an instance, starting from its current state.
// It repeats the edit after conflicts and unknown outcomes.
func (d *deployment) edit(through *instance, name string, change func(*table.Row)) uint64 {
	d.t.Helper()
	var revision uint64
	waitNil(d.t, "an edit of "+name, func() error {
		seen, err := through.operator().Table(d.t.Context())
		if err != nil {
			return err
		}
		row, ok := seen.Row(name)
		if !ok {
			return fmt.Errorf("row %q does not exist", name)
		}
		change(&row)
		revision, err = through.operator().Edit(d.t.Context(), table.Edit{Changes: []table.Change{{Row: row, BaseVersion: row.RowVersion}}})
		return err
	})
	return revision
}

// waitInForce waits until every instance has adopted the revision.
func (d *deployment) waitInForce(revision uint64) {
	d.t.Helper()
	waitNil(d.t, fmt.Sprintf("revision %d on every instance", revision), func() error {
		for _, i := range d.members() {
			s, err := i.operator().Status(d.t.Context())
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

// waitReachable waits until every instance answers every row (I2).
func (d *deployment) waitReachable() {
	d.t.Helper()
	defer d.logResidents()
	for _, i := range d.members() {
		waitFor(d.t, i.id+" to be ready", i.ready)
		for _, name := range served() {
			waitNil(d.t, fmt.Sprintf("%s to answer for %s", i.id, name), func() error {
				err := checkAnswer(d.t.Context(), i, name, newText("reach"), 1)
				if errors.Is(err, errWrongAnswer) {
					d.t.Fatal(err)
				}
				return err
			})
		}
	}
}

// logResidents shows what a failed test's instances believe the engines hold.
func (d *deployment) logResidents() {
	if !d.t.Failed() {
		return
	}
	for _, i := range d.members() {
		if s, err := i.operator().Status(d.ctx); err == nil {
			for _, e := range s.Endpoints {
				d.t.Logf("%s: %s owner %s counted %d MB trial %v: %v", i.id, e.ID, e.Owner, e.CountedMB, e.Trial, e.Residents)
			}
			d.t.Logf("%s: findings %v", i.id, s.Findings)
		}
	}
}

// owned returns how many replicas an instance owns as another one sees it.
func (d *deployment) owned(id string, through *instance) int {
	s, err := through.operator().Status(d.ctx)
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

// waitVersion waits until every instance answers from a version of a model.
func (d *deployment) waitVersion(name, version string) {
	d.t.Helper()
	defer d.logResidents()
	for _, i := range d.members() {
		waitFor(d.t, fmt.Sprintf("%s to serve version %s of %s", i.id, version, name), func() bool {
			text := newText("version")
			got, err := stream(d.ctx, i, name, text, 2, nil)
			return err == nil && got == expected(name, version, text, 2)
		})
	}
}
