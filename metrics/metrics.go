// Package metrics holds the counters, gauges and latency histograms of an edge
// instance. A Registry creates each variable on first use and serves all of them
// over HTTP as text, one line per value. Counters and gauges are expvar integers.
package metrics

import (
	"expvar"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// Registry holds variables by name and labels. It is safe for concurrent use.
type Registry struct {
	mu         sync.Mutex
	ints       map[string]*expvar.Int
	histograms map[string]*Histogram
	functions  map[string]func() int64
}

// New returns an empty registry.
func New() *Registry {
	return &Registry{ints: make(map[string]*expvar.Int), histograms: make(map[string]*Histogram), functions: make(map[string]func() int64)}
}

// formatKey returns name followed by the labels, as in requests{kind="stream"}.
// Labels alternate between name and value.
func formatKey(name string, labels []string) string {
	if len(labels) < 2 {
		return name
	}
	var b strings.Builder
	b.WriteString(name + "{")
	for i := 0; i+1 < len(labels); i += 2 {
		if i > 0 {
			b.WriteByte(',')
		}
		fmt.Fprintf(&b, "%s=%q", labels[i], labels[i+1])
	}
	b.WriteByte('}')
	return b.String()
}

// Counter returns the counter with the given name and labels, which alternate
// between name and value.
func (r *Registry) Counter(name string, labels ...string) *expvar.Int {
	return r.intVariable(formatKey(name, labels))
}

// Gauge returns the gauge with the given name and labels, which alternate between
// name and value. The code that owns it sets it to the current value.
func (r *Registry) Gauge(name string, labels ...string) *expvar.Int {
	return r.intVariable(formatKey(name, labels))
}

// Func exports a variable that is computed by calling value on each read.
func (r *Registry) Func(name string, value func() int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.functions[name] = value
}

func (r *Registry) intVariable(k string) *expvar.Int {
	r.mu.Lock()
	defer r.mu.Unlock()
	v, ok := r.ints[k]
	if !ok {
		v = new(expvar.Int)
		r.ints[k] = v
	}
	return v
}

// bucketBounds holds the inclusive upper bounds of the histogram buckets, in
// milliseconds. Longer durations fall into one more, unbounded bucket.
var bucketBounds = [...]int64{1, 2, 5, 10, 20, 50, 100, 150, 250, 500, 800, 1000, 2000, 5000, 10000, 20000}

// Histogram counts durations in fixed buckets. It is safe for concurrent use.
type Histogram struct {
	mu     sync.Mutex
	counts [len(bucketBounds) + 1]int64
	sum    time.Duration
}

// Histogram returns the histogram with the given name and labels, which alternate
// between name and value.
func (r *Registry) Histogram(name string, labels ...string) *Histogram {
	k := formatKey(name, labels)
	r.mu.Lock()
	defer r.mu.Unlock()
	h, ok := r.histograms[k]
	if !ok {
		h = &Histogram{}
		r.histograms[k] = h
	}
	return h
}

// Observe adds a duration to the histogram.
func (h *Histogram) Observe(d time.Duration) {
	i := 0
	for i < len(bucketBounds) && d.Milliseconds() > bucketBounds[i] {
		i++
	}
	h.mu.Lock()
	h.counts[i]++
	h.sum += d
	h.mu.Unlock()
}

// formatLines returns one line per bucket, with cumulative counts, and one with the
// sum of the durations.
func (h *Histogram) formatLines(k string) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := make([]string, 0, len(h.counts)+1)
	total := int64(0)
	for i, n := range h.counts {
		total += n
		bound := "inf"
		if i < len(bucketBounds) {
			bound = fmt.Sprint(bucketBounds[i])
		}
		out = append(out, fmt.Sprintf("%s le_ms=%s %d", k, bound, total))
	}
	return append(out, fmt.Sprintf("%s sum_ms %d", k, h.sum.Milliseconds()))
}

// Lines returns the values of all variables as sorted lines of text.
func (r *Registry) Lines() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []string
	for k, v := range r.ints {
		out = append(out, fmt.Sprintf("%s %d", k, v.Value()))
	}
	for k, value := range r.functions {
		out = append(out, fmt.Sprintf("%s %d", k, value()))
	}
	for k, h := range r.histograms {
		out = append(out, h.formatLines(k)...)
	}
	slices.Sort(out)
	return out
}

// ServeHTTP writes the values of all variables as text.
func (r *Registry) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	_, _ = fmt.Fprintln(w, strings.Join(r.Lines(), "\n")) // the client may have disconnected
}
