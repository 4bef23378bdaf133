package actuator

import (
	"errors"
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
	"github.com/hyssophaven/hyssophaven/residency"
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
