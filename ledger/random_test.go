package ledger

import (
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// rare reports whether the choice with this name consumes a budget. Such choices
// are drawn less often, so that the owners make progress between them.
func rare(name string) bool {
	return !strings.HasPrefix(name, "owner") && !strings.HasPrefix(name, "order") && !strings.HasPrefix(name, "engine releases") &&
		!strings.HasPrefix(name, "request ends") || strings.HasSuffix(name, "late") || strings.HasSuffix(name, "lost") ||
		strings.HasSuffix(name, "out") || strings.HasSuffix(name, "duplicated") || strings.Contains(name, "unknown")
}

// Guards against overcommitted memory and aborted requests in longer histories
// than the exploration covers: random sequences with more models, adapters,
// versions, takeovers, restarts and faults.
func TestRandomHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := rapid.SampledFrom(engineKinds).Draw(t, "engine")
		item := rapid.Custom(func(t *rapid.T) Item {
			return Item{Name: rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "name"),
				Version: fmt.Sprint(rapid.IntRange(1, 2).Draw(t, "version")), MemoryMB: 10 * rapid.IntRange(1, 5).Draw(t, "size")}
		})
		adapter := rapid.Custom(func(t *rapid.T) Item {
			return Item{Name: rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "name"),
				Base: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "base"), Version: "1", MemoryMB: 10}
		})
		c := &config{checksTokens: e.checks, tokensSurvive: e.survive, budget: budget{
			ticks: 30, takeovers: 6, targetChanges: 12, duplicates: 8, losses: 8, timeouts: 8, lateSends: 3, restarts: 3, storeFaults: 6, requests: 10, instanceLoads: 8,
		}}
		for range 12 {
			target := rapid.SliceOfNDistinct(item, 0, 4, func(i Item) Key { return i.Key() }).Draw(t, "models")
			c.targets = append(c.targets, append(target, rapid.SliceOfNDistinct(adapter, 0, 3, func(i Item) Key { return i.Key() }).Draw(t, "adapters")...))
		}
		w := newSimulation(c)
		for range 600 {
			choices := w.choices()
			if len(choices) == 0 {
				return
			}
			var usual []choice
			for _, ch := range choices {
				if !rare(ch.name) {
					usual = append(usual, ch)
				}
			}
			if len(usual) > 0 && rapid.IntRange(0, 9).Draw(t, "fault") > 0 {
				choices = usual
			}
			ch := choices[rapid.IntRange(0, len(choices)-1).Draw(t, "choice")]
			t.Log(ch.name)
			ch.do(w)
			if w.violation != "" {
				t.Fatal(w.violation)
			}
		}
	})
}
