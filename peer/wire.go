package peer

import (
	"time"

	"github.com/hyssophaven/hyssophaven/fleet"
	"github.com/hyssophaven/hyssophaven/lease"
	"github.com/hyssophaven/hyssophaven/quarantine"
)

// A heartbeat is encoded as the difference from the previous heartbeat on the same
// connection, which is reliable and ordered. The first one on a connection is the
// difference from an empty heartbeat. Each name is sent once per connection and
// referred to by its index afterwards. The changes of the load are lists of
// integers. Unchanged fields are omitted.

// wireHeartbeat is the params of the heartbeat method. Its MarshalJSON defines
// the encoding.
type wireHeartbeat struct {
	Names         []string        `cbor:"1,keyasint,omitempty"` // new names; the first has the next unused index
	Sequence      uint64          `cbor:"2,keyasint,omitempty"` // 0: previous sequence plus 1
	TableRevision uint64          `cbor:"3,keyasint,omitempty"` // 0: unchanged
	TableAge      *int64          `cbor:"4,keyasint,omitempty"` // table age in seconds, rounded up
	Leaving       bool            `cbor:"5,keyasint,omitempty"` // once true, true for the rest of the connection
	Leases        *[]wireLease    `cbor:"6,keyasint,omitempty"`
	WantedLoads   *int64          `cbor:"7,keyasint,omitempty"`
	Retries       *[2]int64       `cbor:"8,keyasint,omitempty"`
	Suspects      *[]wireNotice   `cbor:"9,keyasint,omitempty"`
	Summaries     []wireSummary   `cbor:"10,keyasint,omitempty"`
	Load          wireLoadChanges `cbor:"11,keyasint,omitempty"`
}

// wireLoadChanges holds the entries that changed. Rows, endpoints, boot IDs,
// residents and versions are given as name indexes.
type wireLoadChanges struct {
	// Demand contains [row] for a row that no longer has demand, or [row,
	// arrival rate in 1/10 per second, queued, in flight, slots in 1/10] without
	// trailing zeros.
	Demand [][]int64 `cbor:"1,keyasint,omitempty"`
	// Reports contains [endpoint] for an endpoint that is no longer reported,
	// [endpoint, age] if only the age changed, [endpoint, age, running, waiting]
	// if the load changed, or [endpoint, age, running, waiting, slots, leaving]
	// if the endpoint is new or its slots or leaving changed. Ages are in 1/10 s.
	Reports [][]int64 `cbor:"2,keyasint,omitempty"`
	BootIDs [][]int64 `cbor:"3,keyasint,omitempty"` // [endpoint, boot ID]
	// Residents contains [endpoint, name, version, ready, name, version, ready, ...].
	Residents [][]int64 `cbor:"4,keyasint,omitempty"`
	// InFlight contains [endpoint] for an endpoint on which the sender no longer
	// has requests in flight, or [endpoint, urgent, prompt, patient] with their
	// number by rank.
	InFlight [][]int64 `cbor:"5,keyasint,omitempty"`
}

type wireLease struct {
	Shard string `json:"s"`
	Epoch uint64 `json:"e"`
}

// wireSummary is the difference from the previous summary of a data centre. Load
// and members are differences; the other fields are complete. Names are given as
// indexes.
type wireSummary struct {
	DataCentre     int64               `cbor:"1,keyasint,omitempty"`
	Relay          int64               `cbor:"2,keyasint,omitempty"`
	Incarnation    uint64              `cbor:"3,keyasint,omitempty"`
	Sequence       uint64              `cbor:"4,keyasint,omitempty"`
	TableRevision  uint64              `cbor:"5,keyasint,omitempty"`
	Members        []wireMemberSummary `cbor:"6,keyasint,omitempty"` // new or changed members
	RemovedMembers []int64             `cbor:"7,keyasint,omitempty"`
	WantedLoads    int64               `cbor:"8,keyasint,omitempty"`
	Retries        [2]int64            `cbor:"9,keyasint,omitempty"`
	Load           wireLoadChanges     `cbor:"10,keyasint,omitempty"`
}

type wireMemberSummary struct {
	Member     wireInstance `json:"i"`
	Leaving    bool         `json:"l,omitempty"`
	Suspect    bool         `json:"s,omitempty"`
	StoreStale bool         `json:"o,omitempty"`
	Leases     []wireLease  `json:"e,omitempty"`
}

type wireInstance struct {
	ID              string `json:"i"`
	Incarnation     uint64 `json:"n"`
	DataCentre      string `json:"d"`
	PeerAddress     string `json:"p"`
	CallerAddress   string `json:"c,omitempty"`
	OperatorAddress string `json:"o,omitempty"`
}

type wireNotice struct {
	Fingerprint uint64     `json:"f"`
	Losses      []wireLoss `json:"l,omitempty"`
	Cleared     []wireLoss `json:"c,omitempty"`
	Until       int64      `json:"u,omitempty"` // seconds since 1970
	Since       int64      `json:"s,omitempty"` // seconds since 1970
	Trial       *wireTrial `json:"t,omitempty"`
	InFlight    int        `json:"r,omitempty"`
}

type wireLoss struct {
	Endpoint string `json:"e"`
	BootID   string `json:"b,omitempty"`
	Attempt  uint64 `json:"a,omitempty"`
}

type wireTrial struct {
	Holder      string `json:"h"`
	Incarnation uint64 `json:"n"`
	Attempt     uint64 `json:"a"`
	Endpoint    string `json:"e"`
	BootID      string `json:"b,omitempty"`
	Running     bool   `json:"r,omitempty"`
}

func instanceToWire(i fleet.Instance) wireInstance {
	return wireInstance{string(i.ID), uint64(i.Incarnation), string(i.DataCentre), i.PeerAddress, i.CallerAddress, i.OperatorAddress}
}

func instanceFromWire(w wireInstance) fleet.Instance {
	return fleet.Instance{
		ID: fleet.InstanceID(w.ID), Incarnation: fleet.Incarnation(w.Incarnation), DataCentre: fleet.DataCentre(w.DataCentre),
		PeerAddress: w.PeerAddress, CallerAddress: w.CallerAddress, OperatorAddress: w.OperatorAddress,
	}
}

func leasesToWire(held []lease.HeldShard) []wireLease {
	out := make([]wireLease, len(held))
	for i, h := range held {
		out[i] = wireLease{string(h.Shard), h.Epoch}
	}
	return out
}

func leasesFromWire(w []wireLease) []lease.HeldShard {
	var out []lease.HeldShard
	for _, l := range w {
		out = append(out, lease.HeldShard{Shard: lease.Shard(l.Shard), Epoch: l.Epoch})
	}
	return out
}

func lossesToWire(losses []quarantine.Loss) []wireLoss {
	var out []wireLoss
	for _, l := range losses {
		out = append(out, wireLoss{string(l.Endpoint), l.BootID, l.Attempt})
	}
	return out
}

func lossesFromWire(w []wireLoss) []quarantine.Loss {
	var out []quarantine.Loss
	for _, l := range w {
		out = append(out, quarantine.Loss{Endpoint: fleet.EndpointID(l.Endpoint), BootID: l.BootID, Attempt: l.Attempt})
	}
	return out
}

func noticesToWire(notices []quarantine.Notice) []wireNotice {
	out := make([]wireNotice, len(notices))
	for i, n := range notices {
		w := wireNotice{
			Fingerprint: uint64(n.Fingerprint), Losses: lossesToWire(n.Losses), Cleared: lossesToWire(n.Cleared),
			Until: unixSeconds(n.Until), Since: unixSeconds(n.LastUsed), InFlight: n.InFlight,
		}
		if t := n.Trial; t != nil {
			w.Trial = &wireTrial{string(t.Holder), uint64(t.Incarnation), t.Attempt, string(t.Endpoint), t.BootID, t.Running}
		}
		out[i] = w
	}
	return out
}

func noticesFromWire(ws []wireNotice) []quarantine.Notice {
	var out []quarantine.Notice
	for _, w := range ws {
		n := quarantine.Notice{
			Fingerprint: quarantine.Fingerprint(w.Fingerprint), Losses: lossesFromWire(w.Losses), Cleared: lossesFromWire(w.Cleared),
			Until: fromUnixSeconds(w.Until), LastUsed: fromUnixSeconds(w.Since), InFlight: w.InFlight,
		}
		if t := w.Trial; t != nil {
			n.Trial = &quarantine.Trial{
				Holder: fleet.InstanceID(t.Holder), Incarnation: fleet.Incarnation(t.Incarnation), Attempt: t.Attempt,
				Endpoint: fleet.EndpointID(t.Endpoint), BootID: t.BootID, Running: t.Running,
			}
		}
		out = append(out, n)
	}
	return out
}

// unixSeconds returns t in seconds since 1970, or 0 for the zero time.
func unixSeconds(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.Unix()
}

// fromUnixSeconds is the inverse of unixSeconds.
func fromUnixSeconds(s int64) time.Time {
	if s == 0 {
		return time.Time{}
	}
	return time.Unix(s, 0)
}
