package peering

import (
	"context"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/hyssophaven/hyssophaven/controlplane"
	"github.com/hyssophaven/hyssophaven/metrics"
	"github.com/hyssophaven/hyssophaven/nodeconfig"
	"github.com/hyssophaven/hyssophaven/ratelimit"
)

// Guards against requests for tokens and grants that change on the way.
func TestQuotaMessagesSurviveEncoding(t *testing.T) {
	is := is.New(t)
	request := ratelimit.Request{Instance: "i", Start: 1, Sequence: 2, Owner: 3, Address: "a:1", DataCentre: "z", Delegated: true, Leaving: true, Pooled: true, Items: []ratelimit.RequestItem{
		{Customer: "c", CountsTokens: true, Needed: 1, Largest: 2, Wanted: 3, Returned: 4, Left: 5, Demand: 6, Deposit: 7, Share: 0.5, Assigned: 0.75},
	}}
	message := encodeQuota(request)
	is.Equal(decodeQuota(*throughJSON(t, &message)), request)
	answer := ratelimit.Answer{Owner: 1, Sequence: 2, Delegated: true, Deputy: "b:1", Items: []ratelimit.AnswerItem{
		{Customer: "c", CountsTokens: true, Granted: 1, RoomAfter: 2 * time.Millisecond, ReturnAfter: 3 * time.Millisecond, Share: 0.5, Assigned: 0.75},
	}}
	grant := encodeGrant(answer)
	is.Equal(decodeGrant(*throughJSON(t, &grant)), answer)
	is.Equal(upToMilliseconds(1), int64(1)) // a caller that returns before there is room is refused again
}

// Guards against a slow answer to a request for tokens that ends the connection to the
// holder, on which states wait for their answers, and against a deputy that is not asked.
func TestSlowGrantKeepsConnectionToHolder(t *testing.T) {
	is := is.New(t)
	logger := log.New(io.Discard)
	s := New(nodeconfig.Node{}, logger)
	s.control = controlplane.New(nodeconfig.Node{}, logger, metrics.New()) // keeps the results in its queue
	var connections, calls atomic.Int64
	start := func(slow bool) string {
		return startRawHolder(t, func(c net.Conn) {
			connections.Add(1)
			jsonrpc2.NewConn(t.Context(), jsonrpc2.NewBufferedStream(c, s.codec()), jsonrpc2.AsyncHandler(jsonrpc2.HandlerWithError(func(_ context.Context, _ *jsonrpc2.Conn, r *jsonrpc2.Request) (any, error) {
				calls.Add(1)
				if slow && r.Method == methodQuota {
					time.Sleep(2 * ratelimit.AnswerTimeout)
				}
				return grantMessage{}, nil
			})))
		})
	}
	holder := controlplane.HolderChanged{Address: start(true), Sequence: 1}
	begun := time.Now()
	s.requestQuota(t.Context(), controlplane.RequestQuota{Holder: holder})
	is.True(time.Since(begun) < 2*ratelimit.AnswerTimeout)
	_, err := s.callHolder(t.Context(), stateTimeout, methodState, stateMessage{}, nil)
	is.NoErr(err)
	is.Equal(connections.Load(), int64(1))
	deputy := start(false)
	for range 2 {
		s.requestQuota(t.Context(), controlplane.RequestQuota{Holder: holder, Deputy: deputy})
	}
	is.Equal(connections.Load(), int64(2))
	is.Equal(calls.Load(), int64(4))
}
