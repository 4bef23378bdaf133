// Package nodeconfig defines the settings that an edge instance receives when it
// starts: its addresses, its resources and the bounds that the deployment sets. It
// also checks them for values that cannot be met. It reads no file: front ends such
// as package platform fill in the Node.
package nodeconfig

import (
	"net"
	"strconv"
	"time"
)

// Node holds the start-up settings of one edge instance.
type Node struct {
	ID         string
	DataCentre string
	// Callers and Readiness are the listen addresses for callers and for readiness
	// checks, as host:port.
	Callers, Readiness string
	// PeerHost and the range of ports, both ends included, are reserved for
	// connections between instances.
	PeerHost                    string
	FirstPeerPort, LastPeerPort int
	// FirstStart is true if the whole deployment starts for the first time, so that
	// no instance can have acquired the order lease before.
	FirstStart bool
	// Store is the address of the shared store, as host:port.
	Store string
	// ReplicaLease is the time after which the store drops the entry of a replica that
	// no longer writes it; 0 if unknown.
	ReplicaLease time.Duration
	// MemoryBytes is the memory limit of the process; 0 if unlimited.
	MemoryBytes int64
	// MaxDescriptors is the limit of file descriptors of the process; 0 if unlimited.
	MaxDescriptors int
	// Cores is the limit of processor time in cores, and LinkMbps the rate of the
	// network link in Mbit/s; 0 if unlimited.
	Cores    float64
	LinkMbps float64
	Bounds   Bounds
}

// Bounds holds the limits that the deployment sets on reaction times, retries and
// loads from the weight store.
type Bounds struct {
	// Grace is the time from the stop signal until the process is killed.
	Grace time.Duration
	// LeaseTurn is the minimum time between the last order of one holder of the
	// order lease and the first order of the next.
	LeaseTurn time.Duration
	// RetryRatio and RetrySlack limit the retries that arrive at a service in any
	// RetryWindow, over all instances, to RetryRatio × requests + RetrySlack.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// LoadWindow is the window in which loads from the weight store are counted. At
	// most the store's rate × LoadWindow × LoadExcess + 3 loads may begin in it.
	LoadWindow time.Duration
	LoadExcess float64
	// Leave is the time after which a draining replica must get no new work, and
	// ConfigTime is the time after which a change of the config must be in force.
	// Both are 0 if the deployment sets no bound.
	Leave, ConfigTime time.Duration
	// In any QuotaWindow, over all instances, at most (rate × QuotaWindow + burst) ×
	// (1 + QuotaExcess) + QuotaSlack tokens of a customer's limit may be used.
	QuotaWindow             time.Duration
	QuotaExcess, QuotaSlack float64
}

const (
	// minLeaderCores and minLeaderLinkMbps are the resources that the holder of the
	// order lease needs in a deployment of some hundred instances and replicas, with
	// a margin.
	minLeaderCores    = 0.3
	minLeaderLinkMbps = 50
)

// AvoidLease reports whether the instance has too few resources to be a good holder of
// the order lease.
func (n Node) AvoidLease() bool {
	return (n.Cores > 0 && n.Cores < minLeaderCores) || (n.LinkMbps > 0 && n.LinkMbps < minLeaderLinkMbps)
}

// PeerAddress returns the address on which the instance listens for its peers.
func (n Node) PeerAddress() string {
	return net.JoinHostPort(n.PeerHost, strconv.Itoa(n.FirstPeerPort))
}
