package membership

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hyssophaven/hyssophaven/fleet"
)

// Guards against an age of this instance's own reports that decreases with the
// time since the Tick that carried them: an old load would look current, and
// storing the same report again would mark the view stale each time.
func TestOwnReportsAge(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1_800_000_000, 0)
	s := New(Config{Self: fleet.Instance{ID: "a", Incarnation: 1}}, start)
	s.Step(start, Tick{Own: Heartbeat{Reports: []EndpointReport{{Endpoint: "e", Age: time.Second}}}})
	for _, later := range []time.Duration{0, 300 * time.Millisecond, 2 * time.Second} {
		reports := s.Reports(start.Add(later))
		is.Equal(len(reports), 1)
		is.Equal(reports[0].Age, time.Second+later)
	}
}
