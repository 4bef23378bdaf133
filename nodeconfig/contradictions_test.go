package nodeconfig

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// validNode returns settings without contradictions.
func validNode() Node {
	return Node{
		ID: "n", Callers: "10.0.0.1:8000", Readiness: "10.0.0.1:8001", PeerHost: "10.0.0.1", FirstPeerPort: 7380, LastPeerPort: 7395, MemoryBytes: 284 << 20,
		Bounds: Bounds{
			Grace: 8 * time.Second, LeaseTurn: 3 * time.Second, RetryRatio: 0.2, RetrySlack: 52, RetryWindow: 10 * time.Second,
			LoadWindow: 5 * time.Second, LoadExcess: 1.1, Leave: 2 * time.Second, ConfigTime: 2 * time.Second,
		},
	}
}

// Guards against settings that can't be met but are accepted without a finding,
// and against findings on the settings of current deployments.
func TestContradictions(t *testing.T) {
	is := is.New(t)
	is.Equal(len(validNode().Contradictions("9464")), 0)
	for _, c := range []struct {
		field  Field
		change func(*Node)
	}{
		{FieldCallers, func(n *Node) { n.Readiness = n.Callers }},
		{FieldPeerPorts, func(n *Node) { n.Callers = "10.0.0.1:7390" }},
		{FieldPeerPorts, func(n *Node) { n.LastPeerPort = 9500 }}, // the range includes 8000, 8001 and the metrics port
		{FieldMemory, func(n *Node) { n.MemoryBytes = 1 << 20 }},
		{FieldDescriptors, func(n *Node) { n.MaxDescriptors = 300 }},
		{FieldGrace, func(n *Node) { n.Bounds.Grace = time.Second }},
		{FieldLeaseTurn, func(n *Node) { n.Bounds.LeaseTurn = 100 * time.Millisecond }},
		{FieldRetryRatio, func(n *Node) { n.Bounds.RetryRatio, n.Bounds.RetrySlack = 0, 0 }},
		{FieldLoadExcess, func(n *Node) { n.Bounds.LoadExcess = 0.5 }},
		{FieldLeave, func(n *Node) { n.Bounds.Leave = time.Second }},
		{FieldConfigTime, func(n *Node) { n.Bounds.ConfigTime = time.Second }},
		{FieldQuotaWindow, func(n *Node) { n.Bounds.QuotaSlack = 17_000 }},
	} {
		n := validNode()
		c.change(&n)
		found := n.Contradictions("9464")
		is.True(len(found) > 0)
		is.Equal(found[0].Field, c.field)
	}
}
