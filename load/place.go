package load

import (
	"fmt"
	"regexp"
	"slices"
	"strings"
)

// place is where a key stands in a TOML text; zero if it is not known.
type place struct{ line, column int }

// places maps paths, such as stream[1].flood[0].factor, to their places. The
// TOML library gives places for syntax errors only.
type places map[string]place

var (
	headerPattern = regexp.MustCompile(`^\s*(\[\[?)\s*([A-Za-z0-9_.\-]+)\s*\]`)
	keyPattern    = regexp.MustCompile(`^\s*([A-Za-z0-9_.\-]+)\s*=`)
	indexPattern  = regexp.MustCompile(`\[\d+\]`)
)

func findPlaces(text string) places {
	p := places{}
	counts := map[string]int{} // entries of each array of tables so far
	prefix := ""
	for i, line := range strings.Split(text, "\n") {
		at := place{line: i + 1, column: len(line) - len(strings.TrimLeft(line, " \t")) + 1}
		if m := headerPattern.FindStringSubmatch(line); m != nil {
			prefix = indexed(m[2], m[1] == "[[", counts)
			p[prefix] = at
		} else if m := keyPattern.FindStringSubmatch(line); m != nil {
			path := m[1]
			if prefix != "" {
				path = prefix + "." + path
			}
			if _, ok := p[path]; !ok {
				p[path] = at
			}
		}
	}
	return p
}

// indexed adds the current index to each part of a header that is an array of
// tables, and begins a new entry if array is set.
func indexed(name string, array bool, counts map[string]int) string {
	path := ""
	parts := strings.Split(name, ".")
	for i, part := range parts {
		if path != "" {
			path += "."
		}
		path += part
		if i == len(parts)-1 && array {
			counts[path]++
		}
		if n := counts[path]; n > 0 {
			path = fmt.Sprintf("%s[%d]", path, n-1)
		}
	}
	return path
}

// find returns the place of a path, or of the nearest table around it.
func (p places) find(path string) place {
	for path != "" {
		if at, ok := p[path]; ok {
			return at
		}
		path = path[:max(strings.LastIndexByte(path, '.'), 0)]
	}
	return place{}
}

// matching returns the paths that are equal to key apart from indices, or key
// itself if there is none.
func (p places) matching(key string) []string {
	var out []string
	for path := range p {
		if indexPattern.ReplaceAllString(path, "") == key {
			out = append(out, path)
		}
	}
	if len(out) == 0 {
		return []string{key}
	}
	slices.Sort(out)
	return out
}
