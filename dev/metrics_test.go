package dev

import (
	"bufio"
	"context"
	"encoding/json"
	"expvar"
	"io"
	"net/http"
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"
)

// documentedCounters returns the sorted counters in the tables of the metrics
// page, as group/name.
func documentedCounters(t *testing.T) []string {
	t.Helper()
	is := is.New(t)
	f, err := os.Open("../docs/metrics.md")
	is.NoErr(err)
	defer f.Close()
	heading := regexp.MustCompile("^## .*`([a-z_]+)`$")
	row := regexp.MustCompile("^\\| `([^`]+)` \\| ([^|]+) \\| ([^|]+) \\|$")
	var group string
	var names []string
	lines := bufio.NewScanner(f)
	for lines.Scan() {
		if m := heading.FindStringSubmatch(lines.Text()); m != nil {
			group = m[1]
		}
		if m := row.FindStringSubmatch(lines.Text()); m != nil {
			names = append(names, group+"/"+m[1])
		}
	}
	is.NoErr(lines.Err())
	slices.Sort(names)
	return names
}

// exportedCounters returns the sorted counters of an instance, as group/name.
func exportedCounters(t *testing.T, vars *expvar.Map) []string {
	t.Helper()
	var groups map[string]map[string]json.Number
	is.New(t).NoErr(json.Unmarshal([]byte(vars.String()), &groups)) // fails if a counter is not a number in a group
	var names []string
	for group, counters := range groups {
		for name := range counters {
			names = append(names, group+"/"+name)
		}
	}
	slices.Sort(names)
	return names
}

// namesNotIn returns the names that are not in known.
func namesNotIn(known, names []string) string {
	return strings.Join(slices.DeleteFunc(slices.Clone(names), func(n string) bool { return slices.Contains(known, n) }), ", ")
}

// Guards against exported counters that the metrics page does not describe, and
// against described counters that no instance exports.
func TestMetricsPageMatchesInstance(t *testing.T) {
	is := is.New(t)
	r, err := Start(t.Context(), Options{Deployment: Deployments()["ladang-petik"], Instances: 1, Log: log.New(io.Discard)})
	is.NoErr(err)
	defer func() { is.NoErr(r.Stop(context.Background())) }()
	page := documentedCounters(t)
	compare := func() {
		have := exportedCounters(t, r.Instances[0].Vars())
		is.Equal(namesNotIn(page, have), "") // exported, not described
		is.Equal(namesNotIn(have, page), "") // described, not exported
	}
	compare()
	for postChat(t, r.Instances[0], "slot-confirmation") != http.StatusOK {
		time.Sleep(100 * time.Millisecond)
	}
	burnReport(t, r, r.Instances[0])
	compare() // includes counters that appear with the first request
}
