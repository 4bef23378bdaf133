// Package enginehttp implements engine.Client over HTTP. Orders and reads are
// JSON messages; answers are server-sent events. Client is the client side, and
// NewHandler returns the server side.
//
// Each chunk of an answer is one event with a JSON body. The event named "end"
// carries the last chunk and marks the end of the answer; a stream that stops
// without it is truncated.
package enginehttp

import (
	"fmt"
	"time"

	"github.com/hyssophaven/hyssophaven/engine"
	"github.com/hyssophaven/hyssophaven/fleet"
)

// Paths of the protocol.
const (
	pathGenerate = "/generate"
	pathOrders   = "/orders"
	pathState    = "/state"
	pathReport   = "/report"
	pathEvents   = "/events"
)

// headerCallID is a random ID of a call. Responses carry the ID of their call.
const headerCallID = "Call-Id"

// Error codes of the protocol.
const (
	codeRefused     = "refused"
	codeNotResident = "not_resident"
)

// Size limits of requests, answers and events.
const (
	maxRequestBytes = 8 << 20 // a prompt of 128,000 tokens is about 1 MB
	maxAnswerBytes  = 4 << 20 // a report with 1,000 residents is about 100 KB
	maxEventBytes   = 64 << 10
)

// endEvent is the name of the event that ends an answer.
const endEvent = "end"

type generateMessage struct {
	RequestID  string `json:"request_id"`
	Model      string `json:"model"`
	Adapter    string `json:"adapter,omitempty"`
	Version    string `json:"version,omitempty"`
	Prompt     string `json:"prompt"`
	MaxTokens  int    `json:"max_tokens"`
	Priority   string `json:"priority"`
	ResumeFrom int    `json:"resume_from,omitempty"`
}

func newGenerateMessage(r engine.GenerateRequest) generateMessage {
	return generateMessage{
		RequestID: r.RequestID, Model: r.Model, Adapter: r.Adapter, Version: r.Version,
		Prompt: r.Prompt, MaxTokens: r.MaxTokens, Priority: r.Priority.String(), ResumeFrom: r.ResumeFrom,
	}
}

func (m generateMessage) request() (engine.GenerateRequest, error) {
	rank, err := fleet.ParseRank(m.Priority)
	if err != nil {
		return engine.GenerateRequest{}, err
	}
	if m.RequestID == "" || m.Model == "" || m.MaxTokens < 1 || m.ResumeFrom < 0 {
		return engine.GenerateRequest{}, fmt.Errorf("request_id, model, a positive max_tokens and a resume_from of at least 0 are required")
	}
	return engine.GenerateRequest{
		RequestID: m.RequestID, Model: m.Model, Adapter: m.Adapter, Version: m.Version,
		Prompt: m.Prompt, MaxTokens: m.MaxTokens, Priority: rank, ResumeFrom: m.ResumeFrom,
	}, nil
}

// chunkMessage is sent once per token and therefore has short field names.
type chunkMessage struct {
	RequestID        string `json:"id"`
	Index            int    `json:"i"`
	Text             string `json:"t"`
	Tokens           int    `json:"n"`
	FinishReason     string `json:"finish,omitempty"`
	PromptTokens     int    `json:"prompt_tokens,omitempty"`
	CompletionTokens int    `json:"completion_tokens,omitempty"`
}

func newChunkMessage(c engine.Chunk) chunkMessage {
	return chunkMessage{
		RequestID: c.RequestID, Index: c.Index, Text: c.Text, Tokens: c.Tokens,
		FinishReason: c.FinishReason, PromptTokens: c.PromptTokens, CompletionTokens: c.CompletionTokens,
	}
}

type tokenMessage struct {
	Epoch    uint64 `json:"epoch"`
	Sequence uint64 `json:"sequence"`
}

type orderMessage struct {
	ID       string       `json:"id"`
	Token    tokenMessage `json:"token"`
	Kind     string       `json:"kind"`
	Name     string       `json:"name"`
	Base     string       `json:"base,omitempty"`
	Version  string       `json:"version"`
	MemoryMB int          `json:"memory_mb"`
}

var orderKindNames = [...]string{
	engine.LoadModel: "load_model", engine.UnloadModel: "unload_model",
	engine.LoadAdapter: "load_adapter", engine.UnloadAdapter: "unload_adapter",
}

func newOrderMessage(o engine.Order) (orderMessage, error) {
	if int(o.Kind) >= len(orderKindNames) {
		return orderMessage{}, fmt.Errorf("unknown order kind %d", o.Kind)
	}
	return orderMessage{
		ID: o.ID, Token: tokenMessage(o.Token), Kind: orderKindNames[o.Kind],
		Name: o.Name, Base: o.Base, Version: o.Version, MemoryMB: o.MemoryMB,
	}, nil
}

func (m orderMessage) order() (engine.Order, error) {
	o := engine.Order{ID: m.ID, Token: fleet.Token(m.Token), Name: m.Name, Base: m.Base, Version: m.Version, MemoryMB: m.MemoryMB}
	if m.ID == "" || m.Name == "" || m.MemoryMB < 0 {
		return o, fmt.Errorf("id, name and a memory_mb of at least 0 are required")
	}
	for kind, name := range orderKindNames {
		if name == m.Kind {
			o.Kind = engine.OrderKind(kind)
			return o, nil
		}
	}
	return o, fmt.Errorf("unknown order kind %q", m.Kind)
}

type orderResultMessage struct {
	OrderID      string       `json:"order_id"`
	Accepted     bool         `json:"accepted"`
	Reason       string       `json:"reason,omitempty"`
	HighestToken tokenMessage `json:"highest_token"`
}

type residentMessage struct {
	Name     string `json:"name"`
	Base     string `json:"base,omitempty"`
	Version  string `json:"version"`
	MemoryMB int    `json:"memory_mb"`
	Ready    bool   `json:"ready"`
	Running  int    `json:"running"`
}

func newResidentMessages(rs []engine.Resident) []residentMessage {
	out := make([]residentMessage, len(rs))
	for i, r := range rs {
		out[i] = residentMessage(r)
	}
	return out
}

func residents(ms []residentMessage) ([]engine.Resident, error) {
	out := make([]engine.Resident, len(ms))
	for i, m := range ms {
		if m.Name == "" || m.MemoryMB < 0 || m.Running < 0 {
			return nil, fmt.Errorf("resident %q has no name or a negative count", m.Name)
		}
		out[i] = engine.Resident(m)
	}
	return out, nil
}

type stateMessage struct {
	BootID       string            `json:"boot_id"`
	HighestToken tokenMessage      `json:"highest_token"`
	MemoryMB     int               `json:"memory_mb"`
	UsedMB       int               `json:"used_mb"`
	Residents    []residentMessage `json:"residents"`
}

// state converts m to an engine.State. It requires the list of residents: an
// answer without one, read as an empty engine, would free memory that is in use.
func (m stateMessage) state() (engine.State, error) {
	if m.BootID == "" || m.Residents == nil || m.MemoryMB < 0 || m.UsedMB < 0 {
		return engine.State{}, fmt.Errorf("state has no boot_id or residents, or a negative memory")
	}
	rs, err := residents(m.Residents)
	if err != nil {
		return engine.State{}, err
	}
	return engine.State{BootID: m.BootID, HighestToken: fleet.Token(m.HighestToken), MemoryMB: m.MemoryMB, UsedMB: m.UsedMB, Residents: rs}, nil
}

type reportMessage struct {
	TakenAt   time.Time         `json:"taken_at"`
	Sequence  uint64            `json:"sequence"`
	BootID    string            `json:"boot_id"`
	Leaving   bool              `json:"leaving"`
	Running   int               `json:"running"`
	Waiting   int               `json:"waiting"`
	Slots     int               `json:"slots"`
	TokenRate float64           `json:"token_rate"`
	Residents []residentMessage `json:"residents"`
}

func newReportMessage(r engine.Report) reportMessage {
	return reportMessage{
		TakenAt: r.TakenAt, Sequence: r.Sequence, BootID: r.BootID, Leaving: r.Leaving,
		Running: r.Running, Waiting: r.Waiting, Slots: r.Slots, TokenRate: r.TokenRate,
		Residents: newResidentMessages(r.Residents),
	}
}

func (m reportMessage) report() (engine.Report, error) {
	if m.BootID == "" || m.Running < 0 || m.Waiting < 0 || m.Slots < 0 || m.TokenRate < 0 {
		return engine.Report{}, fmt.Errorf("report has no boot_id or a negative count")
	}
	rs, err := residents(m.Residents)
	if err != nil {
		return engine.Report{}, err
	}
	return engine.Report{
		TakenAt: m.TakenAt, Sequence: m.Sequence, BootID: m.BootID, Leaving: m.Leaving,
		Running: m.Running, Waiting: m.Waiting, Slots: m.Slots, TokenRate: m.TokenRate, Residents: rs,
	}, nil
}

type cacheEventMessage struct {
	Sequence uint64 `json:"sequence"`
	// Prefix is encoded as a string, because some decoders lose the precision of
	// JSON numbers above 2^53.
	Prefix  uint64 `json:"prefix,string"`
	Removed bool   `json:"removed,omitempty"`
}

type cacheEventsMessage struct {
	Events []cacheEventMessage `json:"events"`
}
