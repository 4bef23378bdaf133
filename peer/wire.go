package peer

import (
	"time"

	"github.com/hyssophaven/hyssophaven/fleet"
	"github.com/hyssophaven/hyssophaven/lease"
	"github.com/hyssophaven/hyssophaven/quarantine"
)

// A heartbeat is sent as the difference to the one before on the same
// connection, which is reliable and ordered; a new connection starts from
// nothing. Names are sent once per connection and referred to by their index
// afterwards. Rows and reports are lists of integers. Fields that did not
// change are left out.

// wireHeartbeat is the params of method heartbeat; compact.go has its form.
type wireHeartbeat struct {
	Names     []string        `cbor:"1,keyasint,omitempty"` // new names, in order of their indexes
	Sequence  uint64          `cbor:"2,keyasint,omitempty"` // 0: one more than before
	Revision  uint64          `cbor:"3,keyasint,omitempty"` // 0: unchanged
	Age       *int64          `cbor:"4,keyasint,omitempty"` // table age in seconds, rounded up
	Leaving   bool            `cbor:"5,keyasint,omitempty"` // stays set on a connection
	Leases    *[]wireLease    `cbor:"6,keyasint,omitempty"`
	Wanted    *int64          `cbor:"7,keyasint,omitempty"`
	Retries   *[2]int64       `cbor:"8,keyasint,omitempty"`
	Suspects  *[]wireNotice   `cbor:"9,keyasint,omitempty"`
	Summaries []wireSummary   `cbor:"10,keyasint,omitempty"`
	Load      wireLoadChanges `cbor:"11,keyasint,omitempty"`
}

// wireLoadChanges are the changed rows and reports.
type wireLoadChanges struct {
	// Demand has [row] for a row without demand, or [row, rate in 1/10 per
	// second, queued, in flight, 1/10 slots] with zeros at the end left out.
	Demand [][]int64 `cbor:"1,keyasint,omitempty"`
	// Reports has [endpoint] for one that is not reported any more, [endpoint,
	// age] for a new report of the same load, or [endpoint, age, running,
	// waiting], which slots and leaving follow if they changed. Ages are in
	// 1/10 s.
	Reports [][]int64 `cbor:"2,keyasint,omitempty"`
	Boots   [][]int64 `cbor:"3,keyasint,omitempty"` // [endpoint, boot id]
	// Residents has [endpoint, name, version, ready, name, version, ready, ...].
	Residents [][]int64 `cbor:"4,keyasint,omitempty"`
	// InFlight has [endpoint] for one without requests of the sender, or
	// [endpoint, urgent, prompt, patient].
	InFlight [][]int64 `cbor:"5,keyasint,omitempty"`
}

type wireLease struct {
	Shard string `json:"s"`
	Epoch uint64 `json:"e"`
}

// wireSummary is a change of the summary of one data centre.
type wireSummary struct {
	DataCentre  int64           `cbor:"1,keyasint,omitempty"`
	Relay       int64           `cbor:"2,keyasint,omitempty"`
	Incarnation uint64          `cbor:"3,keyasint,omitempty"`
	Sequence    uint64          `cbor:"4,keyasint,omitempty"`
	Revision    uint64          `cbor:"5,keyasint,omitempty"`
	Members     []wireDigest    `cbor:"6,keyasint,omitempty"` // new or changed
	Gone        []int64         `cbor:"7,keyasint,omitempty"`
	Wanted      int64           `cbor:"8,keyasint,omitempty"`
	Retries     [2]int64        `cbor:"9,keyasint,omitempty"`
	Load        wireLoadChanges `cbor:"10,keyasint,omitempty"`
}

type wireDigest struct {
	Member     wireInstance `json:"i"`
	Leaving    bool         `json:"l,omitempty"`
	Suspect    bool         `json:"s,omitempty"`
	StoreStale bool         `json:"o,omitempty"`
	Leases     []wireLease  `json:"e,omitempty"`
}

type wireInstance struct {
	ID          string `json:"i"`
	Incarnation uint64 `json:"n"`
	DataCentre  string `json:"d"`
	Peer        string `json:"p"`
	Caller      string `json:"c,omitempty"`
	Operator    string `json:"o,omitempty"`
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
		PeerAddress: w.Peer, CallerAddress: w.Caller, OperatorAddress: w.Operator,
	}
}

func leasesToWire(held []lease.Held) []wireLease {
	out := make([]wireLease, len(held))
	for i, h := range held {
		out[i] = wireLease{string(h.Shard), h.Epoch}
	}
	return out
}

func leasesFromWire(w []wireLease) []lease.Held {
	var out []lease.Held
	for _, l := range w {
		out = append(out, lease.Held{Shard: lease.Shard(l.Shard), Epoch: l.Epoch})
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
			Until: unixSeconds(n.Until), Since: unixSeconds(n.Since), InFlight: n.InFlight,
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
			Until: fromUnixSeconds(w.Until), Since: fromUnixSeconds(w.Since), InFlight: w.InFlight,
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

func unixSeconds(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.Unix()
}

func fromUnixSeconds(s int64) time.Time {
	if s == 0 {
		return time.Time{}
	}
	return time.Unix(s, 0)
}
