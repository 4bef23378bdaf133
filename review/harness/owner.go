package main

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
)

// ownsChannel reports whether the process of the instance holds the far end of a channel
// that a stand-in has accepted.
func (i *instance) ownsChannel(accepted net.Conn) bool {
	peer, ok := accepted.RemoteAddr().(*net.TCPAddr)
	if !ok || i.cmd == nil {
		return false
	}
	local := accepted.LocalAddr().(*net.TCPAddr)
	inode := socketInode(peer.Port, local.Port)
	if inode == "" {
		return false
	}
	fds, _ := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", i.cmd.Process.Pid))
	for _, fd := range fds {
		if target, err := os.Readlink(fd); err == nil && target == "socket:["+inode+"]" {
			return true
		}
	}
	return false
}

// socketInode returns the inode of the TCP socket with the given ports, or "".
func socketInode(localPort, remotePort int) string {
	data, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return ""
	}
	for _, line := range strings.Split(string(data), "\n") {
		f := strings.Fields(line)
		if len(f) > 9 && strings.HasSuffix(f[1], fmt.Sprintf(":%04X", localPort)) && strings.HasSuffix(f[2], fmt.Sprintf(":%04X", remotePort)) {
			return f[9]
		}
	}
	return ""
}
