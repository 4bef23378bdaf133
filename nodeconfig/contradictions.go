package nodeconfig

import (
	"fmt"
	"net"
	"strconv"
	"time"
)

// Field identifies the setting that a Contradiction is about.
type Field uint8

// The settings that Contradictions checks.
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
	FieldQuotaWindow
	FieldDescriptors
)

var fieldNames = [...]string{
	"callers", "peer-ports", "memory", "grace", "lease-turn", "retry-ratio", "load-excess", "leave", "config-time", "quota-window", "descriptors",
}

// String returns the field's name for logs.
func (f Field) String() string { return fieldNames[f] }

// Contradiction describes a setting that can't be met, alone or together with
// another one.
type Contradiction struct {
	Field   Field
	Message string
}

// These constants are the requirements of an instance. The times include a margin and
// are sums of constants in controlplane, watch and actuator.
const (
	// leaveReactionTime is the time within which an instance stops sending work to a
	// draining replica: 1.2 s, at the default leave time of 2 s, until it considers the
	// lease holder's list of replicas stale, one tick, and its own read of the store.
	leaveReactionTime = 1500 * time.Millisecond
	// configReactionTime is the time within which a change of the config is in force
	// while the feed is silent: 0.5 s until an instance reads the config, one tick, two
	// reads of 0.3 s, and a margin.
	configReactionTime = 1500 * time.Millisecond
	// orderTimeout is the time after which an unanswered order counts as lost. The
	// orders of two successive lease holders must be further apart.
	orderTimeout = 300 * time.Millisecond
	// minGrace is the minimum time for a graceful stop. Callers learn of the stop
	// with their next answers, and the load balancer from two failed checks one
	// second apart.
	minGrace = 3 * time.Second
	// minMemoryBytes is the memory of an idle instance plus the heap of a busy one.
	minMemoryBytes = 48 << 20
	// minDescriptors leaves 200 for connections beside the 200 that are kept for files.
	minDescriptors = 400
)

// Contradictions returns the settings that can't be met, or nil if all can. The
// instance starts in any case; the findings are warnings. metricsPort is the port
// of the metrics listener on PeerHost.
func (n Node) Contradictions(metricsPort string) []Contradiction {
	var found []Contradiction
	add := func(contradicts bool, field Field, format string, args ...any) {
		if contradicts {
			found = append(found, Contradiction{Field: field, Message: fmt.Sprintf(format, args...)})
		}
	}
	b := n.Bounds
	add(n.Callers == n.Readiness, FieldCallers, "is the address of the readiness check too")
	for _, listener := range []string{n.Callers, n.Readiness, net.JoinHostPort(n.PeerHost, metricsPort)} {
		add(n.isPeerPort(listener), FieldPeerPorts, "hold the port of %s, which is another listener", listener)
	}
	add(n.MemoryBytes > 0 && n.MemoryBytes < minMemoryBytes, FieldMemory, "is under %d MB, which an instance takes", minMemoryBytes>>20)
	add(n.MaxDescriptors > 0 && n.MaxDescriptors < minDescriptors, FieldDescriptors, "is under %d, which an instance takes", minDescriptors)
	add(b.Grace < minGrace, FieldGrace, "is %v: a graceful stop takes %v", b.Grace, minGrace)
	add(b.LeaseTurn <= orderTimeout, FieldLeaseTurn, "is %v: an order may be on its way for %v", b.LeaseTurn, orderTimeout)
	add(b.RetryRatio <= 0 && b.RetrySlack <= 0, FieldRetryRatio, "allows no repeated send, and neither does the slack")
	add(b.LoadExcess > 0 && b.LoadExcess < 1, FieldLoadExcess, "is %v: the weight store's own rate would exceed it", b.LoadExcess)
	add(b.Leave > 0 && b.Leave < leaveReactionTime, FieldLeave, "is %v: an instance may send work to a leaving replica for %v", b.Leave, leaveReactionTime)
	add(b.ConfigTime > 0 && b.ConfigTime < configReactionTime, FieldConfigTime, "is %v: a change may take %v while a feed is silent", b.ConfigTime, configReactionTime)
	add(b.QuotaWindow <= 0 && (b.QuotaExcess > 0 || b.QuotaSlack > 0), FieldQuotaWindow, "is missing: the excess over limits of customers is counted in it")
	return found
}

// isPeerPort reports whether address is on PeerHost and in the range of peer ports.
func (n Node) isPeerPort(address string) bool {
	host, text, err := net.SplitHostPort(address)
	if err != nil || host != n.PeerHost {
		return false
	}
	port, err := strconv.Atoi(text)
	return err == nil && port >= n.FirstPeerPort && port <= n.LastPeerPort
}
