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

// Guards against Address returning the same address again before its first user
// listens on it. TestBookingHistory then failed with "address already in use".
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

// Guards against Address probing with a listener: a program started concurrently
// by another test inherits the listener, so that the address is still in use when
// the test listens on it. TestEdgeServesADay then failed with "address already in
// use".
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

// Guards against ports in the ephemeral range, which an outgoing connection of
// any process can occupy before the test listens on the address.
func TestPortsAreOutsideEphemeralRange(t *testing.T) {
	is := is.New(t)
	text, err := os.ReadFile("/proc/sys/net/ipv4/ip_local_port_range")
	if err != nil {
		t.Skip("can't read the range of ephemeral ports: ", err)
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
