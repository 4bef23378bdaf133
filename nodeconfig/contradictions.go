package nodeconfig

import (
	"fmt"
	"net"
	"strconv"
	"time"
)

// Field names a field of a Node in a contradiction.
type Field uint8

// The fields that can contradict others.
const (
	FieldCallers Field = iota
	FieldPeerPorts
	FieldMemory
	FieldGrace
	FieldLeaseTurn
	FieldRetryRatio
	FieldLoadExcess
	FieldLeave
	FieldConfigTime
)

var fieldNames = [...]string{
	"callers", "peer-ports", "memory", "grace", "lease-turn", "retry-ratio", "load-excess", "leave", "config-time",
}

// String returns the field's name for logs.
func (f Field) String() string { return fieldNames[f] }

// Contradiction is a field whose value can't be met, or not together with another.
type Contradiction struct {
	Field   Field
	Message string
}

// Times within which an instance reacts, with a margin. The constants that they
// add up are in controlplane, watch and actuator.
const (
	// leaveTime is the time in which an instance leaves a leaving replica alone:
	// 1.2 s until it doubts the holder's list, a tick, and its own read.
	leaveTime = 1500 * time.Millisecond
	// configTime is the time in which a change of the config is in force although
	// the feed is silent: two states of peers, 0.3 s of doubt and a read.
	configTime = 1500 * time.Millisecond
	// orderTime is the time after which an order counts as lost. Two holders of
	// the order lease must be further apart.
	orderTime = 300 * time.Millisecond
	// drainTime is the least time for a graceful stop: callers hear of it with
	// their next answers, and the balancer after two looks a second apart.
	drainTime = 3 * time.Second
	// leastMemory is what an idle instance takes, with the heap of a busy one.
	leastMemory = 48 << 20
)

// Contradictions returns what can't be met, nil if there is nothing. An instance
// serves nevertheless, as well as it can.
func (n Node) Contradictions(metricsPort string) []Contradiction {
	var out []Contradiction
	add := func(when bool, field Field, format string, args ...any) {
		if when {
			out = append(out, Contradiction{Field: field, Message: fmt.Sprintf(format, args...)})
		}
	}
	b := n.Bounds
	add(n.Callers == n.Readiness, FieldCallers, "is the address of the readiness check too")
	for _, listener := range []string{n.Callers, n.Readiness, net.JoinHostPort(n.PeerHost, metricsPort)} {
		add(n.isPeerPort(listener), FieldPeerPorts, "hold the port of %s, which is another listener", listener)
	}
	add(n.MemoryBytes > 0 && n.MemoryBytes < leastMemory, FieldMemory, "is under %d MB, which an instance takes", leastMemory>>20)
	add(b.Grace < drainTime, FieldGrace, "is %v: a graceful stop takes %v", b.Grace, drainTime)
	add(b.LeaseTurn <= orderTime, FieldLeaseTurn, "is %v: an order may be on its way for %v", b.LeaseTurn, orderTime)
	add(b.RetryRatio <= 0 && b.RetrySlack <= 0, FieldRetryRatio, "allows no repeated send, and neither does the slack")
	add(b.LoadExcess > 0 && b.LoadExcess < 1, FieldLoadExcess, "is %v: the weight store's own rate would exceed it", b.LoadExcess)
	add(b.Leave > 0 && b.Leave < leaveTime, FieldLeave, "is %v: an instance may send work to a leaving replica for %v", b.Leave, leaveTime)
	add(b.ConfigTime > 0 && b.ConfigTime < configTime, FieldConfigTime, "is %v: a change may take %v while a feed is silent", b.ConfigTime, configTime)
	return out
}

// isPeerPort reports whether an address of this host lies among the peers' ports.
func (n Node) isPeerPort(address string) bool {
	host, text, err := net.SplitHostPort(address)
	if err != nil || host != n.PeerHost {
		return false
	}
	port, err := strconv.Atoi(text)
	return err == nil && port >= n.FirstPeerPort && port <= n.LastPeerPort
}
