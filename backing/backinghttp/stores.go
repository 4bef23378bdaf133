package backinghttp

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"slices"
	"strings"

	"github.com/hyssophaven/hyssophaven/backing"
	"github.com/hyssophaven/hyssophaven/backing/version"
)

type tableClient struct{ c *Client }

// Read implements backing.TableStore.
func (t tableClient) Read(ctx context.Context, q backing.Query) ([]backing.Record, error) {
	body, err := json.Marshal(queryMessage{Keys: q.Keys, Prefix: q.Prefix})
	if err != nil {
		return nil, err
	}
	r := call{method: http.MethodPost, path: pathRead, body: body}
	answer, era, err := t.c.doTable(ctx, r)
	if err != nil {
		return nil, err
	}
	records, err := parseRecords(answer, q, era)
	if err != nil {
		return nil, r.lostAnswerError(err)
	}
	return records, nil
}

// Commit implements backing.TableStore.
func (t tableClient) Commit(ctx context.Context, txn backing.Txn) ([]uint64, error) {
	body, err := json.Marshal(newTxnMessage(txn))
	if err != nil {
		return nil, err
	}
	r := call{method: http.MethodPost, path: pathCommit, body: body, mutates: true}
	answer, era, err := t.c.doTable(ctx, r)
	if err != nil {
		return nil, err
	}
	versions, err := parseVersions(answer, txn, era)
	if err != nil {
		return nil, r.lostAnswerError(err)
	}
	return versions, nil
}

// Era implements backing.TableStore.
func (t tableClient) Era() uint64 { return t.c.era.Load() }

type objectClient struct{ c *Client }

func nameQuery(name string) url.Values { return url.Values{"name": {name}} }

// Put implements backing.ObjectStore.
func (o objectClient) Put(ctx context.Context, name string, data []byte) error {
	return o.c.sendWrite(ctx, call{method: http.MethodPut, path: pathObject, query: nameQuery(name), body: data})
}

// Get implements backing.ObjectStore.
func (o objectClient) Get(ctx context.Context, name string) ([]byte, error) {
	return o.c.do(ctx, call{method: http.MethodGet, path: pathObject, query: nameQuery(name)})
}

// Delete implements backing.ObjectStore.
func (o objectClient) Delete(ctx context.Context, name string) error {
	return o.c.sendWrite(ctx, call{method: http.MethodDelete, path: pathObject, query: nameQuery(name)})
}

// List implements backing.ObjectStore.
func (o objectClient) List(ctx context.Context, prefix string) ([]string, error) {
	r := call{method: http.MethodGet, path: pathNames, query: url.Values{"prefix": {prefix}}}
	answer, err := o.c.do(ctx, r)
	if err != nil {
		return nil, err
	}
	names, err := parseNames(answer, prefix)
	if err != nil {
		return nil, r.lostAnswerError(err)
	}
	return names, nil
}

type listClient struct{ c *Client }

// List implements backing.InstanceList.
func (l listClient) List(ctx context.Context) (backing.Listing, error) {
	r := call{method: http.MethodGet, path: pathListing}
	answer, err := l.c.do(ctx, r)
	if err != nil {
		return backing.Listing{}, err
	}
	listing, err := parseListing(answer)
	if err != nil {
		return backing.Listing{}, r.lostAnswerError(err)
	}
	return listing, nil
}

// decodeAnswer decodes a JSON answer other than null. It allows unknown fields, so
// that the platform can add fields.
func decodeAnswer(data []byte, v any) error {
	if bytes.Equal(bytes.TrimSpace(data), []byte("null")) {
		return errors.New("answer is null")
	}
	return json.Unmarshal(data, v)
}

func parseRecords(data []byte, q backing.Query, era uint64) ([]backing.Record, error) {
	var m recordsMessage
	if err := decodeAnswer(data, &m); err != nil {
		return nil, err
	}
	if m.Records == nil {
		return nil, errors.New(`answer has no "records"`)
	}
	return m.records(q, era)
}

// parseVersions decodes the answer to t, which has the given era. It requires a
// version for each write, which is 0 for a deletion and above 0 otherwise.
func parseVersions(data []byte, t backing.Txn, era uint64) ([]uint64, error) {
	var m versionsMessage
	if err := decodeAnswer(data, &m); err != nil {
		return nil, err
	}
	if m.Versions == nil || len(m.Versions) != len(t.Writes) {
		return nil, fmt.Errorf("answer has %d versions for %d writes", len(m.Versions), len(t.Writes))
	}
	for i, w := range t.Writes {
		if (m.Versions[i] == 0) != w.Delete {
			return nil, fmt.Errorf("answer has version %d for record %q", m.Versions[i], w.Key)
		}
		if !w.Delete {
			m.Versions[i] = version.New(era, m.Versions[i])
		}
	}
	return m.Versions, nil
}

func parseNames(data []byte, prefix string) ([]string, error) {
	var m namesMessage
	if err := decodeAnswer(data, &m); err != nil {
		return nil, err
	}
	if m.Names == nil {
		return nil, errors.New(`answer has no "names"`)
	}
	for _, name := range m.Names {
		if !strings.HasPrefix(name, prefix) {
			return nil, fmt.Errorf("object %q was not asked for", name)
		}
	}
	if !slices.IsSorted(m.Names) {
		return nil, errors.New("object names are out of order")
	}
	return m.Names, nil
}

// parseListing decodes a listing and requires both lists. An answer without them,
// read as an empty fleet, would take every endpoint out of service.
func parseListing(data []byte) (backing.Listing, error) {
	var m listingMessage
	if err := decodeAnswer(data, &m); err != nil {
		return backing.Listing{}, err
	}
	if m.Instances == nil || m.Endpoints == nil {
		return backing.Listing{}, errors.New(`answer has no "instances" or no "endpoints"`)
	}
	return m.listing()
}
