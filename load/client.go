package load

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/tmaxmax/go-sse"

	"github.com/hyssophaven/hyssophaven/internal/jsonhttp"
	"github.com/hyssophaven/hyssophaven/internal/stricthttp"
)

const (
	maxBodyBytes        = 1 << 20
	maxEventBytes       = 256 << 10
	maxIdleConnsPerHost = 4096 // so that a flood doesn't open a connection per request
)

// Answer is the outcome of one request as its caller saw it.
type Answer struct {
	Status        int    // HTTP status; 0 if there was none
	Code          string // refusal or failure code; empty for a whole answer
	FirstText     string
	Tokens        int           // pieces of text received
	FirstToken    time.Duration // time from the scheduled arrival to the first piece
	BetweenTokens time.Duration // mean time between pieces
	WholeAnswer   time.Duration // time from the scheduled arrival to the end of the answer
	RetryAfter    time.Duration
	Executed      string // value of the header X-Hyssophaven-Executed
}

// Codes of failures that the generator detects, as opposed to those that an
// instance reports.
const (
	CodeTimeout     = "caller_timeout"
	CodeConnection  = "connection_failed"
	CodeTruncated   = "truncated"
	CodeMalformed   = "malformed"
	CodeWrongAnswer = "wrong_answer" // the check failed
)

// chatRequest and the types below are the subset of the OpenAI chat format that
// the generator uses.
type chatRequest struct {
	Model     string        `json:"model"`
	Messages  []chatMessage `json:"messages"`
	MaxTokens int           `json:"max_tokens"`
	Stream    bool          `json:"stream"`
}

type chatMessage struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type chatChunk struct {
	Choices []struct {
		Delta        chatMessage `json:"delta"`
		Message      chatMessage `json:"message"`
		FinishReason string      `json:"finish_reason"`
	} `json:"choices"`
	Error *chatError `json:"error"`
}

type chatError struct {
	Code string `json:"code"`
	Type string `json:"type"`
}

func newClient() *http.Client {
	return &http.Client{Transport: stricthttp.NewTransport(&http.Transport{
		DialContext:            (&net.Dialer{Timeout: 5 * time.Second}).DialContext,
		MaxIdleConns:           0,
		MaxIdleConnsPerHost:    maxIdleConnsPerHost,
		IdleConnTimeout:        time.Minute,
		DisableCompression:     true,
		MaxResponseHeaderBytes: jsonhttp.MaxHeadBytes,
	})}
}

// send sends one request and reads its answer. It measures latencies from due, the
// scheduled arrival, so that they include a late start by the generator.
func send(ctx context.Context, client *http.Client, stream *Stream, r Request, due time.Time) Answer {
	req, err := newRequest(ctx, stream, r)
	if err != nil {
		return Answer{Code: CodeMalformed, WholeAnswer: time.Since(due)}
	}
	resp, err := client.Do(req)
	if err != nil {
		return Answer{Code: failureCode(ctx, CodeConnection), WholeAnswer: time.Since(due)}
	}
	defer resp.Body.Close()
	a := Answer{Status: resp.StatusCode, Executed: resp.Header.Get("X-Hyssophaven-Executed")}
	if s, err := strconv.Atoi(resp.Header.Get("Retry-After")); err == nil {
		a.RetryAfter = time.Duration(s) * time.Second
	}
	switch {
	case resp.StatusCode >= http.StatusBadRequest:
		a.Code = errorCode(resp)
	case stream.Call != nil || stream.Unary:
		readUnary(ctx, resp.Body, stream, &a, due)
	default:
		readStream(ctx, resp.Body, &a, due)
	}
	a.WholeAnswer = time.Since(due)
	return a
}

func newRequest(ctx context.Context, stream *Stream, r Request) (*http.Request, error) {
	base := strings.TrimSuffix(r.Instance, "/")
	if c := stream.Call; c != nil {
		req, err := http.NewRequestWithContext(ctx, c.Method, base+c.Path, strings.NewReader(c.Body))
		if err == nil && c.Keyed {
			req.Header.Set("Idempotency-Key", r.Marker)
		}
		return req, err
	}
	body, err := json.Marshal(chatRequest{
		Model: r.Row, MaxTokens: r.Tokens, Stream: !stream.Unary,
		Messages: []chatMessage{{Role: "user", Content: r.Prompt}},
	})
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, base+"/v1/chat/completions", strings.NewReader(string(body)))
	if err == nil {
		req.Header.Set("Content-Type", "application/json")
		req.Header.Set("X-Request-Id", r.Marker)
	}
	return req, err
}

// failureCode returns CodeTimeout if ctx has ended, and code otherwise.
func failureCode(ctx context.Context, code string) string {
	if ctx.Err() != nil {
		return CodeTimeout
	}
	return code
}

// errorCode returns the error code or, without one, the error type in the body of
// resp. If the body has neither, it derives a code from the status.
func errorCode(resp *http.Response) string {
	var body struct {
		Error chatError `json:"error"`
	}
	err := json.NewDecoder(io.LimitReader(resp.Body, maxBodyBytes)).Decode(&body)
	switch {
	case err == nil && body.Error.Code != "":
		return body.Error.Code
	case err == nil && body.Error.Type != "":
		return body.Error.Type
	default:
		return fmt.Sprint("status_", resp.StatusCode)
	}
}

// readUnary reads an answer that is not streamed.
func readUnary(ctx context.Context, body io.Reader, stream *Stream, a *Answer, due time.Time) {
	data, err := jsonhttp.ReadBody(body, maxBodyBytes)
	if err != nil {
		a.Code = failureCode(ctx, CodeTruncated)
		return
	}
	a.FirstToken = time.Since(due)
	if stream.Call != nil {
		return
	}
	var c chatChunk
	if err := json.Unmarshal(data, &c); err != nil || len(c.Choices) == 0 {
		a.Code = CodeMalformed
		return
	}
	a.FirstText, a.Tokens = c.Choices[0].Message.Content, 1
}

// readStream reads server-sent events up to the end marker.
func readStream(ctx context.Context, body io.Reader, a *Answer, due time.Time) {
	var first, last time.Time
	for ev, err := range sse.Read(body, &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
		if err != nil {
			a.Code = failureCode(ctx, CodeTruncated)
			return
		}
		if ev.Data == "[DONE]" {
			if a.Tokens > 1 {
				a.BetweenTokens = last.Sub(first) / time.Duration(a.Tokens-1)
			}
			return
		}
		var c chatChunk
		if err := json.Unmarshal([]byte(ev.Data), &c); err != nil {
			a.Code = CodeMalformed
			return
		}
		if c.Error != nil {
			a.Code = cmp.Or(c.Error.Code, c.Error.Type, CodeMalformed)
			return
		}
		if len(c.Choices) == 0 || c.Choices[0].Delta.Content == "" {
			continue
		}
		last = time.Now()
		if a.Tokens == 0 {
			first = last
			a.FirstText, a.FirstToken = c.Choices[0].Delta.Content, first.Sub(due)
		}
		a.Tokens++
	}
	a.Code = failureCode(ctx, CodeTruncated)
}

// callFault sends the HTTP request of a fault.
func callFault(ctx context.Context, client *http.Client, f Fault) error {
	method := f.Method
	if method == "" {
		method = http.MethodPost
	}
	req, err := http.NewRequestWithContext(ctx, method, f.URL, strings.NewReader(f.Body))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode >= http.StatusBadRequest {
		return errors.New(resp.Status)
	}
	return nil
}
