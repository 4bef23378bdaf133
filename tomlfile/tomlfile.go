// Package tomlfile decodes TOML files strictly. It decodes each key separately, so
// that it can report every unknown key and wrong type together, each with its line
// and column.
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

// Key is one key of a section with its position in the file.
type Key struct {
	Name   string // key; the parts of a dotted key are joined by dots
	Line   int
	Column int
	text   []byte // "name = value" as written
}

// Section is one table of a file: the top level, a [path] or one element of a [[path]].
// Line and Column are the position of the path in its header, or 1 and 1 for the top
// level.
type Section struct {
	File   string
	Path   string // dotted path, the prefix of keys in findings; empty for the top level
	Array  bool   // whether the section is an element of a [[path]]
	Line   int
	Column int
	Keys   []Key
}

// Parse splits data into sections, the first of which is the top level. It stops at the
// first syntax error, adds it to problems and returns the sections and keys before it.
func Parse(file string, data []byte, problems *finding.List) []Section {
	var p unstable.Parser
	p.Reset(data)
	sections := []Section{{File: file, Line: 1, Column: 1}}
	var lineStarts []int // offset of the line of each header and key
	for p.NextExpression() {
		e := p.Expression()
		keyRange := firstKeyPart(e)
		pos := p.Shape(keyRange).Start
		switch e.Kind {
		case unstable.Table, unstable.ArrayTable:
			sections = append(sections, Section{File: file, Path: dottedPath(e), Array: e.Kind == unstable.ArrayTable, Line: pos.Line, Column: pos.Column})
		case unstable.KeyValue:
			s := &sections[len(sections)-1]
			s.Keys = append(s.Keys, Key{Name: dottedPath(e), Line: pos.Line, Column: pos.Column})
		default:
			continue
		}
		lineStarts = append(lineStarts, lineStart(data, int(keyRange.Offset)))
	}
	addSyntaxError(&p, file, data, problems)
	setKeyTexts(sections, lineStarts, data)
	return sections
}

// setKeyTexts sets the text of each key to the bytes from the start of its line to the
// line of the next header or key. lineStarts holds the offsets of all these lines in
// order.
func setKeyTexts(sections []Section, lineStarts []int, data []byte) {
	next := 0 // index into lineStarts; each section except the first has a header
	for i := range sections {
		if i > 0 {
			next++
		}
		for j := range sections[i].Keys {
			end := len(data)
			if next+1 < len(lineStarts) {
				end = lineStarts[next+1]
			}
			sections[i].Keys[j].text = data[lineStarts[next]:end]
			next++
		}
	}
}

// addSyntaxError adds the syntax error at which p stopped, if any.
func addSyntaxError(p *unstable.Parser, file string, data []byte, problems *finding.List) {
	err := p.Error()
	if err == nil {
		return
	}
	f := finding.Finding{File: file, Message: err.Error()}
	var pe *unstable.ParserError
	if errors.As(err, &pe) {
		f.Message = pe.Message
		f.Line, f.Column = highlightPosition(data, pe.Highlight)
	}
	problems.Add(f)
}

// highlightPosition returns the line and column at which part, a slice of data, begins.
func highlightPosition(data, part []byte) (line, column int) {
	offset := cap(data) - cap(part)
	if offset < 0 || offset > len(data) {
		return 0, 0
	}
	before := data[:offset]
	return bytes.Count(before, []byte("\n")) + 1, offset - lineStart(data, offset) + 1
}

// Decode sets the fields of target, a pointer to a struct with toml tags, from the keys
// of the section. It adds each problem with its position and dotted key. It returns
// false if a key is set twice or the value of a known key could not be decoded: checks
// of the values would then report misleading problems.
func (s Section) Decode(target any, problems *finding.List) bool {
	allDecoded := true
	decodedKeys := make(map[string]bool, len(s.Keys))
	for _, k := range s.Keys {
		if decodedKeys[k.Name] {
			s.Problemf(problems, k.Name, "key is set twice")
			allDecoded = false
			continue
		}
		decodedKeys[k.Name] = true
		dec := toml.NewDecoder(bytes.NewReader(k.text)).DisallowUnknownFields()
		err := dec.Decode(target)
		var strict *toml.StrictMissingError
		switch {
		case errors.As(err, &strict):
			s.unknownKeys(k, strict, target, problems)
		case err != nil:
			allDecoded = false
			problems.Add(finding.Finding{File: s.File, Line: k.Line, Column: k.Column, Key: s.dottedKey(k.Name), Message: decodeMessage(err)})
		}
	}
	return allDecoded
}

// unknownKeys adds a finding for k if it is unknown, or for each unknown key in the inline
// tables of its value. The findings omit any tables between k and such a key, because
// the decoder does not report them.
func (s Section) unknownKeys(k Key, strict *toml.StrictMissingError, target any, problems *finding.List) {
	for _, e := range strict.Errors {
		line, column := e.Position() // relative to k.text, which starts at the beginning of k's line
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

// Problemf adds a finding about a key. Its position is that of the key, or of the
// section's header if the section does not set the key.
func (s Section) Problemf(problems *finding.List, key, format string, args ...any) {
	f := finding.Finding{File: s.File, Line: s.Line, Column: s.Column, Key: s.dottedKey(key), Message: fmt.Sprintf(format, args...)}
	for _, k := range s.Keys {
		if k.Name == key {
			f.Line, f.Column = k.Line, k.Column
		}
	}
	problems.Add(f)
}

// dottedKey returns the key with the path of the section as prefix.
func (s Section) dottedKey(key string) string {
	if s.Path == "" || key == "" {
		return s.Path + key
	}
	return s.Path + "." + key
}

// decodeMessage returns the text of a decoding error without the prefix of the TOML
// library.
func decodeMessage(err error) string {
	var de *toml.DecodeError
	if errors.As(err, &de) {
		return strings.TrimPrefix(de.Error(), "toml: ")
	}
	return strings.TrimPrefix(err.Error(), "toml: ")
}

// knownKeys returns the toml tags of the struct that target points to.
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

// firstKeyPart returns the range of the first part of an expression's dotted key.
func firstKeyPart(e *unstable.Node) unstable.Range {
	it := e.Key()
	it.Next()
	return it.Node().Raw
}

// dottedPath returns the key of an expression, with its parts joined by dots.
func dottedPath(e *unstable.Node) string {
	var parts []string
	for it := e.Key(); it.Next(); {
		parts = append(parts, string(it.Node().Data))
	}
	return strings.Join(parts, ".")
}

// lineStart returns the offset of the first byte of the line that contains offset.
func lineStart(data []byte, offset int) int {
	return bytes.LastIndexByte(data[:offset], '\n') + 1
}
