// Package jsonfile finds the places of keys in JSON files, so that problems in
// them can be reported with line and column.
package jsonfile

import (
	"bytes"
	"encoding/json"
	"errors"
	"strconv"

	"github.com/hyssophaven/hyssophaven/finding"
)

// File is a JSON file with the places of its keys.
type File struct {
	name   string
	data   []byte
	places map[string]int64 // offset of the value, by dotted key
}

// Parse reads the places of all keys. A file that is no JSON has those before
// the error.
func Parse(name string, data []byte) *File {
	f := &File{name: name, data: data, places: make(map[string]int64)}
	f.value(json.NewDecoder(bytes.NewReader(data)), "")
	return f
}

// value reads one value and records its place. It returns false at an error.
func (f *File) value(d *json.Decoder, key string) bool {
	token, err := d.Token()
	if err != nil {
		return false
	}
	f.places[key] = d.InputOffset() - 1
	open, ok := token.(json.Delim)
	if !ok {
		return true
	}
	for n := 0; d.More(); n++ {
		name := strconv.Itoa(n)
		if open == '{' {
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
		if !f.value(d, name) {
			return false
		}
	}
	_, err = d.Token() // the closing bracket
	return err == nil
}

// Problem returns a finding about a key. A key that the file lacks has the place
// of the nearest key that it has.
func (f *File) Problem(key, message string) finding.Finding {
	out := finding.Finding{File: f.name, Key: key, Message: message}
	for place := key; ; place = parent(place) {
		if offset, ok := f.places[place]; ok {
			out.Line, out.Column = f.lineOf(offset)
			return out
		}
		if place == "" {
			return out
		}
	}
}

// DecodeProblem returns a finding about an error of encoding/json.
func (f *File) DecodeProblem(err error) finding.Finding {
	out := finding.Finding{File: f.name, Message: err.Error()}
	var syntax *json.SyntaxError
	var wrongType *json.UnmarshalTypeError
	switch {
	case errors.As(err, &syntax):
		out.Line, out.Column = f.lineOf(syntax.Offset)
	case errors.As(err, &wrongType):
		out.Key = wrongType.Field
		out.Message = "is a " + wrongType.Value + ": want " + wrongType.Type.String()
		out.Line, out.Column = f.lineOf(wrongType.Offset)
	}
	return out
}

func parent(key string) string {
	for i := len(key) - 1; i >= 0; i-- {
		if key[i] == '.' {
			return key[:i]
		}
	}
	return ""
}

// lineOf returns the line and column of an offset, from 1.
func (f *File) lineOf(offset int64) (line, column int) {
	before := f.data[:min(max(offset, 0), int64(len(f.data)))]
	start := bytes.LastIndexByte(before, '\n') + 1
	return 1 + bytes.Count(before, []byte("\n")), 1 + len(before) - start
}
