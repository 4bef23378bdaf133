package edge

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hyssophaven/hyssophaven/platform"
	"github.com/hyssophaven/hyssophaven/platform/platformtest"
)

// Guards against a resumable stream that is broken off because its replica pauses and
// no other replica can go on.
func TestPausedStreamIsNotBrokenOff(t *testing.T) {
	for name, preventRetry := range map[string]func(d *deployment){
		"other replica is leaving": func(d *deployment) {
			other := d.Engines[1]
			d.Store.Put(platform.ReplicaTable, other.ID, other.Row("llm", "z2", "draining"))
			d.eventually("the replica is known to leave", func() bool { return strings.Contains(d.logs.String(), "leaving=true") })
		},
		"other replica lacks the model": func(d *deployment) {
			row := d.Engines[1].Row("llm", "z2", "in_service")
			row.Models = []platformtest.Model{{Name: "m2", Version: 1}}
			d.Store.Put(platform.ReplicaTable, d.Engines[1].ID, row)
			d.eventually("the replica is known to lack the model", func() bool { return strings.Contains(d.logs.String(), "models=m2\n") })
		},
		"retry budget is used up": func(d *deployment) {
			platformtest.QueueFaultsOnAll(d.Engines, platformtest.Shed)
			d.do(0, request{Method: "POST", Path: "/chat/x", Model: "m1"}) // its retry takes the only token
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := newDeployment(t)
			d.bounds.RetryRatio, d.bounds.RetrySlack = 0, 0
			d.addInstance()
			preventRetry(d)
			for _, e := range d.Engines {
				e.StreamPause = 1500 * time.Millisecond
			}
			platformtest.QueueFaultsOnAll(d.Engines, platformtest.PauseStream)
			got := d.do(0, request{Method: "POST", Path: "/chat/x", ID: "paused", Model: "m1"})
			is.NoErr(got.Err)
			is.Equal(got.Body, platformtest.StreamBody("paused", 6))
		})
	}
}

// Guards against a resumable stream that is broken off because its replica pauses and
// the other replica, to which it is sent again, turns it away.
func TestPausedStreamGoesOnIfOtherReplicaIsFull(t *testing.T) {
	is := is.New(t)
	d := startDeployment(t, 1)
	d.Engines[0].StreamPause = 1500 * time.Millisecond
	d.Engines[0].QueueFaults(platformtest.PauseStream)
	d.Engines[1].QueueFaults(platformtest.Shed)
	got := d.do(0, request{Method: "POST", Path: "/chat/x", ID: "paused", Model: "m1"})
	is.NoErr(got.Err)
	is.Equal(got.Body, platformtest.StreamBody("paused", 6))
}

// Guards against a resumable stream that is broken off because its replica pauses and
// the replica that takes it over, the last one possible, begins late.
func TestPausedStreamGoesOnIfOtherReplicaBeginsLate(t *testing.T) {
	is := is.New(t)
	d := startDeployment(t, 1)
	for _, e := range d.Engines {
		e.StreamPause = 1500 * time.Millisecond
	}
	platformtest.QueueFaultsOnAll(d.Engines, platformtest.PauseStream)
	got := d.do(0, request{Method: "POST", Path: "/chat/x", ID: "paused", Model: "m1"})
	is.NoErr(got.Err)
	is.Equal(got.Body, platformtest.StreamBody("paused", 6))
}
