//go:build linux

package integration

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against a deployment of real processes that can't serve at all, and
// against keyed bookings that run twice when repeated through every instance.
func TestEveryRowIsServedThroughEveryInstance(t *testing.T) {
	is := is.New(t)
	d := startDeployment(t, options{})
	var told []booking
	for _, i := range d.instances {
		told = append(told, book(t.Context(), i, "first", "key-first"))
	}
	for _, b := range told {
		is.Equal(b.status, 201)
		is.Equal(b.executed, "yes")
	}
	checkBookings(t, told, d.executions())
	d.checkMemory()
}
