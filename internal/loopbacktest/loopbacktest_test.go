package loopbacktest

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against an address that is handed out twice before its first owner
// listens on it (TestBookingHistory: "address already in use").
func TestAddressesDiffer(t *testing.T) {
	is := is.New(t)
	host := Host()
	is.True(host != Host())
	seen := make(map[string]bool)
	for range 2000 {
		address := Address(t, host)
		is.True(!seen[address])
		seen[address] = true
	}
}
