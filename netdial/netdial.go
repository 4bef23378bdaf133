// Package netdial configures TCP connections that fail when the remote end
// stops responding, by a user timeout and keepalive probes, and whose reads tell
// the end of the input from the end of the connection.
package netdial

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// userTimeout limits how long sent data can stay unacknowledged before the
	// connection fails. Retransmissions on a lossy link need far less.
	userTimeout = 2500 * time.Millisecond
	// callerTimeout is userTimeout for connections of callers. Linux also ends a connection
	// whose remote end acknowledges each probe but keeps its window closed for so long, as a
	// caller does that reads slowly: its window opens again when most of its buffer is read.
	// Until then a caller that does not read at all keeps its place at a replica, if its
	// answer is larger than the buffers.
	callerTimeout = 10 * time.Second
	// probeIdle, probeInterval and probeCount detect an unresponsive remote end
	// of an idle dialled connection within 2.5 s, which is less than the 3 s within
	// which an instance must be reconnected after a network fault.
	probeIdle     = time.Second
	probeInterval = time.Second
	probeCount    = 2
)

// NewDialFunc returns a dial function whose connections are of type *Conn and fail when the
// remote end stops responding. The timeout limits the dial.
func NewDialFunc(timeout time.Duration) DialFunc {
	return NewDialFuncWithUserTimeout(timeout, userTimeout)
}

// NewDialFuncWithUserTimeout is NewDialFunc with another limit of the time for which sent
// data can stay unacknowledged. Data is not sent again later, not even if the process has
// ended by then.
func NewDialFuncWithUserTimeout(timeout, unacknowledged time.Duration) DialFunc {
	d := &net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount},
		Control: func(_, _ string, raw syscall.RawConn) error {
			return setUserTimeout(raw, unacknowledged)
		},
	}
	return WrapDial(d.DialContext)
}

// ListenConfig returns the configuration of listeners whose accepted connections
// fail when the remote end stops responding.
func ListenConfig() *net.ListenConfig { return listenConfig(userTimeout) }

// CallerListenConfig is ListenConfig for a listener for callers, who may read an answer
// slowly.
func CallerListenConfig() *net.ListenConfig { return listenConfig(callerTimeout) }

func listenConfig(unacknowledged time.Duration) *net.ListenConfig {
	return &net.ListenConfig{
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: 5 * probeIdle, Interval: probeInterval, Count: probeCount},
		Control:         func(_, _ string, raw syscall.RawConn) error { return setUserTimeout(raw, unacknowledged) },
	}
}

// setUserTimeout sets TCP_USER_TIMEOUT on a new socket.
func setUserTimeout(raw syscall.RawConn, d time.Duration) error {
	var err error
	controlErr := raw.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
	})
	if controlErr != nil {
		return controlErr
	}
	return err
}
