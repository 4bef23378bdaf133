package backinghttp

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/hyssophaven/hyssophaven/backing"
	"github.com/hyssophaven/hyssophaven/internal/delivery"
	"github.com/hyssophaven/hyssophaven/internal/jsonhttp"
	"github.com/hyssophaven/hyssophaven/internal/stricthttp"
)

// Options configure a Client. A field that is 0 gets its default.
type Options struct {
	BearerToken   string
	Timeout       time.Duration // limit on one call, including the wait for a connection; default 2 s
	MaxConcurrent int           // limit on concurrent connections; default 32
}

// Client calls the platform at one base URL. It is safe for concurrent use.
type Client struct {
	baseURL string
	token   string
	timeout time.Duration
	http    *http.Client
	era     atomic.Uint64 // highest era of the table service in an answer
}

// NewClient returns a client for the platform at the given host:port.
func NewClient(address string, o Options) *Client {
	if o.Timeout <= 0 {
		o.Timeout = 2 * time.Second
	}
	if o.MaxConcurrent <= 0 {
		o.MaxConcurrent = 32
	}
	return &Client{
		baseURL: "http://" + address,
		token:   o.BearerToken,
		timeout: o.Timeout,
		http: &http.Client{
			Transport: stricthttp.NewTransport(&http.Transport{
				MaxConnsPerHost:        o.MaxConcurrent,
				MaxIdleConnsPerHost:    o.MaxConcurrent,
				IdleConnTimeout:        90 * time.Second,
				MaxResponseHeaderBytes: jsonhttp.MaxHeadBytes,
			}),
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Tables returns a client of the table service.
func (c *Client) Tables() backing.TableStore { return tableClient{c} }

// Objects returns a client of the object store.
func (c *Client) Objects() backing.ObjectStore { return objectClient{c} }

// Instances returns a client of the instance list.
func (c *Client) Instances() backing.InstanceList { return listClient{c} }

// Weights returns a client of the weight store.
func (c *Client) Weights() WeightStore { return weightClient{c} }

// call is one request to the platform.
type call struct {
	method string
	path   string
	query  url.Values
	body   []byte
	// mutates is set if the request can change data. If its answer is lost, the
	// outcome is unknown.
	mutates bool
	// extraTimeout is added to the client's timeout, for calls that the platform
	// delays on purpose.
	extraTimeout time.Duration
}

// do sends r and returns the body of a successful answer.
func (c *Client) do(ctx context.Context, r call) ([]byte, error) {
	body, _, err := c.doWithHeader(ctx, r)
	return body, err
}

// doTable sends r to the table service and returns the body and the era of a
// successful answer.
func (c *Client) doTable(ctx context.Context, r call) (body []byte, era uint64, err error) {
	body, header, err := c.doWithHeader(ctx, r)
	if value := header.Get(headerEra); value != "" {
		var parseErr error
		if era, parseErr = strconv.ParseUint(value, 10, eraBits); parseErr != nil && err == nil {
			return nil, 0, r.lostAnswerError(fmt.Errorf("header %s: %w", headerEra, parseErr))
		}
	}
	for last := c.era.Load(); era > last && !c.era.CompareAndSwap(last, era); last = c.era.Load() {
	}
	return body, era, err
}

// doWithHeader sends r. It returns the body of a successful answer, and the header
// of any answer.
func (c *Client) doWithHeader(ctx context.Context, r call) ([]byte, http.Header, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout+r.extraTimeout)
	defer cancel()
	ctx, tracker := delivery.Track(ctx)
	address := c.baseURL + r.path
	if len(r.query) > 0 {
		address += "?" + r.query.Encode()
	}
	req, err := http.NewRequestWithContext(ctx, r.method, address, bytes.NewReader(r.body))
	if err != nil {
		return nil, nil, fmt.Errorf("%w: %w", backing.ErrUnavailable, err)
	}
	req.Header.Set("Content-Type", "application/json")
	jsonhttp.SetBearer(req, c.token)
	res, err := c.http.Do(req)
	if err != nil {
		if tracker.NeverSent(err) {
			return nil, nil, fmt.Errorf("%w: %w", backing.ErrUnavailable, err)
		}
		return nil, nil, r.lostAnswerError(err)
	}
	defer func() { _ = res.Body.Close() }()
	body, err := jsonhttp.ReadBody(res.Body, maxBodyBytes)
	if err != nil {
		return nil, nil, r.lostAnswerError(err)
	}
	if res.StatusCode != http.StatusOK {
		return nil, res.Header, r.refusalError(res.StatusCode, body)
	}
	return body, res.Header, nil
}

// sendWrite sends r as a write whose answer is an empty JSON object.
func (c *Client) sendWrite(ctx context.Context, r call) error {
	r.mutates = true
	answer, err := c.do(ctx, r)
	if err != nil {
		return err
	}
	var done struct{}
	if err := decodeAnswer(answer, &done); err != nil {
		return r.lostAnswerError(err)
	}
	return nil
}

// lostAnswerError returns the error for a request that was sent and whose answer
// is missing or malformed.
func (r call) lostAnswerError(err error) error {
	kind := backing.ErrUnavailable
	if r.mutates {
		kind = backing.ErrUnknownOutcome
	}
	return fmt.Errorf("%w: %w", kind, err)
}

// refusalError returns the error for an answer whose status is not 200. Only the
// codes of the protocol, or Executed "no", prove that nothing was written. Any
// other answer can come from an intermediary between client and platform.
func (r call) refusalError(status int, body []byte) error {
	e, ok := jsonhttp.ParseError(status, body)
	if !ok {
		return r.lostAnswerError(fmt.Errorf("status %d without an error code", status))
	}
	switch {
	case e.Code == codeConflict && status == http.StatusConflict && r.mutates:
		return fmt.Errorf("%w: %s", backing.ErrConflict, e.Message)
	case e.Code == codeNotFound && status == http.StatusNotFound:
		return fmt.Errorf("%w: %s", backing.ErrNotFound, e.Message)
	case e.Executed == "no" || e.Code == codeUnavailable:
		return fmt.Errorf("%w: %s: %s", backing.ErrUnavailable, e.Code, e.Message)
	default:
		return r.lostAnswerError(fmt.Errorf("status %d: %s: %s", status, e.Code, e.Message))
	}
}
