package loopbacktest

import (
	"fmt"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"sync"
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

// Guards against an address that its owner can't listen on, because a program
// that another test started at the same moment still has a copy of the listener
// with which the address was chosen (TestEdgeServesADay: "address already in use").
func TestAddressIsFreeWhileProgramsStart(t *testing.T) {
	is := is.New(t)
	host := Host()
	stop := make(chan struct{})
	var starting sync.WaitGroup
	for range 4 {
		starting.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
					if err := exec.Command("true").Run(); err != nil {
						t.Error(err)
						return
					}
				}
			}
		})
	}
	for range 1000 {
		l, err := net.Listen("tcp", Address(t, host))
		if err == nil {
			err = l.Close()
		}
		is.NoErr(err)
	}
	close(stop)
	starting.Wait()
}

// Guards against ports that outgoing connections of any process may get before
// the owner of the address listens.
func TestPortsAreNotThoseOfOutgoingConnections(t *testing.T) {
	is := is.New(t)
	text, err := os.ReadFile("/proc/sys/net/ipv4/ip_local_port_range")
	if err != nil {
		t.Skip("the kernel does not tell the range: ", err)
	}
	var first, last uint16
	_, err = fmt.Sscan(string(text), &first, &last)
	is.NoErr(err)
	host := Host()
	for range 2000 {
		port := netip.MustParseAddrPort(Address(t, host)).Port()
		is.True(port < first || port > last)
	}
}
