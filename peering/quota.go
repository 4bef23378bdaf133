package peering

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/hyssophaven/hyssophaven/controlplane"
	"github.com/hyssophaven/hyssophaven/ratelimit"
)

// methodQuota is the JSON-RPC method by which the holder grants tokens to an instance.
const methodQuota = "quota"

// quotaItemMessage is the JSON form of a ratelimit.RequestItem.
type quotaItemMessage struct {
	Customer     string  `json:"c"`
	CountsTokens bool    `json:"t,omitempty"`
	Needed       float64 `json:"n,omitempty"`
	Largest      float64 `json:"m,omitempty"`
	Wanted       float64 `json:"w,omitempty"`
	Returned     float64 `json:"r,omitempty"`
	Left         float64 `json:"l,omitempty"`
	Demand       float64 `json:"d,omitempty"`
	Deposit      float64 `json:"e,omitempty"`
	Share        float64 `json:"s,omitempty"`
	Assigned     float64 `json:"a,omitempty"`
}

// quotaMessage is the JSON form of a ratelimit.Request.
type quotaMessage struct {
	Instance   string             `json:"instance"`
	Start      int64              `json:"start"`
	Sequence   uint64             `json:"sequence"`
	Owner      int64              `json:"owner,omitempty"`
	Address    string             `json:"address,omitempty"`
	DataCentre string             `json:"data_centre,omitempty"`
	Delegated  bool               `json:"delegated,omitempty"`
	Leaving    bool               `json:"leaving,omitempty"`
	Pooled     bool               `json:"pooled,omitempty"`
	Items      []quotaItemMessage `json:"items,omitempty"`
}

// grantItemMessage is the JSON form of a ratelimit.AnswerItem, with times in milliseconds.
type grantItemMessage struct {
	Customer     string  `json:"c"`
	CountsTokens bool    `json:"t,omitempty"`
	Granted      float64 `json:"g,omitempty"`
	RoomAfter    int64   `json:"r,omitempty"`
	ReturnAfter  int64   `json:"b,omitempty"`
	Share        float64 `json:"s,omitempty"`
	Assigned     float64 `json:"a,omitempty"`
}

// grantMessage is the JSON form of a ratelimit.Answer.
type grantMessage struct {
	Owner     int64              `json:"owner"`
	Sequence  uint64             `json:"sequence"`
	Delegated bool               `json:"delegated,omitempty"`
	Deputy    string             `json:"deputy,omitempty"`
	Items     []grantItemMessage `json:"items,omitempty"`
}

func encodeQuota(r ratelimit.Request) quotaMessage {
	m := quotaMessage{Instance: r.Instance, Start: r.Start, Sequence: r.Sequence, Owner: r.Owner, Address: r.Address, DataCentre: r.DataCentre, Delegated: r.Delegated, Leaving: r.Leaving, Pooled: r.Pooled}
	for _, item := range r.Items {
		item.Demand = roundToHundredths(item.Demand)
		m.Items = append(m.Items, quotaItemMessage(item))
	}
	return m
}

func decodeQuota(m quotaMessage) ratelimit.Request {
	r := ratelimit.Request{Instance: m.Instance, Start: m.Start, Sequence: m.Sequence, Owner: m.Owner, Address: m.Address, DataCentre: m.DataCentre, Delegated: m.Delegated, Leaving: m.Leaving, Pooled: m.Pooled}
	for _, item := range m.Items {
		r.Items = append(r.Items, ratelimit.RequestItem(item))
	}
	return r
}

func encodeGrant(a ratelimit.Answer) grantMessage {
	m := grantMessage{Owner: a.Owner, Sequence: a.Sequence, Delegated: a.Delegated, Deputy: a.Deputy}
	for _, i := range a.Items {
		m.Items = append(m.Items, grantItemMessage{
			Customer: i.Customer, CountsTokens: i.CountsTokens, Granted: i.Granted, Share: i.Share, Assigned: i.Assigned,
			RoomAfter: upToMilliseconds(i.RoomAfter), ReturnAfter: upToMilliseconds(i.ReturnAfter),
		})
	}
	return m
}

func decodeGrant(m grantMessage) ratelimit.Answer {
	a := ratelimit.Answer{Owner: m.Owner, Sequence: m.Sequence, Delegated: m.Delegated, Deputy: m.Deputy}
	for _, i := range m.Items {
		a.Items = append(a.Items, ratelimit.AnswerItem{
			Customer: i.Customer, CountsTokens: i.CountsTokens, Granted: i.Granted, Share: i.Share, Assigned: i.Assigned,
			RoomAfter: fromMilliseconds(i.RoomAfter), ReturnAfter: fromMilliseconds(i.ReturnAfter),
		})
	}
	return a
}

// upToMilliseconds returns d in milliseconds, rounded up.
func upToMilliseconds(d time.Duration) int64 { return (d + time.Millisecond - 1).Milliseconds() }

var errNoHolder = errors.New("no other instance is known to hold the order lease")

// requestQuota asks the holder or its deputy for tokens and posts the answer. A holder that
// does not answer in time keeps its connection, which states use too: they have a longer
// time-out.
func (s *Service) requestQuota(ctx context.Context, e controlplane.RequestQuota) {
	s.adoptHolder(e.Holder)
	ctx, cancel := context.WithTimeout(ctx, ratelimit.AnswerTimeout)
	defer cancel()
	connect, drop := s.holderConnection, s.dropHolderConn
	if e.Deputy != "" {
		connect = func(ctx context.Context) (*jsonrpc2.Conn, error) { return s.deputyConnection(ctx, e.Deputy) }
		drop = s.dropDeputyConn
	}
	var message grantMessage
	conn, err := connect(ctx)
	switch {
	case err != nil:
	case conn == nil:
		err = errNoHolder
	default:
		err = conn.Call(ctx, methodQuota, encodeQuota(e.Request), &message)
		if err != nil && !isAnswer(err) && (ctx.Err() == nil || e.Deputy != "") {
			drop(conn)
		}
	}
	s.control.Post(controlplane.QuotaAnswered{Sequence: e.Request.Sequence, Answer: decodeGrant(message), Err: err})
}

// deputyConnection returns the connection to the deputy at an address and opens it if
// needed. There is one at a time.
func (s *Service) deputyConnection(ctx context.Context, address string) (*jsonrpc2.Conn, error) {
	s.mu.Lock()
	conn := s.deputyConn
	if s.deputy != address {
		conn = nil
	}
	s.mu.Unlock()
	if conn != nil {
		return conn, nil
	}
	raw, err := s.dial(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("connect to the deputy of the holder: %w", err)
	}
	conn = jsonrpc2.NewConn(context.WithoutCancel(ctx), jsonrpc2.NewBufferedStream(raw, s.codec()), noRequests{}, jsonrpc2.SetLogger(s.log.StandardLog()))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closeDeputyConn()
	s.deputy, s.deputyConn = address, conn
	return conn, nil
}

func (s *Service) dropDeputyConn(conn *jsonrpc2.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.deputyConn == conn {
		s.closeDeputyConn()
	}
}

// closeDeputyConn closes the connection to the deputy. s.mu must be held.
func (s *Service) closeDeputyConn() {
	if s.deputyConn != nil {
		_ = s.deputyConn.Close()
		s.deputyConn = nil
	}
}
