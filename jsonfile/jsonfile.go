// Package jsonfile records the positions of keys in JSON files, so that problems with
// their values can be reported with line and column.
package jsonfile

import (
	"bytes"
	"encoding/json"
	"errors"
	"strconv"

	"github.com/hyssophaven/hyssophaven/finding"
)

// File is the content of a JSON file with the positions of its values.
type File struct {
	name    string
	data    []byte
	offsets map[string]int64 // offset of the last byte of a value's first token, by dotted key
}

// Parse records the positions of all values. If data is not valid JSON, the positions
// before the syntax error are recorded. The name appears in findings.
func Parse(name string, data []byte) *File {
	f := &File{name: name, data: data, offsets: make(map[string]int64)}
	f.readValue(json.NewDecoder(bytes.NewReader(data)), "")
	return f
}

// readValue reads one value and records its position and those of the values in it. The
// keys of array elements are their indices. It returns false after a syntax error.
func (f *File) readValue(d *json.Decoder, key string) bool {
	token, err := d.Token()
	if err != nil {
		return false
	}
	f.offsets[key] = d.InputOffset() - 1
	delim, ok := token.(json.Delim)
	if !ok {
		return true
	}
	for n := 0; d.More(); n++ {
		name := strconv.Itoa(n)
		if delim == '{' {
			token, err := d.Token()
			text, ok := token.(string)
			if err != nil || !ok {
				return false
			}
			name = text
		}
		if key != "" {
			name = key + "." + name
		}
		if !f.readValue(d, name) {
			return false
		}
	}
	_, err = d.Token() // reads the closing bracket
	return err == nil
}

// Problem returns a finding about a dotted key. If the file does not set the key, the
// position is that of the innermost enclosing value in the file.
func (f *File) Problem(key, message string) finding.Finding {
	out := finding.Finding{File: f.name, Key: key, Message: message}
	for ancestor := key; ; ancestor = parentKey(ancestor) {
		if offset, ok := f.offsets[ancestor]; ok {
			out.Line, out.Column = f.position(offset)
			return out
		}
		if ancestor == "" {
			return out
		}
	}
}

// DecodeProblem returns a finding about an error of encoding/json. The position is known
// for syntax errors and wrong types.
func (f *File) DecodeProblem(err error) finding.Finding {
	out := finding.Finding{File: f.name, Message: err.Error()}
	var syntax *json.SyntaxError
	var wrongType *json.UnmarshalTypeError
	switch {
	case errors.As(err, &syntax):
		out.Line, out.Column = f.position(syntax.Offset)
	case errors.As(err, &wrongType):
		out.Key = wrongType.Field
		out.Message = "is a " + wrongType.Value + ": want " + wrongType.Type.String()
		out.Line, out.Column = f.position(wrongType.Offset)
	}
	return out
}

// parentKey returns key without its last part.
func parentKey(key string) string {
	for i := len(key) - 1; i >= 0; i-- {
		if key[i] == '.' {
			return key[:i]
		}
	}
	return ""
}

// position returns the line and column of an offset, both starting at 1.
func (f *File) position(offset int64) (line, column int) {
	before := f.data[:min(max(offset, 0), int64(len(f.data)))]
	start := bytes.LastIndexByte(before, '\n') + 1
	return 1 + bytes.Count(before, []byte("\n")), 1 + len(before) - start
}
