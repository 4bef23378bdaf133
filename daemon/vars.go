package daemon

import (
	"expvar"
	"sync"
	"sync/atomic"

	"github.com/hyssophaven/hyssophaven/peer"
)

// instanceVars returns the expvar map of all instances in the process. expvar cannot
// unpublish a name, so a later instance with the same ID replaces the earlier one
// inside this map.
var instanceVars = sync.OnceValue(func() *expvar.Map { return expvar.NewMap("hyssophaven") })

func publishVars(instance string, vars *expvar.Map) { instanceVars().Set(instance, vars) }

// peerVars returns the counters of the peer service as expvar variables.
func peerVars(c *peer.Counters) *expvar.Map {
	vars := new(expvar.Map).Init()
	for name, counter := range map[string]*atomic.Int64{
		"heartbeats_sent": &c.HeartbeatsSent, "heartbeats_replaced": &c.HeartbeatsReplaced,
		"heartbeats_received": &c.HeartbeatsReceived, "notices_dropped": &c.NoticesDropped,
		"bytes_sent": &c.BytesSent, "bytes_received": &c.BytesReceived,
		"connects": &c.Connects, "connect_failures": &c.ConnectFailures, "auth_failures": &c.AuthFailures,
		"malformed": &c.MalformedMessages, "connections_refused": &c.ConnectionsRefused,
	} {
		vars.Set(name, expvar.Func(func() any { return counter.Load() }))
	}
	return vars
}
