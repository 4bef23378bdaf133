// Package load generates open-loop load on the callers' interface from a seeded
// scenario and measures what callers see: what was sent, answered and refused,
// attainment against targets, goodput and latency per rank. Arrival times come
// from the seed alone and never wait for answers.
package load

import (
	"fmt"
	"os"
	"time"

	"github.com/hyssophaven/hyssophaven/finding"
	"github.com/hyssophaven/hyssophaven/tomlfile"
)

// Duration is a duration written as text with a unit, such as "500ms".
type Duration = tomlfile.Duration

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

// ParseScenario parses and checks the text of a scenario; file is used in
// findings. The error carries all findings; the values are checked once all of
// them have their types.
func ParseScenario(file, text string) (*Scenario, error) {
	var problems finding.List
	sections := tomlfile.Parse(file, []byte(text), &problems)
	if err := problems.Err(); err != nil {
		return nil, err
	}
	s := &Scenario{Timeout: defaultTimeout, Check: "none"}
	c := checker{sections: map[string]tomlfile.Section{}, problems: &problems}
	complete := true
	for _, section := range sections {
		complete = c.decode(section, s) && complete
	}
	if complete {
		c.scenario(s)
	}
	if err := problems.Err(); err != nil {
		return nil, err
	}
	return s, nil
}

// sectionTarget is a pointer to a struct with toml tags.
type sectionTarget any

// decode adds one section to s and reports whether its values were decoded.
// Sections of a stream follow its [[stream]].
func (c *checker) decode(section tomlfile.Section, s *Scenario) bool {
	path, target, array := s.place(section.Path)
	switch {
	case target == nil:
		section.Problemf(c.problems, "", "unknown section, or a section of a stream before the first [[stream]]")
		return false
	case section.Array != array && section.Path != "":
		section.Problemf(c.problems, "", "must be written as [%s], or as [[%[1]s]] if it can be repeated", section.Path)
		return false
	}
	section.Path = path
	if _, twice := c.sections[path]; twice {
		section.Problemf(c.problems, "", "section appears twice")
		return false
	}
	c.sections[path] = section
	return section.Decode(target, c.problems)
}

// place returns the struct that the next section with the given path is decoded
// into, that struct's path with indices, and whether the section is an element
// of an array. The target is nil if the section has no place.
func (s *Scenario) place(path string) (indexed string, target sectionTarget, array bool) {
	switch path {
	case "":
		return "", s, false
	case "stream":
		s.Streams = append(s.Streams, Stream{})
		return fmt.Sprintf("stream[%d]", len(s.Streams)-1), &s.Streams[len(s.Streams)-1], true
	case "fault":
		s.Faults = append(s.Faults, Fault{})
		return fmt.Sprintf("fault[%d]", len(s.Faults)-1), &s.Faults[len(s.Faults)-1], true
	}
	if len(s.Streams) == 0 {
		return "", nil, false
	}
	stream := fmt.Sprintf("stream[%d]", len(s.Streams)-1)
	w := &s.Streams[len(s.Streams)-1]
	switch path {
	case "stream.targets":
		return stream + ".targets", &w.Targets, false
	case "stream.call":
		if w.Call == nil {
			w.Call = &Call{}
		}
		return stream + ".call", w.Call, false
	case "stream.flood":
		w.Floods = append(w.Floods, Flood{})
		return fmt.Sprintf("%s.flood[%d]", stream, len(w.Floods)-1), &w.Floods[len(w.Floods)-1], true
	}
	return "", nil, false
}
