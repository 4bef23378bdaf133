package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hyssophaven/hyssophaven/finding"
	"github.com/matryer/is"
)

const scenarioText = `seed = 7
duration = "10s"
timeout = "5s"
instances = ["http://one", "http://two"]
rate = 100.0
check = "marker"

[[stream]]
name = "slots"
rank = "urgent"
share = 0.5
rows = ["slot-confirm", "date-lookup"]
prompt_words = 10
completion_tokens = 4
spread = 0.5
targets = { first_token = "150ms", whole_answer = "1s" }

  [[stream.flood]]
  start = "4s"
  end = "6s"
  factor = 5.0

[[stream]]
name = "booking"
rank = "prompt"
rate = 10.0
call = { method = "POST", path = "/services/booking/slots", body = "{}", keyed = true }

[[fault]]
at = "3s"
url = "http://standin/faults"
body = "{}"
`

func scenario(t *testing.T) *Scenario {
	t.Helper()
	s, err := ParseScenario("s.toml", scenarioText)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// Guards against reporting only the first finding, and against findings with a
// wrong position.
func TestFindingsHavePositions(t *testing.T) {
	is := is.New(t)
	text := strings.NewReplacer(
		`rank = "prompt"`, `rank = "slow"`, `factor = 5.0`, "factor = 5.0\n  extra = 1",
		`"http://two"`, `"two"`, `check = "marker"`, `check = "other"`,
	).Replace(scenarioText)
	_, err := ParseScenario("s.toml", text)
	var got []string
	for _, f := range finding.FromError(err) {
		got = append(got, fmt.Sprintf("%s:%d:%d %s", f.File, f.Line, f.Column, f.Key))
	}
	is.Equal(got, []string{
		"s.toml:4:1 instances", "s.toml:6:1 check", "s.toml:22:3 stream[0].flood[0].extra", "s.toml:26:1 stream[1].rank",
	})
	_, err = ParseScenario("s.toml", "seed = 1\nduration = \"x\"\n")
	is.Equal(finding.FromError(err)[0].Line, 2)
	_, err = ParseScenario("s.toml", "")
	is.Equal(len(finding.FromError(err)), 3) // duration, instances and streams are missing
}

// Guards against a scenario that is decoded differently if its tables are sections
// of their own, and against assigning such a section to the wrong stream.
func TestSectionsOfStreams(t *testing.T) {
	is := is.New(t)
	text := strings.NewReplacer(
		"targets = { first_token = \"150ms\", whole_answer = \"1s\" }\n", "[stream.targets]\nfirst_token = \"150ms\"\nwhole_answer = \"1s\"\n",
		"call = { method = \"POST\", path = \"/services/booking/slots\", body = \"{}\", keyed = true }",
		"[stream.call]\nmethod = \"POST\"\npath = \"/services/booking/slots\"\nbody = \"{}\"\nkeyed = true",
		"factor = 5.0", "factor = 5",
	).Replace(scenarioText)
	s, err := ParseScenario("s.toml", text)
	is.NoErr(err)
	is.Equal(s, scenario(t))
	for _, wrong := range []string{
		"[stream.targets]\n" + scenarioText, "[stream]\n" + scenarioText, "[other]\n" + scenarioText, scenarioText + "[fault]\n",
		scenarioText + "[stream.targets]\n[stream.targets]\n",
	} {
		_, err := ParseScenario("s.toml", wrong)
		is.True(len(finding.FromError(err)) > 0)
	}
}

// Guards against arrivals that differ between runs, are out of order, or do not
// follow the rates and floods of the scenario.
func TestScheduleFollowsSeedAndRates(t *testing.T) {
	is := is.New(t)
	all := func() (out []Request) {
		s := NewSchedule(scenario(t))
		for r, ok := s.Next(); ok; r, ok = s.Next() {
			out = append(out, r)
		}
		return out
	}
	a := all()
	is.Equal(a, all())
	is.True(slices.IsSortedFunc(a, func(x, y Request) int { return int(x.At - y.At) }))
	flood, outsideFlood := 0, 0
	for _, r := range a {
		is.True(r.At < 10*time.Second)
		if r.Stream != 0 {
			continue
		}
		if r.At >= 4*time.Second && r.At < 6*time.Second {
			flood++
		} else {
			outsideFlood++
		}
	}
	is.True(flood > 400 && flood < 600)               // 2 s at 250/s
	is.True(outsideFlood > 320 && outsideFlood < 480) // 8 s at 50/s
}

// fakeInstance answers requests in memory, so that latencies are exact under
// virtual time.
type fakeInstance struct {
	faults int
	keys   map[string]bool
	answer func(n int, r chatRequest, w io.Writer)
	sent   chan int // holds the number of model requests so far
}

func (f *fakeInstance) RoundTrip(req *http.Request) (*http.Response, error) {
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return nil, err
	}
	resp := &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Request: req, Body: io.NopCloser(strings.NewReader(`{}`))}
	n := <-f.sent
	defer func() { f.sent <- n }()
	switch req.URL.Path {
	case "/faults":
		f.faults++
	case "/services/booking/slots":
		f.keys[req.Header.Get("Idempotency-Key")] = true
	case "/v1/chat/completions":
		n++
		var r chatRequest
		if err := json.Unmarshal(body, &r); err != nil {
			return nil, err
		}
		if n%10 == 0 {
			resp.StatusCode = http.StatusServiceUnavailable
			resp.Body = io.NopCloser(strings.NewReader(`{"error":{"code":"overloaded"}}`))
			break
		}
		read, write := io.Pipe()
		number := n
		go func() {
			f.answer(number, r, write)
			write.Close()
		}()
		resp.Body = read
	}
	return resp, nil
}

func newFakeInstance(answer func(int, chatRequest, io.Writer)) *fakeInstance {
	f := &fakeInstance{keys: map[string]bool{}, answer: answer, sent: make(chan int, 1)}
	f.sent <- 0
	return f
}

func writeEvent(w io.Writer, text string) {
	fmt.Fprintf(w, "data: {\"choices\":[{\"delta\":{\"content\":%q}}]}\n\n", text)
}

// Guards against counting a refused, truncated, late or wrong answer as attained,
// and against requests or faults that are not sent.
func TestRunCountsWhatCallersSee(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFakeInstance(func(n int, r chatRequest, w io.Writer) {
			marker, _, _ := strings.Cut(r.Messages[0].Content, " ")
			switch n % 10 {
			case 1: // late first token
				time.Sleep(200 * time.Millisecond)
			case 2: // answer to another request
				marker = "m0"
			}
			time.Sleep(100 * time.Millisecond)
			writeEvent(w, marker)
			if n%10 == 3 {
				return // ends without the end marker
			}
			time.Sleep(20 * time.Millisecond)
			writeEvent(w, "word")
			fmt.Fprint(w, "data: [DONE]\n\n")
		})
		s := scenario(t)
		result, err := Run(t.Context(), s, Options{Client: &http.Client{Transport: f}})
		is.NoErr(err)
		is.Equal(f.faults, 1)
		urgent, prompt := result.Ranks[0], result.Ranks[1]
		n := <-f.sent
		is.Equal(urgent.Sent, n)
		tenth := func(k int) int { return (n + 10 - k) / 10 } // requests with n%10 == k
		is.Equal(urgent.Codes, map[string]int{"overloaded": n / 10, CodeWrongAnswer: tenth(2), CodeTruncated: tenth(3)})
		is.Equal(urgent.Answered, n-n/10-tenth(2)-tenth(3))
		is.Equal(urgent.Attained, urgent.Answered-tenth(1))
		is.Equal(result.WrongAnswers(), tenth(2))
		is.Equal(len(f.keys), prompt.Sent)
		is.Equal(prompt.Attained, prompt.Sent)
		within := func(got, want float64) bool { return got > want*0.99 && got < want*1.01 }
		is.True(within(urgent.FirstToken.P50, 100) && within(urgent.BetweenTokens.P50, 20) && within(urgent.WholeAnswer.P50, 120))
		checkReports(t, result)
	})
}

// Guards against counting the beginning of an endless answer as a whole one.
func TestEndlessAnswerIsTruncated(t *testing.T) {
	is := is.New(t)
	var a Answer
	endless := io.MultiReader(strings.NewReader("{}"), strings.NewReader(strings.Repeat(" ", 2*maxBodyBytes)))
	readUnary(t.Context(), endless, &Stream{Call: &Call{}}, &a, time.Now())
	is.Equal(a.Code, CodeTruncated)
}

func checkReports(t *testing.T, r *Result) {
	is := is.New(t)
	var table, asJSON, svg bytes.Buffer
	is.NoErr(r.WriteTable(&table))
	is.True(strings.Contains(table.String(), "urgent: overloaded"))
	is.NoErr(r.WriteJSON(&asJSON))
	var back Result
	is.NoErr(json.Unmarshal(asJSON.Bytes(), &back))
	is.Equal(&back, r)
	is.NoErr(r.WriteSVG(&svg))
	is.True(strings.Contains(svg.String(), "</svg>"))
}

// Guards against a generator that waits for slow answers: requests must start at
// their scheduled times and end at the timeout.
func TestArrivalsDoNotWaitForAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		stuck, release := context.WithCancel(t.Context())
		f := newFakeInstance(func(int, chatRequest, io.Writer) { <-stuck.Done() })
		s := scenario(t)
		s.Streams = s.Streams[:1]
		client := &http.Client{Transport: cancellingTransport{f}}
		result, err := Run(t.Context(), s, Options{Client: client})
		is.NoErr(err)
		release()
		urgent := result.Ranks[0]
		is.Equal(urgent.Answered, 0)
		is.Equal(urgent.Codes[CodeTimeout]+urgent.Codes["overloaded"], urgent.Sent)
		is.True(result.StartDelay.Max < 1)
		is.True(urgent.Sent > 700) // about 900 in 10 s
	})
}

// cancellingTransport ends the body of an answer when the context of its request
// ends, as the transport of net/http does.
type cancellingTransport struct{ next http.RoundTripper }

func (c cancellingTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	resp, err := c.next.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	if p, ok := resp.Body.(*io.PipeReader); ok {
		context.AfterFunc(req.Context(), func() { p.CloseWithError(req.Context().Err()) })
	}
	return resp, nil
}

// Guards against a run that continues after the end of its context.
func TestRunStops(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		defer cancel()
		f := newFakeInstance(func(_ int, r chatRequest, w io.Writer) { fmt.Fprint(w, "data: [DONE]\n\n") })
		started := time.Now()
		result, err := Run(ctx, scenario(t), Options{Client: &http.Client{Transport: f}, Check: func(Request, Answer) error { return nil }})
		is.Equal(err, context.DeadlineExceeded)
		is.True(time.Since(started) < 3*time.Second)
		is.Equal(len(result.FaultErrors), 1) // the fault at 3 s was not caused
	})
}
