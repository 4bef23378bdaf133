// Package load is an open-loop load generator for the callers' interface. It
// sends the requests of a seeded scenario and measures per rank what callers
// see: requests sent, answered and refused, attainment of the targets, goodput
// and latency. Arrival times depend only on the scenario and its seed, never on
// answers.
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

// Scenario describes the load to generate and the faults to cause meanwhile.
type Scenario struct {
	Seed     uint64   `toml:"seed"`
	Duration Duration `toml:"duration"` // requests arrive for this long
	Timeout  Duration `toml:"timeout"`  // time limit of a request from its scheduled arrival; default 2m
	// Instances are the base URLs of the callers' listeners. Each request goes
	// to one chosen at random.
	Instances []string `toml:"instances"`
	// Rate is the base rate in requests per second; Stream.Share is a fraction of it.
	Rate float64 `toml:"rate"`
	// Check is the name of the AnswerCheck: "none" or "marker".
	Check   string   `toml:"check"`
	Streams []Stream `toml:"stream"`
	Faults  []Fault  `toml:"fault"`
}

// Stream describes requests of one kind, which arrive as a Poisson process.
type Stream struct {
	Name  string  `toml:"name"`
	Rank  string  `toml:"rank"`  // rank under which the results are reported
	Rate  float64 `toml:"rate"`  // requests per second
	Share float64 `toml:"share"` // rate as a fraction of Scenario.Rate; set instead of Rate

	// Rows are the table rows to request, each with the same probability.
	Rows             []string `toml:"rows"`
	PromptWords      int      `toml:"prompt_words"`
	CompletionTokens int      `toml:"completion_tokens"`
	// Spread varies PromptWords and CompletionTokens: each is drawn between
	// 1-Spread and 1+Spread times its value.
	Spread  float64 `toml:"spread"`
	Unary   bool    `toml:"unary"` // requests the answer in one piece
	Targets Targets `toml:"targets"`
	Floods  []Flood `toml:"flood"`
	// Call, if set, replaces the model request with a call of a plain service.
	Call *Call `toml:"call"`
}

// Targets are latency limits. An answer within all of them counts as attained. Zero
// means no limit.
type Targets struct {
	FirstToken    Duration `toml:"first_token"`
	BetweenTokens Duration `toml:"between_tokens"` // limit on the mean time between the tokens of an answer
	WholeAnswer   Duration `toml:"whole_answer"`
}

// Flood multiplies the rate of a stream between two times after the start.
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

// Fault is an HTTP call that causes a fault at a time after the start, such as a
// call to the /faults path of a stand-in.
type Fault struct {
	At     Duration `toml:"at"`
	Method string   `toml:"method"` // default POST
	URL    string   `toml:"url"`
	Body   string   `toml:"body"`
}

const defaultTimeout = Duration(2 * time.Minute)

// ReadScenario reads and checks a scenario file. The error contains all findings
// with their positions.
func ReadScenario(file string) (*Scenario, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("read scenario: %w", err)
	}
	return ParseScenario(file, string(text))
}

// ParseScenario parses and checks the text of a scenario. file is the file name in
// findings. The error contains all findings. The values are checked only if all
// sections could be decoded.
func ParseScenario(file, text string) (*Scenario, error) {
	var problems finding.List
	sections := tomlfile.Parse(file, []byte(text), &problems)
	if err := problems.Err(); err != nil {
		return nil, err
	}
	s := &Scenario{Timeout: defaultTimeout, Check: "none"}
	c := checker{sections: map[string]tomlfile.Section{}, problems: &problems}
	allDecoded := true
	for _, section := range sections {
		allDecoded = c.decode(section, s) && allDecoded
	}
	if allDecoded {
		c.checkScenario(s)
	}
	if err := problems.Err(); err != nil {
		return nil, err
	}
	return s, nil
}

// sectionTarget is a pointer to a struct with toml tags, or nil.
type sectionTarget any

// decode decodes one section into s and reports whether it succeeded. The sections
// of a stream must follow its [[stream]].
func (c *checker) decode(section tomlfile.Section, s *Scenario) bool {
	path, target, array := s.sectionTargetFor(section.Path)
	switch {
	case target == nil:
		section.Problemf(c.problems, "", "unknown section, or a section of a stream before the first [[stream]]")
		return false
	case section.Array != array && section.Path != "":
		section.Problemf(c.problems, "", "must be written as [%s], or as [[%[1]s]] if it can be repeated", section.Path)
		return false
	}
	section.Path = path
	if _, duplicate := c.sections[path]; duplicate {
		section.Problemf(c.problems, "", "section appears twice")
		return false
	}
	c.sections[path] = section
	return section.Decode(target, c.problems)
}

// sectionTargetFor returns the struct that the next section with the given path is
// decoded into, the struct's path with indices, and whether the section is an
// element of an array. It adds the struct to s if it is missing. The target is nil
// if the path is unknown or the section belongs to no stream.
func (s *Scenario) sectionTargetFor(path string) (indexed string, target sectionTarget, array bool) {
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
	streamPath := fmt.Sprintf("stream[%d]", len(s.Streams)-1)
	lastStream := &s.Streams[len(s.Streams)-1]
	switch path {
	case "stream.targets":
		return streamPath + ".targets", &lastStream.Targets, false
	case "stream.call":
		if lastStream.Call == nil {
			lastStream.Call = &Call{}
		}
		return streamPath + ".call", lastStream.Call, false
	case "stream.flood":
		lastStream.Floods = append(lastStream.Floods, Flood{})
		return fmt.Sprintf("%s.flood[%d]", streamPath, len(lastStream.Floods)-1), &lastStream.Floods[len(lastStream.Floods)-1], true
	}
	return "", nil, false
}
