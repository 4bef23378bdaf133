package metrics

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against missing labels, buckets that are not cumulative, and function
// variables that are evaluated only once.
func TestTextOutput(t *testing.T) {
	is := is.New(t)
	r := New()
	r.Counter("requests", "kind", "stream", "status", "200").Add(2)
	r.Counter("requests", "kind", "stream", "status", "200").Add(1)
	r.Gauge("ordering").Set(1)
	n := int64(0)
	r.Func("reads", func() int64 { n++; return n })
	h := r.Histogram("took", "kind", "stream")
	h.Observe(3 * time.Millisecond)
	h.Observe(90 * time.Millisecond)
	read := func() string {
		w := httptest.NewRecorder()
		r.ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
		return w.Body.String()
	}
	first, second := read(), read()
	for _, line := range []string{
		`requests{kind="stream",status="200"} 3`, `ordering 1`, `reads 1`,
		`took{kind="stream"} le_ms=2 0`, `took{kind="stream"} le_ms=5 1`, `took{kind="stream"} le_ms=100 2`, `took{kind="stream"} sum_ms 93`,
	} {
		is.True(strings.Contains(first, line+"\n")) // the line is in the text
	}
	is.True(strings.Contains(second, "reads 2\n"))
}
