// Package backinghttp implements the interfaces of package backing, and that of
// the weight store, over HTTP with JSON bodies. Client is the client side, and
// NewHandler returns the server side.
//
// Every refusal has a JSON body with an error code. The outcome of a write
// is unknown if its answer is lost, late or malformed. Only an explicit answer,
// or a failure to connect, proves that nothing was written.
package backinghttp

import (
	"fmt"
	"slices"
	"strings"

	"github.com/hyssophaven/hyssophaven/backing"
	"github.com/hyssophaven/hyssophaven/backing/version"
	"github.com/hyssophaven/hyssophaven/fleet"
)

// Paths of the protocol.
const (
	pathRead    = "/table/read"
	pathCommit  = "/table/commit"
	pathObject  = "/objects"
	pathNames   = "/objects/names"
	pathListing = "/listing"
	pathPermits = "/weights/permits"
)

// headerEra is the header with the era of the table service in each of its answers.
// It is absent in the first era, which is 0.
const headerEra = "Table-Era"

// eraBits is the size of an era in a version (see package version).
const eraBits = 16

// Error codes of the protocol.
const (
	codeConflict    = "conflict"
	codeUnavailable = "unavailable"
	codeNotFound    = "not_found"
)

// maxBodyBytes limits request and answer bodies. The largest body is the object
// with the table snapshot; 100,000 rows of 500 bytes fit.
const maxBodyBytes = 64 << 20

type queryMessage struct {
	Keys   []string `json:"keys,omitempty"`
	Prefix string   `json:"prefix,omitempty"`
}

type recordMessage struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Version uint64 `json:"version"` // counter within the era of the answer
}

type recordsMessage struct {
	Records []recordMessage `json:"records"`
}

type conditionMessage struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
	Era     uint64 `json:"era,omitempty"`
}

type writeMessage struct {
	Key    string `json:"key"`
	Value  []byte `json:"value,omitempty"`
	Delete bool   `json:"delete,omitempty"`
}

type txnMessage struct {
	Conditions []conditionMessage `json:"conditions,omitempty"`
	Writes     []writeMessage     `json:"writes,omitempty"`
}

type versionsMessage struct {
	Versions []uint64 `json:"versions"`
}

type namesMessage struct {
	Names []string `json:"names"`
}

// InstanceMessage is the JSON form of a backing.ListedInstance.
type InstanceMessage struct {
	ID          string `json:"id"`
	DataCentre  string `json:"data_centre"`
	PeerAddress string `json:"peer_address"`
	Leaving     bool   `json:"leaving,omitempty"`
}

// EndpointMessage is the JSON form of a fleet.Endpoint.
type EndpointMessage struct {
	ID           string `json:"id"`
	Kind         string `json:"kind"` // "engine" or "service"
	Pool         string `json:"pool"`
	DataCentre   string `json:"data_centre"`
	Address      string `json:"address"`
	Leaving      bool   `json:"leaving,omitempty"`
	ChecksTokens bool   `json:"checks_tokens,omitempty"`
	MemoryMB     int    `json:"memory_mb,omitempty"`
	Slots        int    `json:"slots,omitempty"`
}

type listingMessage struct {
	Instances []InstanceMessage `json:"instances"`
	Endpoints []EndpointMessage `json:"endpoints"`
}

// Instance converts m to a backing.ListedInstance.
func (m InstanceMessage) Instance() (backing.ListedInstance, error) {
	if m.ID == "" {
		return backing.ListedInstance{}, fmt.Errorf("listed instance without id")
	}
	return backing.ListedInstance{
		ID: fleet.InstanceID(m.ID), DataCentre: fleet.DataCentre(m.DataCentre),
		PeerAddress: m.PeerAddress, Leaving: m.Leaving,
	}, nil
}

// NewInstanceMessage returns the JSON form of i.
func NewInstanceMessage(i backing.ListedInstance) InstanceMessage {
	return InstanceMessage{ID: string(i.ID), DataCentre: string(i.DataCentre), PeerAddress: i.PeerAddress, Leaving: i.Leaving}
}

// Endpoint converts m to a fleet.Endpoint.
func (m EndpointMessage) Endpoint() (fleet.Endpoint, error) {
	e := fleet.Endpoint{
		ID: fleet.EndpointID(m.ID), Pool: m.Pool, DataCentre: fleet.DataCentre(m.DataCentre), Address: m.Address,
		Leaving: m.Leaving, ChecksTokens: m.ChecksTokens, MemoryMB: m.MemoryMB, Slots: m.Slots,
	}
	switch m.Kind {
	case "engine":
		e.Kind = fleet.ModelEngine
	case "service":
		e.Kind = fleet.PlainService
	default:
		return fleet.Endpoint{}, fmt.Errorf("listed endpoint %q has unknown kind %q", m.ID, m.Kind)
	}
	if m.ID == "" || m.Address == "" {
		return fleet.Endpoint{}, fmt.Errorf("listed endpoint %q without id or address", m.ID)
	}
	if m.MemoryMB < 0 || m.Slots < 0 {
		return fleet.Endpoint{}, fmt.Errorf("listed endpoint %q has negative memory or slots", m.ID)
	}
	return e, nil
}

// NewEndpointMessage returns the JSON form of e.
func NewEndpointMessage(e fleet.Endpoint) EndpointMessage {
	kind := "engine"
	if e.Kind == fleet.PlainService {
		kind = "service"
	}
	return EndpointMessage{
		ID: string(e.ID), Kind: kind, Pool: e.Pool, DataCentre: string(e.DataCentre), Address: e.Address,
		Leaving: e.Leaving, ChecksTokens: e.ChecksTokens, MemoryMB: e.MemoryMB, Slots: e.Slots,
	}
}

// records converts the answer to q, which has the given era. It rejects the whole
// answer if q did not select one of the records or the records are out of order.
func (m recordsMessage) records(q backing.Query, era uint64) ([]backing.Record, error) {
	out := make([]backing.Record, len(m.Records))
	for i, r := range m.Records {
		switch {
		case r.Version == 0:
			return nil, fmt.Errorf("record %q has version 0", r.Key)
		case i > 0 && r.Key <= m.Records[i-1].Key:
			return nil, fmt.Errorf("record %q is out of order", r.Key)
		case !slices.Contains(q.Keys, r.Key) && (q.Prefix == "" || !strings.HasPrefix(r.Key, q.Prefix)):
			return nil, fmt.Errorf("record %q was not asked for", r.Key)
		}
		out[i] = backing.Record{Key: r.Key, Value: r.Value, Version: version.New(era, r.Version)}
	}
	return out, nil
}

func (m listingMessage) listing() (backing.Listing, error) {
	l := backing.Listing{
		Instances: make([]backing.ListedInstance, len(m.Instances)),
		Endpoints: make([]fleet.Endpoint, len(m.Endpoints)),
	}
	var err error
	for i, in := range m.Instances {
		if l.Instances[i], err = in.Instance(); err != nil {
			return backing.Listing{}, err
		}
	}
	for i, e := range m.Endpoints {
		if l.Endpoints[i], err = e.Endpoint(); err != nil {
			return backing.Listing{}, err
		}
	}
	return l, nil
}

func (m txnMessage) txn() backing.Txn {
	var t backing.Txn
	for _, c := range m.Conditions {
		t.Conditions = append(t.Conditions, backing.Condition{Key: c.Key, Version: version.New(c.Era, c.Version)})
	}
	for _, w := range m.Writes {
		t.Writes = append(t.Writes, backing.Write(w))
	}
	return t
}

func newTxnMessage(t backing.Txn) txnMessage {
	var m txnMessage
	for _, c := range t.Conditions {
		m.Conditions = append(m.Conditions, conditionMessage{c.Key, version.Counter(c.Version), version.Era(c.Version)})
	}
	for _, w := range t.Writes {
		m.Writes = append(m.Writes, writeMessage(w))
	}
	return m
}
