package memorybudget

// fileDescriptors is the number of descriptors that are kept for files.
const fileDescriptors = 200

// Shares are the numbers of connections that the parts of an instance can have. The rest
// is for the connections to replicas that are in use, at most one for each of the
// callers', and to the store. 0 means no limit.
type Shares struct {
	Callers      int
	IdleReplicas int // idle connections to replicas
	Peers        int // connections from other instances
	Checks       int // connections for readiness checks, and as many for metrics
}

// SharesOf divides the descriptors of a process; 0 if they are not limited. However many
// callers connect, the shares of the others stay free.
func SharesOf(maxDescriptors int) Shares {
	if maxDescriptors <= 0 {
		return Shares{}
	}
	sockets := max(maxDescriptors-fileDescriptors, maxDescriptors/2)
	return Shares{
		Callers: max(sockets*5/16, 1), IdleReplicas: max(sockets/16, 1), Peers: max(sockets/4, 1), Checks: max(sockets/32, 2),
	}
}
