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

// addFinding adds a finding about path. Its position is that of the key or, if the
// file doesn't have it, of the innermost section around it.
func (c *checker) addFinding(path, format string, args ...any) {
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

func (c *checker) checkScenario(s *Scenario) {
	if s.Duration <= 0 {
		c.addFinding("duration", "must be positive")
	}
	if s.Timeout <= 0 {
		c.addFinding("timeout", "must be positive")
	}
	if s.Rate < 0 {
		c.addFinding("rate", "must not be negative")
	}
	if _, err := AnswerCheckNamed(s.Check); err != nil {
		c.addFinding("check", "%v", err)
	}
	if len(s.Instances) == 0 {
		c.addFinding("instances", "at least one URL is needed")
	}
	for i, u := range s.Instances {
		c.checkURL("instances", u, fmt.Sprintf("entry %d: ", i+1))
	}
	if len(s.Streams) == 0 {
		c.addFinding("stream", "at least one [[stream]] is needed")
	}
	for i := range s.Streams {
		c.checkStream(fmt.Sprintf("stream[%d]", i), s, &s.Streams[i])
	}
	for i, f := range s.Faults {
		path := fmt.Sprintf("fault[%d]", i)
		c.checkURL(path+".url", f.URL, "")
		if f.At < 0 {
			c.addFinding(path+".at", "must not be negative")
		}
	}
}

func (c *checker) checkURL(path, text, prefix string) {
	u, err := url.Parse(text)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		c.addFinding(path, "%s%q is not an http or https URL", prefix, text)
	}
}

func (c *checker) checkStream(path string, s *Scenario, stream *Stream) {
	if stream.Name == "" {
		c.addFinding(path+".name", "must be set")
	}
	if _, err := fleet.ParseRank(stream.Rank); err != nil {
		c.addFinding(path+".rank", "%v", err)
	}
	switch {
	case stream.Rate < 0 || stream.Share < 0:
		c.addFinding(path+".rate", "rate and share must not be negative")
	case (stream.Rate > 0) == (stream.Share > 0):
		c.addFinding(path+".rate", "exactly one of rate and share must be set")
	case stream.Share > 0 && s.Rate <= 0:
		c.addFinding(path+".share", "needs the scenario's rate")
	}
	if stream.Spread < 0 || stream.Spread > 1 {
		c.addFinding(path+".spread", "must be between 0 and 1")
	}
	if stream.Call == nil {
		c.checkModelRequest(path, stream)
	} else if stream.Call.Method == "" || len(stream.Call.Path) == 0 || stream.Call.Path[0] != '/' {
		c.addFinding(path+".call", "needs a method and a path that begins with /")
	}
	for i, f := range stream.Floods {
		if f.Start < 0 || f.End <= f.Start || f.Factor < 0 {
			c.addFinding(fmt.Sprintf("%s.flood[%d]", path, i), "needs start before end and a factor of at least 0")
		}
	}
}

func (c *checker) checkModelRequest(path string, stream *Stream) {
	if len(stream.Rows) == 0 {
		c.addFinding(path+".rows", "a stream needs rows or a call")
	}
	if stream.PromptWords <= 0 {
		c.addFinding(path+".prompt_words", "must be positive")
	}
	if stream.CompletionTokens <= 0 {
		c.addFinding(path+".completion_tokens", "must be positive")
	}
}
