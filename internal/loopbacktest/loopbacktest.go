// Package loopbacktest allocates loopback addresses for tests whose listeners
// run in other processes. Addresses are unique within a test process and between
// test processes that run concurrently.
package loopbacktest

import (
	"fmt"
	"net"
	"os"
	"strconv"
	"sync"
	"testing"
	"time"
)

const (
	// hostsPerBlock is the number of hosts that differ only in the last byte of the
	// address. A process has two blocks, whose second bytes are blockDistance apart;
	// process ids below 2^15 use half of the second bytes for the first block.
	hostsPerBlock = 254
	blockDistance = 127
	maxHosts      = 2 * hostsPerBlock
	// firstPort and lastPort bound the allocated ports. They lie below the range of
	// ephemeral ports, because an outgoing connection that is refused occupies its
	// local port on all hosts until it is closed.
	firstPort, lastPort = 15_000, 32_000
	// dialTimeout bounds the check for a listener. Connections on the loopback
	// interface are normally refused at once.
	dialTimeout = time.Second
)

var (
	mu          sync.Mutex
	hostsIssued int
	freeHosts   []string               // hosts of HostFor whose tests have ended
	nextPort    = make(map[string]int) // next port to allocate, by host
)

// Host returns a loopback address that is not returned again in this process.
// The second and third bytes are derived from the process id. Host panics after
// maxHosts calls.
func Host() string {
	mu.Lock()
	defer mu.Unlock()
	if hostsIssued++; hostsIssued > maxHosts {
		panic(fmt.Sprintf("more than %d loopback hosts", maxHosts))
	}
	pid, block := os.Getpid(), (hostsIssued-1)/hostsPerBlock
	second := 1 + (pid>>8+block*blockDistance)%254
	return fmt.Sprintf("127.%d.%d.%d", second, pid%256, 1+(hostsIssued-1)%hostsPerBlock)
}

// HostFor returns a loopback address that is not returned again before t has ended, and
// thereby lets a process have more than maxHosts deployments, one after the other. What
// listens on it must be closed when t ends.
func HostFor(t testing.TB) string {
	host := takeFreeHost()
	if host == "" {
		host = Host()
	}
	t.Cleanup(func() {
		mu.Lock()
		defer mu.Unlock()
		freeHosts = append(freeHosts, host)
	})
	return host
}

// takeFreeHost returns the host that has been free for the longest time, or "".
func takeFreeHost() string {
	mu.Lock()
	defer mu.Unlock()
	if len(freeHosts) == 0 {
		return ""
	}
	host := freeHosts[0]
	freeHosts = freeHosts[1:]
	return host
}

// Address returns an unused address of host, as host:port. It never returns the
// same address twice, because the listener may be opened much later. It probes
// the port by dialing and not by listening: a child process that is started
// meanwhile inherits the listener and keeps it open until it executes its
// program.
func Address(t testing.TB, host string) string {
	t.Helper()
	mu.Lock()
	defer mu.Unlock()
	for port := max(firstPort, nextPort[host]); port <= lastPort; port++ {
		nextPort[host] = port + 1
		address := net.JoinHostPort(host, strconv.Itoa(port))
		conn, err := net.DialTimeout("tcp", address, dialTimeout)
		if err != nil {
			return address
		}
		_ = conn.Close() // the port is in use, for example by a program that listens on all addresses
	}
	t.Fatalf("no port is left on host %s", host)
	return ""
}
