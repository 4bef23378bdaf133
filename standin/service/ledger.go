package standinservice

import (
	"net/http"
	"slices"
	"time"

	"github.com/hyssophaven/hyssophaven/internal/jsonhttp"
)

// Entry describes one execution of a non-idempotent call.
type Entry struct {
	Sequence  uint64    `json:"sequence"`
	Call      string    `json:"call"` // method and path
	Reference string    `json:"reference"`
	At        time.Time `json:"at"`
}

// Ledger lists all executions of non-idempotent calls, in order.
type Ledger struct {
	Entries []Entry `json:"entries"`
	// Duplicates is the number of executions beyond the first with the same call
	// and reference.
	Duplicates int `json:"doubles"`
}

// Executions returns the number of executions with the given reference.
func (l Ledger) Executions(reference string) int {
	n := 0
	for _, e := range l.Entries {
		if e.Reference == reference {
			n++
		}
	}
	return n
}

// Ledger returns a copy of the ledger.
func (s *Service) Ledger() Ledger {
	var out Ledger
	s.owner.Do(func() { out = Ledger{Entries: slices.Clone(s.ledger.Entries), Duplicates: s.ledger.Duplicates} })
	return out
}

// recordExecution appends an execution to the ledger and returns its sequence
// number. It must run on the owner goroutine.
func (s *Service) recordExecution(call, reference string) uint64 {
	sequence := uint64(len(s.ledger.Entries) + 1)
	s.ledger.Entries = append(s.ledger.Entries, Entry{Sequence: sequence, Call: call, Reference: reference, At: time.Now()})
	key := execution{call, reference}
	s.executionCounts[key]++
	if s.executionCounts[key] > 1 {
		s.ledger.Duplicates++
	}
	return sequence
}

func (s *Service) getLedger(w http.ResponseWriter, _ *http.Request) {
	ledger := s.Ledger()
	if ledger.Entries == nil {
		ledger.Entries = []Entry{}
	}
	jsonhttp.WriteJSON(w, http.StatusOK, ledger)
}
