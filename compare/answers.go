package compare

import (
	"fmt"
	"strings"

	"github.com/hyssophaven/hyssophaven/dev"
	"github.com/hyssophaven/hyssophaven/load"
	"github.com/hyssophaven/hyssophaven/openai"
	standinengine "github.com/hyssophaven/hyssophaven/standin/engine"
	"github.com/hyssophaven/hyssophaven/table"
)

// newAnswerCheck returns a check that compares the first token of each answer
// with the one that the stand-in engine generates for the same model, adapter and
// prompt. It detects an answer that belongs to another request.
func newAnswerCheck(d dev.Deployment) load.AnswerCheck {
	snapshot := table.NewSnapshot(1, d.Rows())
	return func(r load.Request, a load.Answer) error {
		serving, ok := snapshot.Resolve(r.Row)
		if !ok {
			return nil
		}
		adapter := ""
		if serving.Adapter != nil {
			adapter = serving.Adapter.Name
		}
		prompt, err := openai.UserPrompt(r.Prompt)
		if err != nil {
			return err
		}
		want := strings.TrimSpace(standinengine.Answer(serving.Model.Name, adapter, serving.Model.Version, prompt, 1))
		if strings.TrimSpace(a.FirstText) != want {
			return fmt.Errorf("request %d to %s: first token %q, want %q", r.ID, r.Row, a.FirstText, want)
		}
		return nil
	}
}
