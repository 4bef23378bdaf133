package peering

import (
	"context"
	"errors"
	"time"

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
	Share        float64 `json:"s,omitempty"`
	Assigned     float64 `json:"a,omitempty"`
}

// quotaMessage is the JSON form of a ratelimit.Request.
type quotaMessage struct {
	Instance string             `json:"instance"`
	Start    int64              `json:"start"`
	Sequence uint64             `json:"sequence"`
	Owner    int64              `json:"owner,omitempty"`
	Leaving  bool               `json:"leaving,omitempty"`
	Items    []quotaItemMessage `json:"items,omitempty"`
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
	Owner    int64              `json:"owner"`
	Sequence uint64             `json:"sequence"`
	Items    []grantItemMessage `json:"items,omitempty"`
}

func encodeQuota(r ratelimit.Request) quotaMessage {
	m := quotaMessage{Instance: r.Instance, Start: r.Start, Sequence: r.Sequence, Owner: r.Owner, Leaving: r.Leaving}
	for _, item := range r.Items {
		item.Demand = roundToHundredths(item.Demand)
		m.Items = append(m.Items, quotaItemMessage(item))
	}
	return m
}

func decodeQuota(m quotaMessage) ratelimit.Request {
	r := ratelimit.Request{Instance: m.Instance, Start: m.Start, Sequence: m.Sequence, Owner: m.Owner, Leaving: m.Leaving}
	for _, item := range m.Items {
		r.Items = append(r.Items, ratelimit.RequestItem(item))
	}
	return r
}

func encodeGrant(a ratelimit.Answer) grantMessage {
	m := grantMessage{Owner: a.Owner, Sequence: a.Sequence}
	for _, i := range a.Items {
		m.Items = append(m.Items, grantItemMessage{
			Customer: i.Customer, CountsTokens: i.CountsTokens, Granted: i.Granted, Share: i.Share, Assigned: i.Assigned,
			RoomAfter: upToMilliseconds(i.RoomAfter), ReturnAfter: upToMilliseconds(i.ReturnAfter),
		})
	}
	return m
}

func decodeGrant(m grantMessage) ratelimit.Answer {
	a := ratelimit.Answer{Owner: m.Owner, Sequence: m.Sequence}
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

// requestQuota asks the holder for tokens and posts the answer. A holder that does not
// answer in time keeps its connection, which states use too: they have a longer time-out.
func (s *Service) requestQuota(ctx context.Context, e controlplane.RequestQuota) {
	s.adoptHolder(e.Holder)
	ctx, cancel := context.WithTimeout(ctx, ratelimit.AnswerTimeout)
	defer cancel()
	var message grantMessage
	conn, err := s.holderConnection(ctx)
	switch {
	case err != nil:
	case conn == nil:
		err = errNoHolder
	default:
		err = conn.Call(ctx, methodQuota, encodeQuota(e.Request), &message)
		if err != nil && !isAnswer(err) && ctx.Err() == nil {
			s.dropHolderConn(conn)
		}
	}
	s.control.Post(controlplane.QuotaAnswered{Sequence: e.Request.Sequence, Answer: decodeGrant(message), Err: err})
}
