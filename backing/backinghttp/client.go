package backinghttp

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"github.com/hyssophaven/hyssophaven/backing"
	"github.com/hyssophaven/hyssophaven/internal/delivery"
	"github.com/hyssophaven/hyssophaven/internal/jsonhttp"
)

// Options configure a Client. Zero fields have the defaults named here.
type Options struct {
	BearerToken   string
	Timeout       time.Duration // of one call, including the wait for a connection; 2 s
	MaxConcurrent int           // calls on the wire at once; 32
}

// Client reaches the platform at one base URL. It is safe for concurrent use.
type Client struct {
	base    string
	token   string
	timeout time.Duration
	http    *http.Client
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
		base:    "http://" + address,
		token:   o.BearerToken,
		timeout: o.Timeout,
		http: &http.Client{
			Transport: &http.Transport{
				MaxConnsPerHost:     o.MaxConcurrent,
				MaxIdleConnsPerHost: o.MaxConcurrent,
				IdleConnTimeout:     90 * time.Second,
			},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Tables returns the table service.
func (c *Client) Tables() backing.TableStore { return tableClient{c} }

// Objects returns the object store.
func (c *Client) Objects() backing.ObjectStore { return objectClient{c} }

// Instances returns the instance list.
func (c *Client) Instances() backing.InstanceList { return listClient{c} }

// Weights returns the weight store.
func (c *Client) Weights() WeightStore { return weightClient{c} }

// call is one request to the platform.
type call struct {
	method string
	path   string
	query  url.Values
	body   []byte
	// write says that the request may change something, so that a lost answer
	// leaves its outcome unknown.
	write bool
	// wait is added to the client's timeout, for calls that the platform holds
	// back on purpose.
	wait time.Duration
}

// do sends r and returns the body of a successful answer.
func (c *Client) do(ctx context.Context, r call) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout+r.wait)
	defer cancel()
	ctx, tracker := delivery.Track(ctx)
	address := c.base + r.path
	if len(r.query) > 0 {
		address += "?" + r.query.Encode()
	}
	req, err := http.NewRequestWithContext(ctx, r.method, address, bytes.NewReader(r.body))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", backing.ErrUnavailable, err)
	}
	req.Header.Set("Content-Type", "application/json")
	jsonhttp.SetBearer(req, c.token)
	res, err := c.http.Do(req)
	if err != nil {
		if tracker.NeverSent(err) {
			return nil, fmt.Errorf("%w: %w", backing.ErrUnavailable, err)
		}
		return nil, r.lost(err)
	}
	defer func() { _ = res.Body.Close() }()
	body, err := jsonhttp.ReadAll(res.Body, maxBody)
	if err != nil {
		return nil, r.lost(err)
	}
	if res.StatusCode != http.StatusOK {
		return nil, r.refused(res.StatusCode, body)
	}
	return body, nil
}

// write sends r as a write that is answered with an empty JSON object.
func (c *Client) write(ctx context.Context, r call) error {
	r.write = true
	answer, err := c.do(ctx, r)
	if err != nil {
		return err
	}
	var done struct{}
	if err := decodeAnswer(answer, &done); err != nil {
		return r.lost(err)
	}
	return nil
}

// lost is the error for a request that was sent and whose answer is missing or
// can't be understood.
func (r call) lost(err error) error {
	kind := backing.ErrUnavailable
	if r.write {
		kind = backing.ErrUnknownOutcome
	}
	return fmt.Errorf("%w: %w", kind, err)
}

// refused is the error for an answer that is not a success. Only the codes of
// the protocol count as explicit; any other answer may come from something
// between client and platform and proves nothing.
func (r call) refused(status int, body []byte) error {
	e, ok := jsonhttp.ParseError(body)
	if !ok {
		return r.lost(fmt.Errorf("status %d without an error code", status))
	}
	switch {
	case e.Code == codeConflict && status == http.StatusConflict && r.write:
		return fmt.Errorf("%w: %s", backing.ErrConflict, e.Message)
	case e.Code == codeNotFound && status == http.StatusNotFound:
		return fmt.Errorf("%w: %s", backing.ErrNotFound, e.Message)
	case e.Executed == "no" || e.Code == codeUnavailable:
		return fmt.Errorf("%w: %s: %s", backing.ErrUnavailable, e.Code, e.Message)
	default:
		return r.lost(fmt.Errorf("status %d: %s: %s", status, e.Code, e.Message))
	}
}
