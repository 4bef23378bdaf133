package suspect

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// longPrompt is a prompt with more parts than can be blocked.
func longPrompt() (parts []Part) {
	for i := range 2 * maxBlocked {
		parts = append(parts, Part(1000+i))
	}
	return parts
}

// Guards against prompts that go on crashing replicas because more of their parts are
// suspected equally than can be blocked.
func TestPromptWithTooManySuspectedPartsIsBlocked(t *testing.T) {
	t.Run("beside another block", func(t *testing.T) {
		is := is.New(t)
		f := newInstances(3)
		blockDeadly(t, f)
		for i := range 8 {
			f.crash(1+i%2, fmt.Sprint("other-", i), longPrompt()...)
			f.exchangeFor(time.Second)
		}
		is.True(f.blocked(1, longPrompt()...))
	})
	t.Run("without other instances", func(t *testing.T) {
		is := is.New(t)
		s, now := New(1), time.Unix(1_000_000, 0)
		for i := range 8 {
			s.RecordBreak(now, fmt.Sprint("other-", i), longPrompt(), true)
			now = now.Add(time.Second)
			s.Decide(now, Role{Holder: name(0)})
		}
		index, _ := s.Blocked(now, longPrompt())
		is.True(index >= 0)
	})
}
