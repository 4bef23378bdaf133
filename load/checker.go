package load

import (
	"fmt"
	"net/url"
	"strings"

	"github.com/hyssophaven/hyssophaven/finding"
	"github.com/hyssophaven/hyssophaven/fleet"
	"github.com/hyssophaven/hyssophaven/tomlfile"
)

// checker adds findings about the values of a decoded scenario.
type checker struct {
	sections map[string]tomlfile.Section // by path, such as stream[1].flood[0]
	problems *finding.List
}

// add adds a finding about a path at its place, or at that of the nearest
// section around it.
func (c *checker) add(path, format string, args ...any) {
	section, key := path, ""
	for section != "" {
		if _, ok := c.sections[section]; ok {
			break
		}
		section = section[:max(strings.LastIndexByte(section, '.'), 0)]
		key = strings.TrimPrefix(path[len(section):], ".")
	}
	c.sections[section].Problemf(c.problems, key, format, args...)
}

func (c *checker) scenario(s *Scenario) {
	if s.Duration <= 0 {
		c.add("duration", "must be positive")
	}
	if s.Timeout <= 0 {
		c.add("timeout", "must be positive")
	}
	if s.Rate < 0 {
		c.add("rate", "must not be negative")
	}
	if _, err := AnswerCheckNamed(s.Check); err != nil {
		c.add("check", "%v", err)
	}
	if len(s.Instances) == 0 {
		c.add("instances", "at least one URL is needed")
	}
	for i, u := range s.Instances {
		c.url("instances", u, fmt.Sprintf("entry %d: ", i+1))
	}
	if len(s.Streams) == 0 {
		c.add("stream", "at least one [[stream]] is needed")
	}
	for i := range s.Streams {
		c.stream(fmt.Sprintf("stream[%d]", i), s, &s.Streams[i])
	}
	for i, f := range s.Faults {
		path := fmt.Sprintf("fault[%d]", i)
		c.url(path+".url", f.URL, "")
		if f.At < 0 {
			c.add(path+".at", "must not be negative")
		}
	}
}

func (c *checker) url(path, text, prefix string) {
	u, err := url.Parse(text)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		c.add(path, "%s%q is not an http or https URL", prefix, text)
	}
}

func (c *checker) stream(path string, s *Scenario, w *Stream) {
	if w.Name == "" {
		c.add(path+".name", "must be set")
	}
	if _, err := fleet.ParseRank(w.Rank); err != nil {
		c.add(path+".rank", "%v", err)
	}
	switch {
	case w.Rate < 0 || w.Share < 0:
		c.add(path+".rate", "rate and share must not be negative")
	case (w.Rate > 0) == (w.Share > 0):
		c.add(path+".rate", "exactly one of rate and share must be set")
	case w.Share > 0 && s.Rate <= 0:
		c.add(path+".share", "needs the scenario's rate")
	}
	if w.Spread < 0 || w.Spread > 1 {
		c.add(path+".spread", "must be between 0 and 1")
	}
	if w.Call == nil {
		c.model(path, w)
	} else if w.Call.Method == "" || len(w.Call.Path) == 0 || w.Call.Path[0] != '/' {
		c.add(path+".call", "needs a method and a path that begins with /")
	}
	for i, f := range w.Floods {
		if f.Start < 0 || f.End <= f.Start || f.Factor < 0 {
			c.add(fmt.Sprintf("%s.flood[%d]", path, i), "needs start before end and a factor of at least 0")
		}
	}
}

func (c *checker) model(path string, w *Stream) {
	if len(w.Rows) == 0 {
		c.add(path+".rows", "a stream needs rows or a call")
	}
	if w.PromptWords <= 0 {
		c.add(path+".prompt_words", "must be positive")
	}
	if w.Completion <= 0 {
		c.add(path+".completion_tokens", "must be positive")
	}
}
