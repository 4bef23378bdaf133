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
