package enginehttp

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"strings"
	"testing"

	"github.com/tmaxmax/go-sse"

	"github.com/hyssophaven/hyssophaven/engine"
)

// Guards against a stream decoder that panics on some input, returns chunks that are
// out of order or belong to another request, or reports the end of an answer
// without an end marker.
func FuzzStream(f *testing.F) {
	for _, seed := range []string{
		firstEvent + secondEvent + lastEvent, firstEvent + lastEvent, strings.ReplaceAll(firstEvent+secondEvent+lastEvent, "\n", "\r\n"), ": comment\n\n" + firstEvent,
		"event: end\n" + firstEvent, "data: {\"id\":\"r1\",\ndata: \"i\":0}\n\n", "\n\n\n", "data\n\n", `data: {"id":"r1","i":1e1}`, "data: []\n\n",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		ctx, cancel := context.WithCancel(t.Context())
		s := newStream(ctx, cancel, io.NopCloser(bytes.NewReader(data)), testRequest)
		defer func() { _ = s.Close() }()
		final := false
		for index := 0; ; index++ {
			c, err := s.Next()
			if errors.Is(err, io.EOF) != final {
				t.Fatalf("final %t, then %v", final, err)
			}
			if err != nil {
				return
			}
			if c.RequestID != testRequest.RequestID || c.Index != index || c.Tokens < 0 {
				t.Fatalf("chunk %d passed as %+v", index, c)
			}
			final = c.Final
		}
	})
}

// Guards against differences between eventReader and go-sse on the input that both
// support: lines that end in LF or CRLF, without a null byte or byte order mark.
func FuzzEventReaderAgainstGoSSE(f *testing.F) {
	f.Add(firstEvent + secondEvent + lastEvent)
	f.Add("data:a\ndata: b\n\nevent:x\n\nevent: y\ndata\n\n")
	f.Add(": c\r\ndata: x\r\n\r\n")
	f.Fuzz(func(t *testing.T, data string) {
		if strings.Contains(strings.ReplaceAll(data, "\r\n", "\n"), "\r") || strings.ContainsAny(data, "\x00\ufeff") || strings.Contains(data, "id") || strings.Contains(data, "retry") {
			t.Skip("input is not supported by both readers")
		}
		r := newEventReader(strings.NewReader(data))
		for event, err := range sse.Read(strings.NewReader(data), nil) {
			if err != nil {
				return
			}
			name, got, err := r.next()
			if err != nil || name != event.Type || string(got) != event.Data {
				t.Fatalf("event %q %q %v, go-sse %q %q", name, got, err, event.Type, event.Data)
			}
		}
		if _, _, err := r.next(); !errors.Is(err, io.EOF) {
			t.Fatalf("event after the last one of go-sse, or %v", err)
		}
	})
}

// Guards against decoders that panic on an engine's answer or accept one with
// impossible content.
func FuzzAnswers(f *testing.F) {
	for _, seed := range []string{
		`{"boot_id":"b","memory_mb":1,"used_mb":1,"residents":[{"name":"m","version":"1","memory_mb":1,"ready":true}]}`,
		`{"boot_id":"b","taken_at":"2026-01-02T03:04:05Z","residents":null,"token_rate":1.5}`, `{"events":[{"sequence":1,"prefix":"7"}]}`,
		`{"order_id":"o","accepted":true,"highest_token":{"epoch":1,"sequence":2}}`, `{"boot_id":"b","residents":null}`, `{}`, `null`, `{"running":-1}`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var sm stateMessage
		if json.Unmarshal(data, &sm) == nil {
			if s, err := sm.state(); err == nil && (s.BootID == "" || s.UsedMB < 0 || s.Residents == nil) {
				t.Fatalf("state %+v passed", s)
			}
		}
		var rm reportMessage
		if json.Unmarshal(data, &rm) == nil {
			if r, err := rm.report(); err == nil && (r.BootID == "" || r.Running < 0 || r.Slots < 0) {
				t.Fatalf("report %+v passed", r)
			}
		}
		var em cacheEventsMessage
		if json.Unmarshal(data, &em) == nil {
			events, err := em.events(5)
			for i, e := range events {
				if err == nil && (e.Sequence <= 5 || i > 0 && e.Sequence <= events[i-1].Sequence) {
					t.Fatalf("events %+v passed", events)
				}
			}
		}
		var refusal *engine.Error
		if err := parseRefusal(503, data, true); !errors.As(err, &refusal) || refusal.Executed == engine.ExecutedYes {
			t.Fatalf("refusal became %v", err)
		}
	})
}
