package enginehttp

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/hyssophaven/hyssophaven/engine"
	"github.com/hyssophaven/hyssophaven/fleet"
	"github.com/hyssophaven/hyssophaven/internal/delivery"
	"github.com/hyssophaven/hyssophaven/internal/jsonhttp"
	"github.com/hyssophaven/hyssophaven/internal/stricthttp"
)

// NewHTTPClient returns an HTTP client that keeps up to idlePerEngine idle
// connections to each engine; 0 means 512. All engine clients of a process
// should share one.
func NewHTTPClient(idlePerEngine int) *http.Client {
	if idlePerEngine <= 0 {
		idlePerEngine = 512
	}
	return &http.Client{
		Transport: stricthttp.NewTransport(&http.Transport{
			// Without a timeout, a dial to a host that drops packets takes minutes.
			DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
			MaxIdleConnsPerHost: idlePerEngine,
			IdleConnTimeout:     90 * time.Second,
			DisableCompression:  true,
			// One buffer of each kind is held per open stream. Events are
			// about 100 bytes.
			ReadBufferSize:         2 << 10,
			WriteBufferSize:        2 << 10,
			MaxResponseHeaderBytes: jsonhttp.MaxHeadBytes,
		}),
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// dialTimeout limits the time to connect to an engine. It is far above the round
// trip between data centres of about 1 ms, and allows for one lost packet, which
// TCP retransmits after 1 s.
const dialTimeout = 2 * time.Second

// Options configure a Client.
type Options struct {
	HTTP        *http.Client // nil means a new one from NewHTTPClient
	BearerToken string
	// ReadTimeout limits State, Report and CacheEvents; 0 means 2 s. Generate
	// and Order are limited only by their context.
	ReadTimeout time.Duration
}

// Client is an engine.Client for one engine. It is safe for concurrent use.
type Client struct {
	baseURL     string
	http        *http.Client
	token       string
	readTimeout time.Duration
}

var _ engine.Client = (*Client)(nil)

// NewClient returns a client for the engine at the given host:port.
func NewClient(address string, o Options) *Client {
	if o.HTTP == nil {
		o.HTTP = NewHTTPClient(0)
	}
	if o.ReadTimeout <= 0 {
		o.ReadTimeout = 2 * time.Second
	}
	return &Client{baseURL: "http://" + address, http: o.HTTP, token: o.BearerToken, readTimeout: o.ReadTimeout}
}

// Generate implements engine.Client. The end of ctx cancels the stream.
func (c *Client) Generate(ctx context.Context, r engine.GenerateRequest) (engine.Stream, error) {
	ctx, cancel := context.WithCancel(ctx)
	res, err := c.send(ctx, http.MethodPost, pathGenerate, newGenerateMessage(r))
	if err != nil {
		cancel()
		return nil, err
	}
	return newStream(ctx, cancel, res.Body, r), nil
}

// Order implements engine.Client.
func (c *Client) Order(ctx context.Context, o engine.Order) (engine.OrderResult, error) {
	message, err := newOrderMessage(o)
	if err != nil {
		return engine.OrderResult{}, &engine.Error{Kind: engine.Refused, Executed: engine.ExecutedNo, Err: err}
	}
	var answer orderResultMessage
	if err := c.call(ctx, http.MethodPost, pathOrders, message, &answer); err != nil {
		return engine.OrderResult{}, err
	}
	if answer.OrderID != o.ID {
		return engine.OrderResult{}, &engine.Error{Kind: engine.WrongRequest, Err: fmt.Errorf("order %q was answered as %q", o.ID, answer.OrderID)}
	}
	return engine.OrderResult{Accepted: answer.Accepted, Reason: answer.Reason, HighestToken: fleet.Token(answer.HighestToken)}, nil
}

// State implements engine.Client.
func (c *Client) State(ctx context.Context) (engine.State, error) {
	return fetch(ctx, c, pathState, stateMessage.state)
}

// Report implements engine.Client.
func (c *Client) Report(ctx context.Context) (engine.Report, error) {
	return fetch(ctx, c, pathReport, reportMessage.report)
}

// CacheEvents implements engine.Client.
func (c *Client) CacheEvents(ctx context.Context, after uint64) ([]engine.CacheEvent, error) {
	return fetch(ctx, c, pathEvents+"?after="+strconv.FormatUint(after, 10), func(m cacheEventsMessage) ([]engine.CacheEvent, error) {
		return m.events(after)
	})
}

// fetch reads a message of type M from path within the read timeout and converts
// it to V.
func fetch[M, V any](ctx context.Context, c *Client, path string, convert func(M) (V, error)) (V, error) {
	var message M
	var zero V
	bounded, cancel := context.WithTimeout(ctx, c.readTimeout)
	defer cancel()
	if err := c.call(bounded, http.MethodGet, path, nil, &message); err != nil {
		var e *engine.Error
		if errors.As(err, &e) && e.Kind == engine.Cancelled && ctx.Err() == nil {
			e.Kind = engine.Unreachable // the read timed out; the caller's context has not ended
		}
		return zero, err
	}
	v, err := convert(message)
	if err != nil {
		return zero, &engine.Error{Kind: engine.Malformed, Executed: engine.ExecutedYes, Err: err}
	}
	return v, nil
}

// call sends message and decodes the answer into answer.
func (c *Client) call(ctx context.Context, method, path string, message, answer any) error {
	res, err := c.send(ctx, method, path, message)
	if err != nil {
		return err
	}
	defer func() { _ = res.Body.Close() }()
	data, err := jsonhttp.ReadBody(res.Body, maxAnswerBytes)
	if err != nil {
		return readError(ctx, err, engine.ExecutedUnknown)
	}
	if err := json.Unmarshal(data, answer); err != nil {
		return &engine.Error{Kind: engine.Malformed, Err: err}
	}
	return nil
}

// send sends message as JSON and returns the response if its status is 200. Any
// other response is returned as an *engine.Error.
func (c *Client) send(ctx context.Context, method, path string, message any) (*http.Response, error) {
	var body io.Reader = http.NoBody
	if message != nil {
		data, err := json.Marshal(message)
		if err != nil {
			return nil, &engine.Error{Kind: engine.Refused, Executed: engine.ExecutedNo, Err: err}
		}
		body = bytes.NewReader(data)
	}
	tracked, tracker := delivery.Track(ctx)
	req, err := http.NewRequestWithContext(tracked, method, c.baseURL+path, body)
	if err != nil {
		return nil, &engine.Error{Kind: engine.Unreachable, Executed: engine.ExecutedNo, Err: err}
	}
	req.Header.Set("Content-Type", "application/json")
	callID := strconv.FormatUint(rand.Uint64(), 36)
	req.Header.Set(headerCallID, callID)
	jsonhttp.SetBearer(req, c.token)
	res, err := c.http.Do(req)
	if err != nil {
		return nil, sendError(ctx, tracker, err)
	}
	if res.StatusCode == http.StatusOK {
		return res, nil
	}
	defer func() { _ = res.Body.Close() }()
	data, err := jsonhttp.ReadBody(res.Body, maxAnswerBytes)
	if err != nil {
		return nil, readError(ctx, err, engine.ExecutedUnknown)
	}
	return nil, parseRefusal(res.StatusCode, data, res.Header.Get(headerCallID) == callID)
}

// sendError returns the error for a request that received no response.
func sendError(ctx context.Context, tracker *delivery.Tracker, err error) error {
	neverSent := tracker.NeverSent(err)
	switch {
	case ctx.Err() != nil && neverSent:
		return &engine.Error{Kind: engine.Cancelled, Executed: engine.ExecutedNo, Err: err}
	case neverSent:
		return &engine.Error{Kind: engine.Unreachable, Executed: engine.ExecutedNo, Err: err}
	default:
		return readError(ctx, err, engine.ExecutedUnknown)
	}
}

// readError returns the error for an answer that ended early. The error never
// wraps io.EOF, which marks the end of a whole answer.
func readError(ctx context.Context, err error, executed engine.Executed) error {
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	if ctx.Err() != nil {
		return &engine.Error{Kind: engine.Cancelled, Executed: executed, Err: errors.Join(ctx.Err(), err)}
	}
	return &engine.Error{Kind: engine.Truncated, Executed: executed, Err: err}
}

// parseRefusal returns the error for a response whose status is not 200. It sets
// ExecutedNo only if the response carries the ID of the call, and the body has the error
// format of the protocol and states that the request did not run. Without the ID, it can be
// a second copy of an earlier response on the connection.
func parseRefusal(status int, body []byte, hasCallID bool) error {
	e, ok := jsonhttp.ParseError(status, body)
	if !ok {
		return &engine.Error{Kind: engine.Malformed, Err: fmt.Errorf("status %d without an error code", status)}
	}
	failure := &engine.Error{Kind: engine.Refused, Err: fmt.Errorf("status %d: %s: %s", status, e.Code, e.Message)}
	if e.Code == codeNotResident {
		failure.Kind = engine.NotResident
	}
	if hasCallID && e.Executed == engine.ExecutedNo.String() {
		failure.Executed = engine.ExecutedNo
	}
	return failure
}

// events converts all events of m. It returns an error unless their sequence
// numbers are above after and increase; gaps are allowed.
func (m cacheEventsMessage) events(after uint64) ([]engine.CacheEvent, error) {
	out := make([]engine.CacheEvent, len(m.Events))
	for i, e := range m.Events {
		if e.Sequence <= after {
			return nil, fmt.Errorf("cache event %d is not after %d", e.Sequence, after)
		}
		after = e.Sequence
		out[i] = engine.CacheEvent(e)
	}
	return out, nil
}
