package backinghttp_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/hyssophaven/hyssophaven/backing"
	"github.com/hyssophaven/hyssophaven/backing/backinghttp"
	"github.com/hyssophaven/hyssophaven/fleet"
	"github.com/hyssophaven/hyssophaven/internal/rawservertest"
	standinplatform "github.com/hyssophaven/hyssophaven/standin/platform"
)

func newClient(tb testing.TB, h http.Handler, o backinghttp.Options) *backinghttp.Client {
	tb.Helper()
	server := httptest.NewServer(h)
	c := backinghttp.NewClient(server.Listener.Addr().String(), o)
	tb.Cleanup(func() {
		c.Close()
		server.CloseClientConnections()
		server.Close()
	})
	return c
}

func newPlatform(tb testing.TB, c standinplatform.Config) *standinplatform.Platform {
	tb.Helper()
	p := standinplatform.New(c)
	tb.Cleanup(p.Close)
	return p
}

// neverAnswer reads the body and then waits for the client to disconnect, which
// net/http notices only after the body has been read.
func neverAnswer(_ http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	<-r.Context().Done()
}

var oneWrite = backing.Txn{Writes: []backing.Write{{Key: "k", Value: []byte("v")}}}

// platformCalls returns calls that read from and write to the services, by name.
func platformCalls(c *backinghttp.Client) (reads, writes map[string]func(context.Context) error) {
	reads = map[string]func(context.Context) error{
		"read": func(ctx context.Context) error {
			_, err := c.Tables().Read(ctx, backing.Query{Prefix: "k"})
			return err
		},
		"names": func(ctx context.Context) error { _, err := c.Objects().List(ctx, "o"); return err },
		"list":  func(ctx context.Context) error { _, err := c.Instances().List(ctx); return err },
	}
	writes = map[string]func(context.Context) error{
		"commit": func(ctx context.Context) error { _, err := c.Tables().Commit(ctx, oneWrite); return err },
		"put":    func(ctx context.Context) error { return c.Objects().Put(ctx, "o", []byte("x")) },
		"delete": func(ctx context.Context) error { return c.Objects().Delete(ctx, "o") },
		"acquire": func(ctx context.Context) error {
			_, err := c.Weights().Acquire(ctx, backinghttp.LoadRequest{Engine: "e", Name: "m"})
			return err
		},
	}
	return reads, writes
}

func respond(status int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = w.Write([]byte(body))
	}
}

func truncatedAnswer(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Length", "99")
	_, _ = w.Write([]byte("{"))
}

func abortConnection(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func redirect(w http.ResponseWriter, r *http.Request) {
	http.Redirect(w, r, "/elsewhere", http.StatusTemporaryRedirect)
}

// Guards against reporting a write as not executed although its answer was lost,
// late or malformed, and against reporting a refusal as an unknown outcome.
func TestFailuresMapToKnownOutcomes(t *testing.T) {
	unknown, unavailable := backing.ErrUnknownOutcome, backing.ErrUnavailable
	for name, c := range map[string]struct {
		handler http.HandlerFunc
		write   error
	}{
		"cut":              {abortConnection, unknown},
		"late":             {neverAnswer, unknown},
		"half an answer":   {truncatedAnswer, unknown},
		"garbage":          {respond(200, "<html>"), unknown},
		"null":             {respond(200, "null"), unknown},
		"garbage 503":      {respond(503, "<html>"), unknown},
		"internal error":   {respond(500, `{"error":{"code":"internal","message":"m"}}`), unknown},
		"redirect":         {redirect, unknown},
		"unavailable":      {respond(503, `{"error":{"code":"unavailable","message":"m"}}`), unavailable},
		"refused as wrong": {respond(400, `{"error":{"code":"bad_request","message":"m","executed":"no"}}`), unavailable},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			reads, writes := platformCalls(newClient(t, c.handler, backinghttp.Options{Timeout: 100 * time.Millisecond}))
			if name == "late" {
				delete(writes, "acquire") // would time out only after maxPermitWait
			}
			for _, do := range reads {
				err := do(t.Context())
				is.True(errors.Is(err, unavailable)) // a failed read never has an unknown outcome
				is.True(!errors.Is(err, unknown))
			}
			for _, do := range writes {
				is.True(errors.Is(do(t.Context()), c.write))
			}
		})
	}
}

// Guards against an answer with a status that HTTP does not have, without its whole head or
// body, or with a malformed line, that is taken for a success or for a proof that nothing was written.
func TestMalformedAnswerProvesNothing(t *testing.T) {
	const refusal = `{"error":{"code":"unavailable","message":"m","executed":"no"}}`
	malformedAnswers := slices.Concat(rawservertest.MalformedAnswers(refusal), rawservertest.MalformedLines("503 Service Unavailable", refusal),
		rawservertest.CutAnswers("503 Service Unavailable", refusal), rawservertest.CutAnswers("200 OK", "{}"))
	for _, malformed := range malformedAnswers {
		t.Run(malformed.Name, func(t *testing.T) {
			is := is.New(t)
			handler := malformed.Handler(func(*http.Request) string { return "Store-Era: 2\r\n" })
			reads, writes := platformCalls(newClient(t, handler, backinghttp.Options{Timeout: time.Second}))
			for _, do := range reads {
				is.True(errors.Is(do(t.Context()), backing.ErrUnavailable))
			}
			for _, do := range writes {
				is.True(errors.Is(do(t.Context()), backing.ErrUnknownOutcome))
			}
		})
	}
}

// Guards against reporting a refused connection as an unknown outcome, which would
// cause a read to check for a write that was never sent.
func TestRefusedConnectionIsUnavailable(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := listener.Addr().String()
	is.NoErr(listener.Close())
	_, writes := platformCalls(backinghttp.NewClient(address, backinghttp.Options{}))
	for _, do := range writes {
		err := do(t.Context())
		is.True(errors.Is(err, backing.ErrUnavailable))
		is.True(!errors.Is(err, backing.ErrUnknownOutcome))
	}
}

// Guards against reporting a write as sent that timed out waiting for a connection.
func TestTimeoutBeforeSendingIsUnavailable(t *testing.T) {
	is := is.New(t)
	entered := make(chan struct{}, 2)
	client := newClient(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		entered <- struct{}{}
		neverAnswer(w, r)
	}), backinghttp.Options{MaxConcurrent: 1, Timeout: time.Minute})
	ctx, cancel := context.WithCancel(t.Context())
	first := make(chan error, 1)
	go func() { first <- client.Objects().Put(ctx, "a", nil) }()
	<-entered
	short, cancelShort := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancelShort()
	is.True(errors.Is(client.Objects().Put(short, "b", nil), backing.ErrUnavailable))
	cancel()
	is.True(errors.Is(<-first, backing.ErrUnknownOutcome))
	is.Equal(len(entered), 0) // the second write was never sent
}

// Guards against accepting an answer that does not match the transaction or the
// query, such as the answer to another call.
func TestAnswersMustMatchTheCall(t *testing.T) {
	for _, body := range []string{
		`{"error":{"code":"conflict"}}`, `{"versions":[]}`, `{"versions":[0]}`, `{"versions":[1,2]}`, `{}`, `{"versions":null}`,
		`{"records":[{"key":"other","value":"","version":1}]}`,
		`{"records":[{"key":"k","value":"","version":0}]}`,
		`{"records":[{"key":"kb","value":"","version":1},{"key":"ka","value":"","version":1}]}`,
		`{"names":["x"]}`, `{"instances":[]}`, `{"instances":[{"id":""}],"endpoints":[]}`,
	} {
		t.Run(body, func(t *testing.T) {
			is := is.New(t)
			client := newClient(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(body)) }), backinghttp.Options{})
			reads, writes := platformCalls(client)
			for _, do := range reads {
				is.True(errors.Is(do(t.Context()), backing.ErrUnavailable))
			}
			is.True(errors.Is(writes["commit"](t.Context()), backing.ErrUnknownOutcome))
			is.True(errors.Is(writes["acquire"](t.Context()), backing.ErrUnknownOutcome))
		})
	}
}

// Guards against differences between the table service over HTTP and a map of
// versioned records.
func TestTableStoreBehavesLikeAMapWithVersions(t *testing.T) {
	p := newPlatform(t, standinplatform.Config{})
	tables := newClient(t, p.Handler(), backinghttp.Options{}).Tables()
	run := 0
	rapid.Check(t, func(t *rapid.T) {
		run++
		prefix := fmt.Sprintf("run-%d/", run)
		model := make(map[string]backing.Record)
		last := make(map[string]uint64)
		for range rapid.IntRange(1, 12).Draw(t, "transactions") {
			key := prefix + rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key")
			condition := rapid.Uint64Range(0, 3).Draw(t, "condition")
			w := backing.Write{Key: key, Value: rapid.SliceOfN(rapid.Byte(), 0, 8).Draw(t, "value"), Delete: rapid.Bool().Draw(t, "delete")}
			versions, err := tables.Commit(t.Context(), backing.Txn{
				Conditions: []backing.Condition{{Key: key, Version: condition}}, Writes: []backing.Write{w},
			})
			if condition != model[key].Version {
				if !errors.Is(err, backing.ErrConflict) {
					t.Fatalf("version %d, condition %d: %v", model[key].Version, condition, err)
				}
				continue
			}
			if err != nil {
				t.Fatal(err)
			}
			if w.Delete {
				delete(model, key)
			} else {
				last[key]++
				model[key] = backing.Record{Key: key, Value: w.Value, Version: last[key]}
			}
			if versions[0] != model[key].Version {
				t.Fatalf("version %d, want %d", versions[0], model[key].Version)
			}
		}
		records, err := tables.Read(t.Context(), backing.Query{Prefix: prefix, Keys: []string{prefix + "a"}})
		if err != nil {
			t.Fatal(err)
		}
		compareRecords(t, records, model)
	})
}

func compareRecords(t *rapid.T, records []backing.Record, model map[string]backing.Record) {
	keys := slices.Sorted(maps.Keys(model))
	if len(records) != len(keys) {
		t.Fatalf("%d records, want %d", len(records), len(keys))
	}
	for i, r := range records {
		if want := model[keys[i]]; r.Key != want.Key || r.Version != want.Version || string(r.Value) != string(want.Value) {
			t.Fatalf("record %+v, want %+v", r, want)
		}
	}
}

// Guards against fields of objects and listings that are lost between client and
// handler.
func TestObjectsAndListingsRoundTrip(t *testing.T) {
	is := is.New(t)
	p := newPlatform(t, standinplatform.Config{})
	c := newClient(t, p.Handler(), backinghttp.Options{})
	is.NoErr(c.Objects().Put(t.Context(), "burn/1 ?&ü", []byte{0, 1, 255}))
	data, err := c.Objects().Get(t.Context(), "burn/1 ?&ü")
	is.NoErr(err)
	is.Equal(data, []byte{0, 1, 255})
	names, err := c.Objects().List(t.Context(), "burn/")
	is.NoErr(err)
	is.Equal(names, []string{"burn/1 ?&ü"})
	is.NoErr(c.Objects().Delete(t.Context(), "burn/1 ?&ü"))
	_, err = c.Objects().Get(t.Context(), "burn/1 ?&ü")
	is.True(errors.Is(err, backing.ErrNotFound))

	i := backing.ListedInstance{ID: "i-1", DataCentre: "kul-a", PeerAddress: "127.0.0.1:1", Leaving: true}
	e := fleet.Endpoint{ID: "e-1", Kind: fleet.PlainService, Pool: "booking", DataCentre: "kul-b", Address: "127.0.0.1:2", Leaving: true, ChecksTokens: true, MemoryMB: 3, Slots: 4}
	p.PutInstance(i)
	p.PutEndpoint(e)
	listing, err := c.Instances().List(t.Context())
	is.NoErr(err)
	is.Equal(listing, backing.Listing{Instances: []backing.ListedInstance{i}, Endpoints: []fleet.Endpoint{e}})
}

// Guards against a platform that serves requests without its bearer token.
func TestBearerTokenIsRequired(t *testing.T) {
	is := is.New(t)
	p := newPlatform(t, standinplatform.Config{BearerToken: "secret"})
	for token, ok := range map[string]bool{"secret": true, "wrong": false, "": false} {
		c := newClient(t, p.Handler(), backinghttp.Options{BearerToken: token})
		_, err := c.Tables().Commit(t.Context(), oneWrite)
		is.Equal(err == nil, ok)
		is.Equal(errors.Is(err, backing.ErrUnavailable), !ok) // a refusal proves that nothing was written
	}
}

// Guards against unbounded request bodies.
func TestLongBodiesAreRefused(t *testing.T) {
	is := is.New(t)
	p := newPlatform(t, standinplatform.Config{})
	c := newClient(t, p.Handler(), backinghttp.Options{Timeout: 20 * time.Second})
	err := c.Objects().Put(t.Context(), "o", []byte(strings.Repeat("x", 65<<20)))
	is.True(err != nil)
	is.Equal(p.Counts()[standinplatform.Objects].Writes, 0)
}
