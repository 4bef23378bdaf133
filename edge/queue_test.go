package edge

import (
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/hyssophaven/hyssophaven/platform/platformtest"
)

// Guards against refusing a request because each replica has rejected it once, although they
// state their slowness and have a free slot soon, and against treating other services so.
func TestRejectedRequestGoesToReplicaAgain(t *testing.T) {
	for _, states := range []bool{false, true} {
		is := is.New(t)
		d := startDeployment(t, 1)
		want := http.StatusServiceUnavailable
		if states {
			want = http.StatusOK
			for _, app := range d.Apps {
				app.StateSlowness(100)
			}
			is.Equal(d.do(0, request{Method: "GET", Path: "/look/x", ID: "first"}).Status, http.StatusOK)
		}
		platformtest.QueueFaultsOnAll(d.Apps, platformtest.Shed)
		got := d.do(0, request{Method: "POST", Path: "/book/x", ID: "rejected"})
		is.NoErr(got.Err)
		is.Equal(got.Status, want)
		is.Equal(len(d.Runs("rejected")), map[bool]int{false: 0, true: 1}[states])
	}
}
