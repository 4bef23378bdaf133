package openai

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
)

var chatRoles = []string{"system", "developer", "user", "assistant", "tool", "function"}

// canonicalChat encodes messages and tools as JSON with a fixed order of members, so
// that distinct conversations never share a canonical form. Content parts are
// concatenated, so a string equals a list with one text part.
func canonicalChat(messages []chatMessage, tools json.RawMessage) (string, error) {
	if len(messages) == 0 {
		return "", paramError(CodeMissingParameter, "messages", "must hold at least one message")
	}
	size := 64 + len(tools)
	for _, m := range messages {
		size += 64 + len(m.Content) + len(m.ToolCalls)
	}
	out := append(make([]byte, 0, size), '{')
	if raw := nilIfNull(tools); raw != nil {
		out = append(out, `"tools":`...)
		out = appendCompact(out, raw)
		out = append(out, ',')
	}
	out = append(out, `"messages":[`...)
	for i, m := range messages {
		if !slices.Contains(chatRoles, m.Role) {
			return "", paramError(CodeInvalidValue, fmt.Sprintf("messages[%d].role", i), "must be one of "+strings.Join(chatRoles, ", "))
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
	if raw := nilIfNull(m.ToolCalls); raw != nil {
		dst = append(dst, `,"tool_calls":`...)
		dst = appendCompact(dst, raw)
	}
	return append(dst, '}')
}

// appendCompact appends a JSON value without insignificant spaces. It panics if raw is
// not valid JSON, which decoding the request body has already checked.
func appendCompact(dst []byte, raw json.RawMessage) []byte {
	out := bytes.NewBuffer(dst)
	if err := json.Compact(out, raw); err != nil {
		panic(err)
	}
	return out.Bytes()
}

// UserPrompt returns the canonical prompt of a conversation with a single user
// message, as it is sent to engines.
func UserPrompt(text string) (string, error) {
	content, err := json.Marshal(text)
	if err != nil {
		return "", err
	}
	return canonicalChat([]chatMessage{{Role: "user", Content: content}}, nil)
}

// nilIfNull returns nil for a JSON null, because the API treats null like an absent
// member.
func nilIfNull(raw json.RawMessage) json.RawMessage {
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

// messageContent returns the text of a content member, which is a string or a list
// of parts. The member can be absent if optional is true.
func messageContent(raw json.RawMessage, param string, optional bool) (string, error) {
	if raw = nilIfNull(raw); raw == nil {
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
			return "", paramError(CodeUnsupportedParameter, fmt.Sprintf("%s[%d].type", param, i), "must be text or refusal")
		}
	}
	return text.String(), nil
}

// completionPrompt decodes a prompt, which is a string or a list with one string.
func completionPrompt(raw json.RawMessage) (string, error) {
	if raw = nilIfNull(raw); raw == nil {
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
		return "", paramError(CodeUnsupportedParameter, "prompt", "must be a string or a list with one string")
	}
	return list[0], nil
}

// unquote decodes a JSON string.
func unquote(raw json.RawMessage, param string) (string, error) {
	if inner := raw[1 : len(raw)-1]; needsNoEscape(inner) {
		return string(inner), nil
	}
	var s string
	if err := json.Unmarshal(raw, &s); err != nil {
		return "", paramError(CodeInvalidType, param, "must be a string")
	}
	return s, nil
}
