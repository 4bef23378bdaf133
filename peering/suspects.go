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
	Trial        uint64         `json:"t,omitempty"`
}

// suspectsMessage is an instance's report on prompt parts. It is left out while there is
// nothing to report.
type suspectsMessage struct {
	Incarnation uint64                 `json:"n"`
	Crashes     []crashMessage         `json:"c,omitempty"`
	Cleared     map[suspect.Part]int64 `json:"k,omitempty"`
	Proven      map[suspect.Part]int   `json:"o,omitempty"`
	Answers     uint64                 `json:"s,omitempty"`
	Blocked     []blockMessage         `json:"b,omitempty"`
}

// verdictsMessage is the holder's answer to a suspectsMessage.
type verdictsMessage struct {
	CrashVersion uint64         `json:"v,omitempty"`
	Suspected    []suspect.Part `json:"s,omitempty"`
	Blocked      []blockMessage `json:"b,omitempty"`
}

func encodeSuspects(r suspect.Report) *suspectsMessage {
	if !r.IsNeeded() {
		return nil
	}
	m := &suspectsMessage{Incarnation: r.Incarnation, Blocked: encodeBlocks(r.Blocked), Proven: r.Proven, Answers: r.Answers}
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
	r := suspect.Report{Incarnation: m.Incarnation, Blocked: decodeBlocks(m.Blocked), Proven: m.Proven, Answers: m.Answers, Cleared: make(map[suspect.Part]time.Duration, len(m.Cleared))}
	for _, c := range m.Crashes {
		r.Crashes = append(r.Crashes, suspect.Crash{ID: c.ID, Version: c.Version, Replica: c.Replica, Age: fromMilliseconds(c.Age), Parts: c.Parts, Began: c.Began})
	}
	for p, age := range m.Cleared {
		r.Cleared[p] = fromMilliseconds(age)
	}
	return r
}

func encodeVerdicts(v suspect.Verdicts) *verdictsMessage {
	if v.CrashVersion == 0 && len(v.Suspected) == 0 && len(v.Blocked) == 0 {
		return nil
	}
	return &verdictsMessage{CrashVersion: v.CrashVersion, Suspected: v.Suspected, Blocked: encodeBlocks(v.Blocked)}
}

func decodeVerdicts(m *verdictsMessage) suspect.Verdicts {
	if m == nil {
		return suspect.Verdicts{}
	}
	return suspect.Verdicts{CrashVersion: m.CrashVersion, Suspected: m.Suspected, Blocked: decodeBlocks(m.Blocked)}
}

func encodeBlocks(blocks []suspect.Block) []blockMessage {
	var out []blockMessage
	for _, b := range blocks {
		out = append(out, blockMessage{Parts: b.Parts, Wait: b.Wait.Milliseconds(), LastCrashAge: b.LastCrashAge.Milliseconds(), Failures: b.Failures, Wanted: b.Wanted, Trial: b.Trial})
	}
	return out
}

func decodeBlocks(messages []blockMessage) []suspect.Block {
	var out []suspect.Block
	for _, m := range messages {
		out = append(out, suspect.Block{Parts: m.Parts, Wait: fromMilliseconds(m.Wait), LastCrashAge: fromMilliseconds(m.LastCrashAge), Failures: m.Failures, Wanted: m.Wanted, Trial: m.Trial})
	}
	return out
}
