// Package tomlfile decodes TOML files strictly, one key at a time, so that
// every unknown key and wrong type is reported with its line and column, all
// of them together.
package tomlfile

import (
	"bytes"
	"errors"
	"fmt"
	"reflect"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"

	"github.com/hyssophaven/hyssophaven/finding"
)

// Key is one key of a section with its place.
type Key struct {
	Name   string
	Line   int
	Column int
	text   []byte // "name = value" as written
}

// Section is one table of a file: the top level, [path] or one element of [[path]].
type Section struct {
	File   string
	Path   string // dotted path, which findings show; empty for the top level
	Array  bool   // whether it is an element of [[path]]
	Line   int
	Column int
	Keys   []Key
}

// Parse splits data into sections. Syntax errors are added to problems; what
// stands before the first one is returned.
func Parse(file string, data []byte, problems *finding.List) []Section {
	var p unstable.Parser
	p.Reset(data)
	sections := []Section{{File: file, Line: 1, Column: 1}}
	var starts []int // offset of each key's line, to cut the text of each key
	for p.NextExpression() {
		e := p.Expression()
		place := firstKey(e)
		pos := p.Shape(place).Start
		switch e.Kind {
		case unstable.Table, unstable.ArrayTable:
			sections = append(sections, Section{File: file, Path: dotted(e), Array: e.Kind == unstable.ArrayTable, Line: pos.Line, Column: pos.Column})
		case unstable.KeyValue:
			s := &sections[len(sections)-1]
			s.Keys = append(s.Keys, Key{Name: dotted(e), Line: pos.Line, Column: pos.Column})
		default:
			continue
		}
		starts = append(starts, lineStart(data, int(place.Offset)))
	}
	addSyntaxError(&p, file, data, problems)
	cutTexts(sections, starts, data)
	return sections
}

// cutTexts gives every key the bytes from its own line to the next expression.
func cutTexts(sections []Section, starts []int, data []byte) {
	next := 0 // index into starts; each section but the first has a header
	for i := range sections {
		if i > 0 {
			next++
		}
		for j := range sections[i].Keys {
			end := len(data)
			if next+1 < len(starts) {
				end = starts[next+1]
			}
			sections[i].Keys[j].text = data[starts[next]:end]
			next++
		}
	}
}

func addSyntaxError(p *unstable.Parser, file string, data []byte, problems *finding.List) {
	err := p.Error()
	if err == nil {
		return
	}
	f := finding.Finding{File: file, Message: err.Error()}
	var pe *unstable.ParserError
	if errors.As(err, &pe) {
		f.Message = pe.Message
		f.Line, f.Column = highlightPlace(data, pe.Highlight)
	}
	problems.Add(f)
}

// highlightPlace returns the line and column at which part, a slice of data, begins.
func highlightPlace(data, part []byte) (line, column int) {
	offset := cap(data) - cap(part)
	if offset < 0 || offset > len(data) {
		return 0, 0
	}
	before := data[:offset]
	return bytes.Count(before, []byte("\n")) + 1, offset - lineStart(data, offset) + 1
}

// Decode sets the fields of target, a pointer to a struct with toml tags, from
// the section's keys. Problems are added with their place and the dotted key.
// The result is false if the value of a known key was not decoded, so that
// checks of the values would mislead.
func (s Section) Decode(target any, problems *finding.List) bool {
	complete := true
	seen := make(map[string]bool, len(s.Keys))
	for _, k := range s.Keys {
		if seen[k.Name] {
			s.Problemf(problems, k.Name, "key is set twice")
			complete = false
			continue
		}
		seen[k.Name] = true
		dec := toml.NewDecoder(bytes.NewReader(k.text)).DisallowUnknownFields()
		err := dec.Decode(target)
		var strict *toml.StrictMissingError
		switch {
		case errors.As(err, &strict):
			s.unknownKeys(k, strict, target, problems)
		case err != nil:
			complete = false
			problems.Add(finding.Finding{File: s.File, Line: k.Line, Column: k.Column, Key: s.dottedKey(k.Name), Message: decodeMessage(err)})
		}
	}
	return complete
}

// unknownKeys adds a finding for k, or for each unknown key of the inline tables
// in its value. The decoder does not name the tables between k and such a key.
func (s Section) unknownKeys(k Key, strict *toml.StrictMissingError, target any, problems *finding.List) {
	for _, e := range strict.Errors {
		line, column := e.Position() // in k.text, which begins at the start of the line of k
		f := finding.Finding{File: s.File, Line: k.Line + line - 1, Column: column}
		if f.Line == k.Line && f.Column == k.Column {
			f.Key = s.dottedKey(k.Name)
			f.Message = "unknown key; known keys are " + strings.Join(knownKeys(target), ", ")
		} else {
			f.Key = s.dottedKey(k.Name + "." + strings.Join(e.Key(), "."))
			f.Message = "unknown key"
		}
		problems.Add(f)
	}
}

// Problemf adds a finding about the key with the given name, or about the
// section as a whole if it does not set the key.
func (s Section) Problemf(problems *finding.List, key, format string, args ...any) {
	f := finding.Finding{File: s.File, Line: s.Line, Column: s.Column, Key: s.dottedKey(key), Message: fmt.Sprintf(format, args...)}
	for _, k := range s.Keys {
		if k.Name == key {
			f.Line, f.Column = k.Line, k.Column
		}
	}
	problems.Add(f)
}

func (s Section) dottedKey(key string) string {
	if s.Path == "" || key == "" {
		return s.Path + key
	}
	return s.Path + "." + key
}

func decodeMessage(err error) string {
	var de *toml.DecodeError
	if errors.As(err, &de) {
		return strings.TrimPrefix(de.Error(), "toml: ")
	}
	return strings.TrimPrefix(err.Error(), "toml: ")
}

func knownKeys(target any) []string {
	t := reflect.TypeOf(target).Elem()
	var keys []string
	for i := range t.NumField() {
		if tag := t.Field(i).Tag.Get("toml"); tag != "" {
			keys = append(keys, tag)
		}
	}
	return keys
}

func firstKey(e *unstable.Node) unstable.Range {
	it := e.Key()
	it.Next()
	return it.Node().Raw
}

func dotted(e *unstable.Node) string {
	var parts []string
	for it := e.Key(); it.Next(); {
		parts = append(parts, string(it.Node().Data))
	}
	return strings.Join(parts, ".")
}

func lineStart(data []byte, offset int) int {
	return bytes.LastIndexByte(data[:offset], '\n') + 1
}
