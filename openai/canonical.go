package openai

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
)

var roles = []string{"system", "developer", "user", "assistant", "tool", "function"}

// canonicalMessage is one message of a canonical prompt. Content parts are
// joined, so a string and a list with one text part are equal.
type canonicalMessage struct {
	Role       string          `json:"role"`
	Name       string          `json:"name,omitempty"`
	ToolCallID string          `json:"tool_call_id,omitempty"`
	Content    string          `json:"content"`
	ToolCalls  json.RawMessage `json:"tool_calls,omitempty"`
}

type canonicalPrompt struct {
	Tools    json.RawMessage    `json:"tools,omitempty"`
	Messages []canonicalMessage `json:"messages"`
}

// canonicalChat encodes the messages as JSON with a fixed member order, so
// that distinct conversations never have the same canonical form.
func canonicalChat(messages []chatMessage, tools json.RawMessage) (string, error) {
	if len(messages) == 0 {
		return "", paramError(CodeMissingParameter, "messages", "must hold at least one message")
	}
	c := canonicalPrompt{Tools: orAbsent(tools), Messages: make([]canonicalMessage, len(messages))}
	for i, m := range messages {
		if !slices.Contains(roles, m.Role) {
			return "", paramError(CodeInvalidValue, fmt.Sprintf("messages[%d].role", i), "must be one of "+strings.Join(roles, ", "))
		}
		calls := orAbsent(m.ToolCalls)
		content, err := messageContent(m.Content, fmt.Sprintf("messages[%d].content", i), m.Role == "assistant")
		if err != nil {
			return "", err
		}
		c.Messages[i] = canonicalMessage{Role: m.Role, Name: m.Name, ToolCallID: m.ToolCallID, Content: content, ToolCalls: calls}
	}
	var out bytes.Buffer
	enc := json.NewEncoder(&out)
	enc.SetEscapeHTML(false)
	if err := enc.Encode(c); err != nil {
		return "", &Error{Code: CodeInvalidJSON, Message: fmt.Sprintf("messages cannot be encoded: %v", err)}
	}
	return strings.TrimSuffix(out.String(), "\n"), nil
}

// orAbsent returns nil for null, which the interface treats like an absent member.
func orAbsent(raw json.RawMessage) json.RawMessage {
	if string(raw) == "null" {
		return nil
	}
	return raw
}

type contentPart struct {
	Type    string  `json:"type"`
	Text    *string `json:"text"`
	Refusal *string `json:"refusal"`
}

// messageContent returns the text of a content member, which is a string or a
// list of parts. Only messages of the assistant may have none.
func messageContent(raw json.RawMessage, param string, optional bool) (string, error) {
	if raw = orAbsent(raw); raw == nil {
		if optional {
			return "", nil
		}
		return "", paramError(CodeMissingParameter, param, "is required")
	}
	if raw[0] == '"' {
		return unquote(raw, param)
	}
	var parts []contentPart
	if err := json.Unmarshal(raw, &parts); err != nil {
		return "", paramError(CodeInvalidType, param, "must be a string or a list of content parts")
	}
	var text strings.Builder
	for i, p := range parts {
		switch {
		case p.Type == "text" && p.Text != nil:
			text.WriteString(*p.Text)
		case p.Type == "refusal" && p.Refusal != nil:
			text.WriteString(*p.Refusal)
		case p.Type == "text" || p.Type == "refusal":
			return "", paramError(CodeMissingParameter, fmt.Sprintf("%s[%d].%s", param, i, p.Type), "is required")
		default:
			return "", paramError(CodeUnsupported, fmt.Sprintf("%s[%d].type", param, i), "must be text or refusal")
		}
	}
	return text.String(), nil
}

// completionPrompt accepts a string or a list with one string.
func completionPrompt(raw json.RawMessage) (string, error) {
	if raw = orAbsent(raw); raw == nil {
		return "", paramError(CodeMissingParameter, "prompt", "is required")
	}
	if raw[0] == '"' {
		return unquote(raw, "prompt")
	}
	var list []string
	if err := json.Unmarshal(raw, &list); err != nil {
		return "", paramError(CodeInvalidType, "prompt", "must be a string or a list with one string")
	}
	if len(list) != 1 {
		return "", paramError(CodeUnsupported, "prompt", "must be a string or a list with one string")
	}
	return list[0], nil
}

func unquote(raw json.RawMessage, param string) (string, error) {
	var s string
	if err := json.Unmarshal(raw, &s); err != nil {
		return "", paramError(CodeInvalidType, param, "must be a string")
	}
	return s, nil
}
