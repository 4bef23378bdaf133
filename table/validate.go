package table

import (
	"fmt"
	"regexp"
	"strings"
	"time"

	"github.com/hyssophaven/hyssophaven/fleet"
)

// Limits on the values of a row.
const (
	maxNameLength    = 128
	maxWeight        = 1e6
	maxMemoryMB      = 4 << 20 // 4 TB
	maxReplicas      = 10_000
	maxQuarantineFor = 30 * 24 * time.Hour
	// maxFloorSum leaves part of the slot time to be assigned by rank alone.
	maxFloorSum = 0.95
)

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:/-]*$`)

// Problem is one reason why a table is not valid. Column is empty if the problem
// concerns the whole row, and Row is empty if it concerns the whole table.
type Problem struct {
	Row     string
	Column  string
	Message string
}

// String returns the problem with its row and column.
func (p Problem) String() string {
	if p.Column == "" {
		return fmt.Sprintf("row %q: %s", p.Row, p.Message)
	}
	return fmt.Sprintf("row %q: %s: %s", p.Row, p.Column, p.Message)
}

// problemList collects the problems of a table.
type problemList []Problem

func (ps *problemList) addf(r Row, column, format string, args ...any) {
	*ps = append(*ps, Problem{Row: r.Name, Column: column, Message: fmt.Sprintf(format, args...)})
}

// Validate returns every problem of a table with the given rows: in each row, in
// the references between rows and in the sum of the floors.
func Validate(rows []Row) []Problem {
	var problems problemList
	byName := make(map[string]Row, len(rows))
	for _, r := range rows {
		if _, ok := byName[r.Name]; ok {
			problems.addf(r, "name", "another row has the same name")
		}
		byName[r.Name] = r
		validateRow(r, &problems)
	}
	for _, r := range rows {
		validateReferences(r, byName, &problems)
	}
	validateFloors(rows, &problems)
	return problems
}

func validateRow(r Row, problems *problemList) {
	if len(r.Name) > maxNameLength || !namePattern.MatchString(r.Name) {
		problems.addf(r, "name", "must be 1 to %d letters, digits or any of . _ : / - and begin with a letter or digit", maxNameLength)
	}
	if !(r.Weight > 0 && r.Weight <= maxWeight) {
		problems.addf(r, "weight", "must be greater than 0 and at most %g, is %g", maxWeight, r.Weight)
	}
	if r.Limits.InFlight < 0 {
		problems.addf(r, "max_in_flight", "must not be negative, is %d", r.Limits.InFlight)
	}
	if !(r.Limits.PerSecond >= 0) {
		problems.addf(r, "max_per_second", "must not be negative, is %g", r.Limits.PerSecond)
	}
	validateTargets(r, problems)
	if r.MinReplicas < 0 || r.MinReplicas > maxReplicas {
		problems.addf(r, "min_replicas", "must be between 0 and %d, is %d", maxReplicas, r.MinReplicas)
	}
	if r.QuarantineFor < 0 || r.QuarantineFor > maxQuarantineFor {
		problems.addf(r, "quarantine_for", "must be between 0s and %s, is %s", maxQuarantineFor, r.QuarantineFor)
	}
	validateKind(r, problems)
}

func validateTargets(r Row, problems *problemList) {
	t := r.Targets
	for _, c := range []struct {
		column string
		value  time.Duration
	}{{"first_token_target", t.FirstToken}, {"between_tokens_target", t.BetweenTokens}, {"whole_answer_target", t.WholeAnswer}} {
		if c.value < 0 {
			problems.addf(r, c.column, "must not be negative, is %s", c.value)
		}
	}
	if t.WholeAnswer > 0 && t.FirstToken > t.WholeAnswer {
		problems.addf(r, "first_token_target", "is later than whole_answer_target")
	}
}

func validateKind(r Row, problems *problemList) {
	onlyFor := func(set bool, column string, kinds ...Kind) {
		if !set {
			return
		}
		for _, k := range kinds {
			if r.Kind == k {
				return
			}
		}
		problems.addf(r, column, "has no meaning for a row of kind %s", r.Kind)
	}
	onlyFor(r.Base != "", "base", KindAdapter, KindWork)
	onlyFor(r.MemoryMB != 0, "memory_mb", KindModel, KindAdapter)
	onlyFor(r.Version != "", "version", KindModel, KindAdapter)
	onlyFor(r.MinReplicas != 0, "min_replicas", KindModel, KindAdapter)
	onlyFor(len(r.NotIdempotent) > 0, "not_idempotent", KindService)
	onlyFor(r.RequireIdempotencyKey, "require_key", KindService)
	onlyFor(r.Floor != 0, "floor", KindRank)
	if (r.Kind == KindModel || r.Kind == KindAdapter) && (r.MemoryMB <= 0 || r.MemoryMB > maxMemoryMB) {
		problems.addf(r, "memory_mb", "must be between 1 and %d, is %d", maxMemoryMB, r.MemoryMB)
	}
	if (r.Kind == KindModel || r.Kind == KindService) && r.Pool == "" {
		problems.addf(r, "pool", "must name the pool that serves the row")
	}
	for _, call := range r.NotIdempotent {
		method, path, ok := strings.Cut(call, " ")
		if !ok || method != strings.ToUpper(method) || method == "" || !strings.HasPrefix(path, "/") {
			problems.addf(r, "not_idempotent", "%q must have the form \"METHOD /path\"", call)
		}
	}
}

func validateReferences(r Row, byName map[string]Row, problems *problemList) {
	if r.Kind != KindAdapter && r.Kind != KindWork {
		return
	}
	base, ok := byName[r.Base]
	switch {
	case r.Base == "":
		problems.addf(r, "base", "must name the row that serves this one")
	case !ok:
		problems.addf(r, "base", "row %q does not exist", r.Base)
	case r.Kind == KindAdapter && base.Kind != KindModel:
		problems.addf(r, "base", "row %q is of kind %s; an adapter needs a model", r.Base, base.Kind)
	case r.Kind == KindWork && base.Kind != KindModel && base.Kind != KindAdapter:
		problems.addf(r, "base", "row %q is of kind %s; a kind of work needs a model or adapter", r.Base, base.Kind)
	}
}

func validateFloors(rows []Row, problems *problemList) {
	sum := 0.0
	for _, r := range rows {
		if r.Kind != KindRank {
			continue
		}
		if rank, err := fleet.ParseRank(r.Name); err != nil {
			problems.addf(r, "name", "a row of kind rank is named urgent, prompt or patient")
		} else if rank != r.Rank {
			problems.addf(r, "rank", "must be %s, as the row's name", rank)
		}
		if !(r.Floor >= 0 && r.Floor < 1) {
			problems.addf(r, "floor", "must be at least 0 and less than 1, is %g", r.Floor)
		}
		sum += r.Floor
	}
	if sum > maxFloorSum {
		*problems = append(*problems, Problem{Column: "floor", Message: fmt.Sprintf("the floors of all ranks add up to %g; at most %g is possible", sum, maxFloorSum)})
	}
}
