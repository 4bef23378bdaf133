package loopbacktest

import (
	"net"
	"testing"

	"github.com/matryer/is"
)

// Guards against a test process that runs out of hosts, or gets one twice.
func TestHostsAreUnique(t *testing.T) {
	is := is.New(t)
	issued := make(map[string]bool)
	for range hostsPerBlock + 1 {
		host := Host()
		is.True(!issued[host])
		is.True(net.ParseIP(host).IsLoopback())
		issued[host] = true
	}
}

// Guards against a process that runs out of hosts although most of its tests have ended, and
// against two tests that have the same one.
func TestHostsOfEndedTestsAreUsedAgain(t *testing.T) {
	is := is.New(t)
	own := HostFor(t)
	for range 2 * maxHosts {
		t.Run("test", func(t *testing.T) {
			first, second := HostFor(t), HostFor(t)
			is.True(first != second)
			is.True(first != own && second != own)
		})
	}
}
