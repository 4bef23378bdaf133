//go:build linux

package integration

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"unsafe"

	"golang.org/x/sys/unix"
)

// resetConnections resets a share of the TCP connections of a process, whatever is under way
// on them, and returns their number. Both ends of a connection see the reset.
func resetConnections(p *process, share float64, rng *rand.Rand) (int, error) {
	pid := p.cmd.Process.Pid
	pidfd, err := unix.PidfdOpen(pid, 0)
	if err != nil {
		return 0, fmt.Errorf("open process %d: %w", pid, err)
	}
	defer func() { _ = unix.Close(pidfd) }()
	dir := filepath.Join("/proc", strconv.Itoa(pid), "fd")
	entries, err := os.ReadDir(dir)
	if err != nil {
		return 0, err
	}
	reset := 0
	for _, e := range entries {
		target, err := os.Readlink(filepath.Join(dir, e.Name()))
		if err != nil || !strings.HasPrefix(target, "socket:") {
			continue // closed meanwhile, or no socket
		}
		number, err := strconv.Atoi(e.Name())
		if err != nil {
			return reset, err
		}
		fd, err := unix.PidfdGetfd(pidfd, number, 0)
		if errors.Is(err, unix.EBADF) {
			continue
		}
		if err != nil {
			return reset, fmt.Errorf("copy descriptor %d of process %d: %w", number, pid, err)
		}
		if isConnection(fd) && rng.Float64() < share {
			reset++
			err = abort(fd)
		}
		_ = unix.Close(fd)
		if err != nil {
			return reset, fmt.Errorf("reset descriptor %d of process %d: %w", number, pid, err)
		}
	}
	return reset, nil
}

// isConnection reports whether a socket is a TCP connection.
func isConnection(fd int) bool {
	protocol, err := unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_PROTOCOL)
	if err != nil || protocol != unix.IPPROTO_TCP {
		return false
	}
	_, err = unix.Getpeername(fd)
	return err == nil
}

// abort dissolves the association of a connection, for which the kernel sends a reset.
func abort(fd int) error {
	unspecified := unix.RawSockaddr{Family: unix.AF_UNSPEC}
	_, _, errno := unix.Syscall(unix.SYS_CONNECT, uintptr(fd), uintptr(unsafe.Pointer(&unspecified)), unsafe.Sizeof(unspecified))
	if errno != 0 {
		return errno
	}
	return nil
}
