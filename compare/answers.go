package compare

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/hyssophaven/hyssophaven/dev"
	"github.com/hyssophaven/hyssophaven/load"
	standinengine "github.com/hyssophaven/hyssophaven/standin/engine"
	"github.com/hyssophaven/hyssophaven/table"
)

// answerCheck compares the first token of each answer with the one that the
// stand-in engine generates for that request and no other.
func answerCheck(d dev.Deployment) load.AnswerCheck {
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
		want := strings.TrimSpace(standinengine.Answer(serving.Model.Name, adapter, serving.Model.Version, canonicalPrompt(r.Prompt), 1))
		if strings.TrimSpace(a.FirstText) != want {
			return fmt.Errorf("request %d to %s: first token %q, want %q", r.ID, r.Row, a.FirstText, want)
		}
		return nil
	}
}

// canonicalPrompt is the form of one user message in which engines get it.
func canonicalPrompt(text string) string {
	quoted, err := json.Marshal(text)
	if err != nil {
		return ""
	}
	return `{"messages":[{"role":"user","content":` + string(quoted) + `}]}`
}
