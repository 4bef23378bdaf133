// Package load generates open-loop load on the callers' interface from a seeded
// scenario and measures what callers see: what was sent, answered and refused,
// attainment against targets, goodput and latency per rank. Arrival times come
// from the seed alone and never wait for answers.
package load

import (
	"errors"
	"fmt"
	"net/url"
	"os"
	"time"

	"github.com/BurntSushi/toml"
	"github.com/hyssophaven/hyssophaven/finding"
	"github.com/hyssophaven/hyssophaven/fleet"
)

// Duration is a duration written as a string with a unit, such as "500ms".
type Duration time.Duration

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	*d = Duration(v)
	return err
}

// Scenario is a load to generate.
type Scenario struct {
	Seed     uint64   `toml:"seed"`
	Duration Duration `toml:"duration"` // of arrivals
	Timeout  Duration `toml:"timeout"`  // after which a caller gives up; default 2m
	// Instances are the base URLs of the callers' listeners. Each request goes
	// to one chosen at random.
	Instances []string `toml:"instances"`
	// Rate is the requests per second that streams with a share divide.
	Rate float64 `toml:"rate"`
	// Check names the check of answers: "none" or "marker".
	Check   string   `toml:"check"`
	Streams []Stream `toml:"stream"`
	Faults  []Fault  `toml:"fault"`
}

// Stream is one kind of work.
type Stream struct {
	Name  string  `toml:"name"`
	Rank  string  `toml:"rank"`  // label in the result
	Rate  float64 `toml:"rate"`  // requests per second
	Share float64 `toml:"share"` // of the scenario's rate, instead of Rate

	// Rows are the table rows asked for, each with the same probability.
	Rows        []string `toml:"rows"`
	PromptWords int      `toml:"prompt_words"`
	Completion  int      `toml:"completion_tokens"`
	// Spread is by how much both sizes vary: between 1-spread and 1+spread of
	// the given ones.
	Spread  float64 `toml:"spread"`
	Unary   bool    `toml:"unary"` // asks for the answer in one piece
	Targets Targets `toml:"targets"`
	Floods  []Flood `toml:"flood"`
	// Call replaces the model request by a call of a plain service.
	Call *Call `toml:"call"`
}

// Targets are what counts as attained. Zero means no target.
type Targets struct {
	FirstToken    Duration `toml:"first_token"`
	BetweenTokens Duration `toml:"between_tokens"` // mean within an answer
	WholeAnswer   Duration `toml:"whole_answer"`
}

// Flood multiplies the rate of a stream for a while.
type Flood struct {
	Start  Duration `toml:"start"`
	End    Duration `toml:"end"`
	Factor float64  `toml:"factor"`
}

// Call is a call of a plain service through an instance.
type Call struct {
	Method string `toml:"method"`
	Path   string `toml:"path"` // such as /services/booking/slots
	Body   string `toml:"body"`
	// Keyed sends a new Idempotency-Key with each call.
	Keyed bool `toml:"keyed"`
}

// Fault is an HTTP call made at a time after the start, such as one to the
// /faults path of a stand-in.
type Fault struct {
	At     Duration `toml:"at"`
	Method string   `toml:"method"` // default POST
	URL    string   `toml:"url"`
	Body   string   `toml:"body"`
}

const defaultTimeout = Duration(2 * time.Minute)

// ReadScenario reads and checks a scenario file. The error carries all
// findings with their places.
func ReadScenario(file string) (*Scenario, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("read scenario: %w", err)
	}
	return ParseScenario(file, string(text))
}

// ParseScenario parses and checks the text of a scenario; file is used in findings.
func ParseScenario(file, text string) (*Scenario, error) {
	s := &Scenario{Timeout: defaultTimeout, Check: "none"}
	meta, err := toml.Decode(text, s)
	c := checker{file: file, places: findPlaces(text)}
	if err != nil {
		var parse toml.ParseError
		if errors.As(err, &parse) {
			c.list.Add(finding.Finding{File: file, Line: parse.Position.Line, Column: parse.Position.Col, Key: parse.LastKey, Message: parse.Message})
		} else {
			c.list.Add(finding.Finding{File: file, Message: err.Error()})
		}
		return nil, c.list.Err()
	}
	for _, key := range meta.Undecoded() {
		for _, at := range c.places.matching(key.String()) {
			c.add(at, "unknown key")
		}
	}
	c.scenario(s)
	if err := c.list.Err(); err != nil {
		return nil, err
	}
	return s, nil
}

// checker collects findings about a scenario.
type checker struct {
	file   string
	places places
	list   finding.List
}

func (c *checker) add(path, format string, args ...any) {
	at := c.places.find(path)
	c.list.Add(finding.Finding{File: c.file, Line: at.line, Column: at.column, Key: path, Message: fmt.Sprintf(format, args...)})
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
