package actuator

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"

	"github.com/hyssophaven/hyssophaven/bootclock"
	"github.com/hyssophaven/hyssophaven/controlplane"
	"github.com/hyssophaven/hyssophaven/dispatch"
	"github.com/hyssophaven/hyssophaven/internal/rawservertest"
	"github.com/hyssophaven/hyssophaven/leader"
	"github.com/hyssophaven/hyssophaven/residency"
	"github.com/hyssophaven/hyssophaven/rowstore"
	"github.com/hyssophaven/hyssophaven/upstream"
)

// fakeCodec encodes empty orders and accepts every report.
type fakeCodec struct{}

func (fakeCodec) Order(*residency.Order, string, uint64) (*upstream.Call, error) {
	return &upstream.Call{Method: http.MethodPost, Target: "/order"}, nil
}
func (fakeCodec) Outcome(int) residency.Outcome { return residency.Accepted }
func (fakeCodec) Report(string) *upstream.Call {
	return &upstream.Call{Method: http.MethodGet, Target: "/report"}
}
func (fakeCodec) Notice(int, http.Header) (dispatch.Notice, error) { return dispatch.Notice{}, nil }
func (fakeCodec) DecodeReport([]byte) (*residency.Report, error)   { return &residency.Report{}, nil }

// Guards against the part of an endless answer up to the limit that is taken for a
// complete answer to an order or for a report.
func TestEndlessAnswerIsNoAnswer(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	for name, start := range map[string]string{
		"body":   ok + "\r\n{}",
		"length": ok + "Content-Length: 1000000000\r\n\r\n{}",
		"head":   ok + "X-A: ",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			filling := []byte(strings.Repeat(" ", 64<<10))
			server := rawservertest.Start(t, func(c net.Conn, _ int64) {
				_ = rawservertest.WriteEndlessly(c, start, filling)
				_ = c.Close()
			})
			var taken atomic.Int64
			s := New(nil, upstream.NewDedicated(rawservertest.CountingDial(&taken)), fakeCodec{}, log.New(io.Discard))

			until := bootclock.Now().Add(time.Hour)
			outcome, err := s.deliverOrder(t.Context(), controlplane.SendOrder{Order: &residency.Order{Address: server.Address}, Until: until})
			is.Equal(outcome, residency.Unknown)
			is.True(errors.Is(err, upstream.ErrConnectionBroken) || errors.Is(err, upstream.ErrAnswerTimeout))
			report, err := s.fetchReport(t.Context(), controlplane.ReadReplicaReport{Address: server.Address})
			is.True(report == nil)
			is.True(errors.Is(err, upstream.ErrConnectionBroken) || errors.Is(err, upstream.ErrAnswerTimeout))
			is.True(taken.Load() < 4*maxAnswerBytes)
			is.Equal(server.Connections.Load(), int64(2))
		})
	}
}

// Guards against a lease that is given up because only the config has changed, and against
// a lost lease that is taken for a change of the config.
func TestRejectedWriteOfLease(t *testing.T) {
	version := func(n uint64) rowstore.Version { return rowstore.NewVersion(1, n) }
	lease := func(n uint64) rowstore.Row {
		return rowstore.Row{Table: leaseTable, Key: leaseKey, Version: version(n)}
	}
	config := func(n uint64) rowstore.Row {
		return rowstore.Row{Table: "config", Key: "key", Version: version(n)}
	}
	write := controlplane.AccessLease{Action: leader.WriteLease, Write: leader.Write{Version: version(3)}, Config: &controlplane.ConfigRow{Table: "config", Key: "key", Version: version(2)}}
	first := write
	first.Write.Version = version(0)
	epochs := func(n uint64) rowstore.Row {
		return rowstore.Row{Table: leaseTable, Key: epochsKey(1), Version: version(n)}
	}
	nextEra := rowstore.Row{Table: leaseTable, Key: epochsKey(2), Version: version(7)}
	acquisition := write
	acquisition.Write.GivesEpoch, acquisition.Write.Lease.Era, acquisition.Write.EpochsVersion = true, 1, version(4)
	unconditional := write
	unconditional.Config = nil
	conflict := func(rows ...rowstore.Row) error {
		return fmt.Errorf("write: %w", &rowstore.ConflictError{Rows: rows, Version: version(9)})
	}
	for name, test := range map[string]struct {
		access controlplane.AccessLease
		err    error
		want   bool
		row    rowstore.Version
	}{
		"config changed":              {write, conflict(lease(3), config(8)), true, version(8)},
		"config removed":              {write, conflict(lease(3)), true, version(0)},
		"config changed, first lease": {first, conflict(config(8)), true, version(8)},
		"lease written":               {write, conflict(lease(7), config(2)), false, 0},
		"both changed":                {write, conflict(lease(7), config(8)), false, 0},
		"lease removed":               {write, conflict(config(8)), false, 0},
		"config changed, acquisition": {acquisition, conflict(lease(3), epochs(4), config(8)), true, version(8)},
		"epoch given out in next era": {write, conflict(lease(3), nextEra, config(8)), false, 0},
		"epoch given out":             {acquisition, conflict(lease(3), epochs(5), config(8)), false, 0},
		"no condition":                {unconditional, conflict(lease(3), config(8)), false, 0},
		"rows unknown":                {write, rowstore.ErrConflict, false, 0},
		"no answer":                   {write, rowstore.ErrUnknownOutcome, false, 0},
		"confirmed":                   {write, nil, false, 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			row, ok := changedConfig(test.access, test.err)
			is.Equal(ok, test.want)
			if ok {
				is.Equal(row.Version, test.row)
			}
		})
	}
}
