// Package fleet defines the identity types that packages share: instances of
// hyssophaven, their endpoints, data centres, ranks and fencing tokens. It decides
// nothing, owns no state and does no I/O.
//
// Package catalog, its counterpart in the `edge` program, also declares models,
// routes and services; in the `serve` program those are rows of package table.
package fleet

import (
	"cmp"
	"fmt"
)

// InstanceID identifies a hyssophaven instance, as in the platform's instance list.
type InstanceID string

// Incarnation distinguishes successive processes of one instance. It increases
// with every start.
type Incarnation uint64

// EndpointID identifies an endpoint: a replica of a model engine or of a plain service.
type EndpointID string

// DataCentre is the name of a data centre, such as "kul-a".
type DataCentre string

// Rank orders work by urgency; a lower value is more urgent.
type Rank uint8

// The ranks, most urgent first.
const (
	Urgent Rank = iota
	Prompt
	Patient
	// RankCount is the number of ranks and the length of per-rank arrays.
	RankCount = 3
)

var rankNames = [RankCount]string{"urgent", "prompt", "patient"}

// String returns the rank's name as written in the table.
func (r Rank) String() string {
	if int(r) < len(rankNames) {
		return rankNames[r]
	}
	return fmt.Sprintf("rank(%d)", uint8(r))
}

// ParseRank returns the rank with the given name.
func ParseRank(name string) (Rank, error) {
	for i, n := range rankNames {
		if n == name {
			return Rank(i), nil
		}
	}
	return 0, fmt.Errorf("unknown rank %q: want urgent, prompt or patient", name)
}

// Ranks returns all ranks, most urgent first.
func Ranks() [RankCount]Rank { return [RankCount]Rank{Urgent, Prompt, Patient} }

// Token is the fencing token of an order. Epoch is the epoch of the lease under
// which the order was issued; Sequence increases with every order to the same
// endpoint.
type Token struct {
	Epoch    uint64
	Sequence uint64
}

// Compare returns -1 if t is older than u, 0 if they are equal and +1 if t is newer.
func (t Token) Compare(u Token) int {
	if c := cmp.Compare(t.Epoch, u.Epoch); c != 0 {
		return c
	}
	return cmp.Compare(t.Sequence, u.Sequence)
}

// Less reports whether t is older than u.
func (t Token) Less(u Token) bool { return t.Compare(u) < 0 }

// Instance describes a hyssophaven process to its peers.
type Instance struct {
	ID              InstanceID
	Incarnation     Incarnation
	DataCentre      DataCentre
	PeerAddress     string // host:port of the peer listener
	CallerAddress   string // host:port of the caller listener
	OperatorAddress string // host:port of the operator listener
}

// EndpointKind is the kind of an endpoint: a model engine or a plain service.
type EndpointKind uint8

// The kinds of endpoint.
const (
	ModelEngine EndpointKind = iota
	PlainService
)

// Endpoint describes a model engine or plain service, as in the platform's
// instance list.
type Endpoint struct {
	ID         EndpointID
	Kind       EndpointKind
	Pool       string // model pool or service name, such as "language-models" or "booking"
	DataCentre DataCentre
	Address    string // host:port
	Leaving    bool   // the endpoint must get no new work
	// ChecksTokens is true if the engine rejects orders with an old fencing token.
	ChecksTokens bool
	MemoryMB     int // accelerator memory; 0 for plain services
	Slots        int // requests the endpoint runs concurrently at full speed
}
