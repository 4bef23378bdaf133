// Package loopbacktest hands out loopback addresses to tests that start
// listeners in other processes, so that neither these nor test processes that
// run side by side choose the same one.
package loopbacktest

import (
	"fmt"
	"net"
	"os"
	"sync"
	"testing"
)

// maxHosts is the number of hosts of one process: the last byte of an address.
const maxHosts = 254

var (
	mu     sync.Mutex
	hosts  int
	handed = make(map[string]bool) // addresses that were handed out
)

// Host returns a loopback address that no other caller in this process gets.
// The two bytes before the last are those of the process's number.
func Host() string {
	mu.Lock()
	defer mu.Unlock()
	if hosts++; hosts > maxHosts {
		panic(fmt.Sprintf("more than %d loopback hosts", maxHosts))
	}
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+pid>>8%254, pid%256, hosts)
}

// Address returns an unused address of a host, as host:port, and never the same
// one twice: its listener may be opened much later.
func Address(t testing.TB, host string) string {
	t.Helper()
	mu.Lock()
	defer mu.Unlock()
	for {
		l, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
		if err != nil {
			t.Fatal(err)
		}
		address := l.Addr().String()
		if err := l.Close(); err != nil {
			t.Fatal(err)
		}
		if !handed[address] {
			handed[address] = true
			return address
		}
	}
}
