package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/hyssophaven/hyssophaven/internal/jsonhttp"
	"github.com/hyssophaven/hyssophaven/internal/stricthttp"
	"github.com/hyssophaven/hyssophaven/table"
	"github.com/hyssophaven/hyssophaven/table/tablecodec"
	"github.com/hyssophaven/hyssophaven/tablestore"
)

// maxResponseBytes limits the response body that a client reads.
const maxResponseBytes = 64 << 20

// Client sends requests to the operators' interface of one instance. A method
// returns an *Error if the instance refuses its request.
type Client struct {
	base  string
	token string
	http  *http.Client
}

// NewClient returns a client for the interface at base, such as
// "http://10.0.0.5:8081". A nil httpClient selects one with a timeout of 30 s.
func NewClient(base, token string, httpClient *http.Client) *Client {
	if httpClient == nil {
		httpClient = &http.Client{Timeout: 30 * time.Second, Transport: defaultTransport()}
	}
	return &Client{base: strings.TrimSuffix(base, "/"), token: token, http: httpClient}
}

// defaultTransport returns the transport of all clients that are not given another
// one: http.DefaultTransport with checks and a limit for heads.
var defaultTransport = sync.OnceValue(func() http.RoundTripper {
	t, ok := http.DefaultTransport.(*http.Transport)
	if !ok {
		return http.DefaultTransport // replaced by the program
	}
	t = t.Clone()
	t.MaxResponseHeaderBytes = jsonhttp.MaxHeadBytes
	return stricthttp.NewTransport(t)
})

// Table returns the current table from the store.
func (c *Client) Table(ctx context.Context) (*table.Snapshot, error) {
	data, err := c.call(ctx, http.MethodGet, pathTable, nil)
	if err != nil {
		return nil, err
	}
	return tablecodec.DecodeSnapshot(data)
}

// Edit sends an edit and returns the table revision that it created.
func (c *Client) Edit(ctx context.Context, e table.Edit) (uint64, error) {
	request := editRequest{Author: e.Author}
	for _, ch := range e.Changes {
		w := change{BasedOn: ch.BaseVersion, Force: ch.Force}
		if ch.Remove {
			w.Remove = ch.Row.Name
		} else {
			set, err := tablecodec.EncodeRow(ch.Row)
			if err != nil {
				return 0, err
			}
			w.Set = set
		}
		request.Changes = append(request.Changes, w)
	}
	body, err := json.Marshal(request)
	if err != nil {
		return 0, err
	}
	data, err := c.call(ctx, http.MethodPost, pathEdits, body)
	if err != nil {
		return 0, err
	}
	var response editResponse
	err = decodeResponse(data, &response)
	return response.Revision, err
}

// History returns up to limit accepted edits, newest first.
func (c *Client) History(ctx context.Context, limit int) ([]tablestore.HistoryEntry, error) {
	data, err := c.call(ctx, http.MethodGet, pathHistory+"?limit="+strconv.Itoa(limit), nil)
	if err != nil {
		return nil, err
	}
	var response historyResponse
	err = decodeResponse(data, &response)
	return response.Entries, err
}

// Status returns the fleet as the instance sees it.
func (c *Client) Status(ctx context.Context) (Status, error) {
	data, err := c.call(ctx, http.MethodGet, pathStatus, nil)
	if err != nil {
		return Status{}, err
	}
	var s Status
	err = decodeResponse(data, &s)
	return s, err
}

// BurnReportJSON returns the burn report as JSON. burncodec.DecodeReport decodes it.
func (c *Client) BurnReportJSON(ctx context.Context) ([]byte, error) {
	return c.call(ctx, http.MethodGet, pathBurn, nil)
}

// LiftQuarantine ends the quarantine of a request content. The fingerprint has
// 16 hexadecimal digits.
func (c *Client) LiftQuarantine(ctx context.Context, fingerprint string) error {
	_, err := c.call(ctx, http.MethodDelete, pathQuarantine+"/"+fingerprint, nil)
	return err
}

// WaitInForce polls the status at the given interval until the revision is in
// force on every live instance. If ctx ends first, it returns the last known
// progress and an error. A failed poll is repeated.
func (c *Client) WaitInForce(ctx context.Context, revision uint64, interval time.Duration) (RevisionProgress, error) {
	var last RevisionProgress
	for {
		status, err := c.Status(ctx)
		if err == nil {
			last = status.RevisionProgress(revision)
			if last.Live > 0 && last.InForce == last.Live {
				return last, nil
			}
		}
		select {
		case <-time.After(interval):
		case <-ctx.Done():
			return last, errors.Join(ctx.Err(), err)
		}
	}
}

// call sends a request and returns the response body if the status is 2xx.
func (c *Client) call(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("operator address %q: %w", c.base, err)
	}
	request.Header.Set("Authorization", "Bearer "+c.token)
	response, err := c.http.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	data, err := jsonhttp.ReadBody(response.Body, maxResponseBytes)
	if err != nil {
		return nil, err
	}
	if response.StatusCode/100 == 2 {
		return data, nil
	}
	var failure errorResponse
	if err := json.Unmarshal(data, &failure); err != nil || failure.Error == nil {
		return nil, fmt.Errorf("%s %s: %s", method, path, response.Status)
	}
	failure.Error.Status = response.StatusCode
	return nil, failure.Error
}

func decodeResponse(data []byte, target any) error {
	if err := json.Unmarshal(data, target); err != nil {
		return fmt.Errorf("read answer: %w", err)
	}
	return nil
}
