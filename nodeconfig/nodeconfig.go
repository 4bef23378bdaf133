// Package nodeconfig holds what an edge instance learns about itself and its
// surroundings when it starts. It reads no file: front ends such as package
// platform fill it in.
package nodeconfig

import (
	"net"
	"strconv"
	"time"
)

// Node describes one edge instance.
type Node struct {
	ID         string
	DataCentre string
	// Callers and Readiness are the addresses of the callers' listener and of
	// the readiness check, as host:port.
	Callers, Readiness string
	// PeerHost and the port range are free for connections between instances.
	PeerHost                    string
	FirstPeerPort, LastPeerPort int
	// Store is the address of the shared store, as host:port.
	Store string
	// MemoryBytes is the memory that the process may use; 0 if unlimited.
	MemoryBytes int64
	// Cores is the share of a core that the instance may use, and LinkMbps the rate
	// of its link in Mbit/s; 0 if unlimited.
	Cores    float64
	LinkMbps float64
	Bounds   Bounds
}

// Bounds are the times and ratios within which the deployment expects reactions.
type Bounds struct {
	// Grace is the time from the request to stop until the process is killed.
	Grace time.Duration
	// LeaseTurn is the shortest time between the orders of two lease holders.
	LeaseTurn time.Duration
	// RetryRatio and RetrySlack bound the repeated arrivals at a service in any
	// RetryWindow: ratio × requests + slack, over all instances.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// LoadWindow is the window over which loads from the weight store are counted:
	// at most its rate × LoadWindow × LoadExcess + 3 of them may begin in it.
	LoadWindow time.Duration
	LoadExcess float64
	// Leave is the time after which a leaving replica must get no new work, and
	// ConfigTime that after which a change of the config must be in force; 0 if
	// the deployment does not say.
	Leave, ConfigTime time.Duration
}

const (
	// weakCores and weakLinkMbps are what the instance that gives orders needs in
	// deployments of some hundred instances and replicas, with a margin.
	weakCores    = 0.3
	weakLinkMbps = 50
)

// Weak reports whether other instances are better suited to do what one does for all.
func (n Node) Weak() bool {
	return (n.Cores > 0 && n.Cores < weakCores) || (n.LinkMbps > 0 && n.LinkMbps < weakLinkMbps)
}

// PeerAddress is the address on which an instance listens for others.
func (n Node) PeerAddress() string {
	return net.JoinHostPort(n.PeerHost, strconv.Itoa(n.FirstPeerPort))
}
