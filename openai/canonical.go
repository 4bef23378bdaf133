package openai

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
)

var roles = []string{"system", "developer", "user", "assistant", "tool", "function"}

// canonicalChat encodes the messages as JSON with a fixed member order, so
// that distinct conversations never have the same canonical form. Content parts
// are joined, so a string and a list with one text part are equal.
func canonicalChat(messages []chatMessage, tools json.RawMessage) (string, error) {
	if len(messages) == 0 {
		return "", paramError(CodeMissingParameter, "messages", "must hold at least one message")
	}
	size := 64 + len(tools)
	for _, m := range messages {
		size += 64 + len(m.Content) + len(m.ToolCalls)
	}
	out := append(make([]byte, 0, size), '{')
	if raw := orAbsent(tools); raw != nil {
		out = append(out, `"tools":`...)
		out = appendCompact(out, raw)
		out = append(out, ',')
	}
	out = append(out, `"messages":[`...)
	for i, m := range messages {
		if !slices.Contains(roles, m.Role) {
			return "", paramError(CodeInvalidValue, fmt.Sprintf("messages[%d].role", i), "must be one of "+strings.Join(roles, ", "))
		}
		content, err := messageContent(m.Content, fmt.Sprintf("messages[%d].content", i), m.Role == "assistant")
		if err != nil {
			return "", err
		}
		if i > 0 {
			out = append(out, ',')
		}
		out = appendMessage(out, m, content)
	}
	return string(append(out, "]}"...)), nil
}

func appendMessage(dst []byte, m chatMessage, content string) []byte {
	dst = append(dst, `{"role":`...)
	dst = appendString(dst, m.Role)
	if m.Name != "" {
		dst = append(dst, `,"name":`...)
		dst = appendString(dst, m.Name)
	}
	if m.ToolCallID != "" {
		dst = append(dst, `,"tool_call_id":`...)
		dst = appendString(dst, m.ToolCallID)
	}
	dst = append(dst, `,"content":`...)
	dst = appendString(dst, content)
	if raw := orAbsent(m.ToolCalls); raw != nil {
		dst = append(dst, `,"tool_calls":`...)
		dst = appendCompact(dst, raw)
	}
	return append(dst, '}')
}

// appendCompact appends a JSON value, which was checked before, without spaces.
func appendCompact(dst []byte, raw json.RawMessage) []byte {
	out := bytes.NewBuffer(dst)
	if err := json.Compact(out, raw); err != nil {
		panic(err)
	}
	return out.Bytes()
}

// UserPrompt returns the canonical prompt of a conversation that consists of
// one message of the user, as engines get it.
func UserPrompt(text string) (string, error) {
	content, err := json.Marshal(text)
	if err != nil {
		return "", err
	}
	return canonicalChat([]chatMessage{{Role: "user", Content: content}}, nil)
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
	if inner := raw[1 : len(raw)-1]; plain(inner) {
		return string(inner), nil
	}
	var s string
	if err := json.Unmarshal(raw, &s); err != nil {
		return "", paramError(CodeInvalidType, param, "must be a string")
	}
	return s, nil
}
