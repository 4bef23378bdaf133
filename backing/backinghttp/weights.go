package backinghttp

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"time"
)

// WeightStore is the platform's store of model weights, from which engines
// load. hyssophaven itself does not call it; the stand-in engines do.
type WeightStore interface {
	// Acquire waits until a load can start and returns its permit. It fails
	// with backing.ErrUnavailable or backing.ErrUnknownOutcome.
	Acquire(ctx context.Context, r LoadRequest) (Permit, error)
	// Release ends a load. A permit that is not released expires after a time
	// that the store chooses.
	Release(ctx context.Context, id string) error
}

// LoadRequest asks the weight store for permission to load.
type LoadRequest struct {
	Engine  string
	Name    string // model or adapter
	Adapter bool   // whether Name is an adapter; adapters are small and have their own limit
}

// Permit allows one load.
type Permit struct {
	ID string
	// Slowdown is the load's duration relative to full speed, at least 1. It is
	// above 1 if more loads are in transit than the store serves at full speed.
	Slowdown float64
}

// maxPermitWait limits the wait of Acquire for the store's rate limit, in addition
// to the timeout of an ordinary call.
const maxPermitWait = 5 * time.Minute

type loadMessage struct {
	Engine  string `json:"engine"`
	Name    string `json:"name"`
	Adapter bool   `json:"adapter,omitempty"`
}

type permitMessage struct {
	ID       string  `json:"id"`
	Slowdown float64 `json:"slowdown"`
}

type weightClient struct{ c *Client }

// Acquire implements WeightStore.
func (w weightClient) Acquire(ctx context.Context, l LoadRequest) (Permit, error) {
	body, err := json.Marshal(loadMessage(l))
	if err != nil {
		return Permit{}, err
	}
	r := call{method: http.MethodPost, path: pathPermits, body: body, mutates: true, extraTimeout: maxPermitWait}
	answer, err := w.c.do(ctx, r)
	if err != nil {
		return Permit{}, err
	}
	permit, err := parsePermit(answer)
	if err != nil {
		return Permit{}, r.lostAnswerError(err)
	}
	return permit, nil
}

// Release implements WeightStore.
func (w weightClient) Release(ctx context.Context, id string) error {
	return w.c.sendWrite(ctx, call{method: http.MethodDelete, path: pathPermits, query: url.Values{"id": {id}}})
}

func parsePermit(data []byte) (Permit, error) {
	var m permitMessage
	if err := decodeAnswer(data, &m); err != nil {
		return Permit{}, err
	}
	if m.ID == "" || !(m.Slowdown >= 1) {
		return Permit{}, fmt.Errorf("permit %q has slowdown %v", m.ID, m.Slowdown)
	}
	return Permit(m), nil
}
