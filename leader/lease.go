package leader

import "github.com/hyssophaven/hyssophaven/rowstore"

// Lease is the lease record as stored.
type Lease struct {
	Holder  string `json:"holder"`
	Address string `json:"address"` // address of the holder's peer listener, as host:port
	Epoch   uint64 `json:"epoch"`
	Era     uint64 `json:"era,omitempty"` // era of the store in which the record was written
	// ProcessStart is the start time of the holder's process in Unix nanoseconds. It
	// distinguishes successive processes of one instance.
	ProcessStart int64 `json:"start"`
	// HandoverDone is true once the waiting time after the predecessor's orders is
	// over and the holder can order.
	HandoverDone bool `json:"settled,omitempty"`
	// Released is true if the holder gave the lease up and sends no more orders.
	Released bool `json:"released,omitempty"`
}

// Row is the lease with the version of its row. A version with counter 0 means that no
// lease exists; its era is that of the read.
type Row struct {
	Lease
	Version rowstore.Version
	// Epochs is the record of the epochs that were given out in the era of Version.
	Epochs EpochRecord
}

// EpochRecord is the stored record of the epochs of one era. There is a row for each era, so
// a write that was made in another era can't change it.
type EpochRecord struct {
	Last    uint64           // highest epoch that was given out
	Version rowstore.Version // of the row; counter 0 if it does not exist
}

func (r Row) exists() bool { return r.Version.Counter() != 0 }

// current reports whether the record was written in the era in which it was read.
func (r Row) current() bool { return r.exists() && r.Era == r.Version.Era() }

// Action is a call to the store that Tick requests from the owner of the State.
type Action uint8

// The actions.
const (
	None Action = iota
	ReadLease
	WriteLease
)

// Write is a write of the lease that is conditional on the version of its row. Since versions
// of an earlier era can be given out again, it also requires that the era after that of
// Version has no epoch record: a holder of that era keeps its row.
type Write struct {
	Lease   Lease
	Version rowstore.Version // required version of the row
	// GivesEpoch is set if the lease is acquired under a new epoch. The same transaction then
	// stores Lease.Epoch in the epoch record of Lease.Era, whose required version is
	// EpochsVersion.
	GivesEpoch    bool
	EpochsVersion rowstore.Version
}
