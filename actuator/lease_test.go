package actuator

import (
	"io"
	"testing"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"

	"github.com/hyssophaven/hyssophaven/controlplane"
	"github.com/hyssophaven/hyssophaven/leader"
	"github.com/hyssophaven/hyssophaven/rowstore"
)

// Guards against an acquisition that does not record its epoch, against a renewal that does,
// and against the epoch record of an earlier era that is taken for that of the present one.
func TestAcquisitionRecordsEpochOfItsEra(t *testing.T) {
	is := is.New(t)
	s := New(nil, nil, fakeCodec{}, log.New(io.Discard))
	acquisition := controlplane.AccessLease{Action: leader.WriteLease, Write: leader.Write{
		Lease: leader.Lease{Epoch: 17, Era: 2}, Version: rowstore.NewVersion(2, 3), GivesEpoch: true, EpochsVersion: rowstore.NewVersion(2, 0),
	}}
	conditions, rows, err := leaseTransaction(acquisition)
	is.NoErr(err)
	is.Equal(conditions, []rowstore.Condition{
		{Table: leaseTable, Key: leaseKey, Version: rowstore.NewVersion(2, 3)},
		{Table: leaseTable, Key: "epochs-3", Version: rowstore.NewVersion(2, 0)},
		{Table: leaseTable, Key: "epochs-2", Version: rowstore.NewVersion(2, 0)},
	})

	stored := rowstore.Page{Version: rowstore.NewVersion(2, 4)}
	for _, r := range rows {
		r.Version = stored.Version
		stored.Rows = append(stored.Rows, r)
	}
	row, err := s.decodeLease(stored)
	is.NoErr(err)
	is.Equal(row, leader.Row{Lease: acquisition.Write.Lease, Version: stored.Version, Epochs: leader.EpochRecord{Last: 17, Version: stored.Version}})

	stored.Version = rowstore.NewVersion(3, 4)
	row, err = s.decodeLease(stored)
	is.NoErr(err)
	is.Equal(row.Epochs, leader.EpochRecord{Version: rowstore.NewVersion(3, 0)})

	renewal := acquisition
	renewal.Write.GivesEpoch = false
	conditions, rows, err = leaseTransaction(renewal)
	is.NoErr(err)
	is.Equal(len(conditions), 2)
	is.Equal(len(rows), 1)
}

// Guards against an epoch that is given out again because the epoch record can't be decoded.
func TestMalformedEpochRecordIsNoLease(t *testing.T) {
	s := New(nil, nil, fakeCodec{}, log.New(io.Discard))
	version := rowstore.NewVersion(2, 4)
	_, err := s.decodeLease(rowstore.Page{Version: version, Rows: []rowstore.Row{{Table: leaseTable, Key: "epochs-2", Value: []byte("{"), Version: version}}})
	is.New(t).True(err != nil)
}
