package load

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
)

// WriteTable writes the result as an aligned text table.
func (r *Result) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "rank\tsent\tanswered\tattained\tattainment\tgoodput/s\tfirst p50\tp95\tp99\tbetween p50\tp95\tp99\twhole p50\tp95\tp99\t")
	for _, k := range r.Ranks {
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%.2f%%\t%.1f\t", k.Rank, k.Sent, k.Answered, k.Attained, 100*k.Attainment, k.Goodput)
		for _, p := range []Percentiles{k.FirstToken, k.BetweenTokens, k.WholeAnswer} {
			fmt.Fprintf(t, "%.1f\t%.1f\t%.1f\t", p.P50, p.P95, p.P99)
		}
		fmt.Fprintln(t)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	var b strings.Builder
	fmt.Fprintf(&b, "latencies in ms; seed %d, %v; generator late by %.1f ms at p99\n", r.Seed, r.Duration, r.StartDelay.P99)
	for _, k := range r.Ranks {
		for _, code := range slices.Sorted(maps.Keys(k.Codes)) {
			fmt.Fprintf(&b, "%s: %s %d\n", k.Rank, code, k.Codes[code])
		}
	}
	for _, line := range slices.Concat(r.Wrong, r.FaultErrors) {
		fmt.Fprintln(&b, line)
	}
	_, err := io.WriteString(w, b.String())
	return err
}

// WriteJSON writes the result as JSON.
func (r *Result) WriteJSON(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(r)
}
