// Package netdial opens TCP connections that notice a peer that has gone silent.
package netdial

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// userTimeout is how long sent bytes may stay unacknowledged: far more than
	// the retransmissions of a lossy link need.
	userTimeout = 2500 * time.Millisecond
	// probeIdle, probeInterval and probeCount find a silent peer of an idle
	// connection within 2.5 s, before the bound of 3 s after which an instance
	// counts as in touch again.
	probeIdle     = time.Second
	probeInterval = time.Second
	probeCount    = 2
)

// Dialer returns a dial function whose connections time out when the peer is silent.
func Dialer(timeout time.Duration) func(ctx context.Context, network, address string) (net.Conn, error) {
	d := &net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount},
		Control:         control,
	}
	return d.DialContext
}

// ListenConfig returns the configuration of listeners whose accepted
// connections time out when the peer is silent.
func ListenConfig() *net.ListenConfig {
	return &net.ListenConfig{
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: 5 * probeIdle, Interval: probeInterval, Count: probeCount},
		Control:         control,
	}
}

func control(_, _ string, raw syscall.RawConn) error {
	var err error
	controlErr := raw.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if controlErr != nil {
		return controlErr
	}
	return err
}
