package peering

import (
	"time"

	"github.com/hyssophaven/hyssophaven/suspect"
)

// Times in these messages are in milliseconds.

type crashMessage struct {
	ID      uint64         `json:"i"`
	Version uint64         `json:"v"`
	Replica string         `json:"r"`
	Age     int64          `json:"a"`
	Parts   []suspect.Part `json:"p,omitempty"`
	Began   bool           `json:"b,omitempty"`
}

type blockMessage struct {
	Parts        []suspect.Part `json:"p"`
	Wait         int64          `json:"w,omitempty"`
	LastCrashAge int64          `json:"a"`
	Failures     int            `json:"f,omitempty"`
	Wanted       bool           `json:"r,omitempty"`
	Probe        uint64         `json:"t,omitempty"`
}

// suspectsMessage is an instance's report on prompt parts. It is left out while there is
// nothing to report.
type suspectsMessage struct {
	Incarnation   uint64                  `json:"n"`
	Crashes       []crashMessage          `json:"c,omitempty"`
	Cleared       map[suspect.Part]int64  `json:"k,omitempty"`
	RecentAnswers map[suspect.Part]int    `json:"o,omitempty"`
	Answers       uint64                  `json:"s,omitempty"`
	AnswersWith   map[suspect.Part]uint64 `json:"w,omitempty"`
	Blocked       []blockMessage          `json:"b,omitempty"`
}

// decisionsMessage is the holder's answer to a suspectsMessage.
type decisionsMessage struct {
	CrashVersion uint64         `json:"v,omitempty"`
	Suspected    []suspect.Part `json:"s,omitempty"`
	Blocked      []blockMessage `json:"b,omitempty"`
}

func encodeSuspects(r suspect.Report) *suspectsMessage {
	if !r.IsNeeded() {
		return nil
	}
	return newSuspectsMessage(r)
}

func newSuspectsMessage(r suspect.Report) *suspectsMessage {
	m := &suspectsMessage{Incarnation: r.Incarnation, Blocked: encodeBlocks(r.Blocked), RecentAnswers: r.RecentAnswers, Answers: r.Answers, AnswersWith: r.AnswersWith}
	for _, c := range r.Crashes {
		m.Crashes = append(m.Crashes, crashMessage{ID: c.ID, Version: c.Version, Replica: c.Replica, Age: c.Age.Milliseconds(), Parts: c.Parts, Began: c.Began})
	}
	if len(r.Cleared) > 0 {
		m.Cleared = make(map[suspect.Part]int64, len(r.Cleared))
	}
	for p, age := range r.Cleared {
		m.Cleared[p] = age.Milliseconds()
	}
	return m
}

func decodeSuspects(m *suspectsMessage) suspect.Report {
	if m == nil {
		return suspect.Report{}
	}
	r := suspect.Report{Incarnation: m.Incarnation, Blocked: decodeBlocks(m.Blocked), RecentAnswers: m.RecentAnswers, Answers: m.Answers, AnswersWith: m.AnswersWith, Cleared: make(map[suspect.Part]time.Duration, len(m.Cleared))}
	for _, c := range m.Crashes {
		r.Crashes = append(r.Crashes, suspect.Crash{ID: c.ID, Version: c.Version, Replica: c.Replica, Age: fromMilliseconds(c.Age), Parts: c.Parts, Began: c.Began})
	}
	for p, age := range m.Cleared {
		r.Cleared[p] = fromMilliseconds(age)
	}
	return r
}

// encodeDecisions returns a message also if there is nothing to say, so that it can be told
// from a holder of a version without decisions.
func encodeDecisions(v *suspect.Decisions) *decisionsMessage {
	if v == nil {
		return nil
	}
	return &decisionsMessage{CrashVersion: v.CrashVersion, Suspected: v.Suspected, Blocked: encodeBlocks(v.Blocked)}
}

func decodeDecisions(m *decisionsMessage) *suspect.Decisions {
	if m == nil {
		return nil
	}
	return &suspect.Decisions{CrashVersion: m.CrashVersion, Suspected: m.Suspected, Blocked: decodeBlocks(m.Blocked)}
}

func encodeBlocks(blocks []suspect.Block) []blockMessage {
	var out []blockMessage
	for _, b := range blocks {
		out = append(out, blockMessage{Parts: b.Parts, Wait: b.Wait.Milliseconds(), LastCrashAge: b.LastCrashAge.Milliseconds(), Failures: b.Failures, Wanted: b.Wanted, Probe: b.Probe})
	}
	return out
}

func decodeBlocks(messages []blockMessage) []suspect.Block {
	var out []suspect.Block
	for _, m := range messages {
		out = append(out, suspect.Block{Parts: m.Parts, Wait: fromMilliseconds(m.Wait), LastCrashAge: fromMilliseconds(m.LastCrashAge), Failures: m.Failures, Wanted: m.Wanted, Probe: m.Probe})
	}
	return out
}
