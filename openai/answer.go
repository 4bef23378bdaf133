package openai

// Answer is a complete, unstreamed answer.
type Answer struct {
	ID           string // request id, without the prefix for the kind of request
	Model        string // name of the table row that the caller addressed
	Created      int64  // Unix seconds
	Text         string
	FinishReason string
	Usage        Usage
}

type usageBody struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

func newUsageBody(u Usage) usageBody {
	return usageBody{u.PromptTokens, u.CompletionTokens, u.PromptTokens + u.CompletionTokens}
}

type answerBody struct {
	ID      string    `json:"id"`
	Object  string    `json:"object"`
	Created int64     `json:"created"`
	Model   string    `json:"model"`
	Choices [1]choice `json:"choices"`
	Usage   usageBody `json:"usage"`
}

type choice struct {
	Index        int            `json:"index"`
	Message      *answerMessage `json:"message,omitempty"`
	Text         *string        `json:"text,omitempty"`
	Logprobs     *struct{}      `json:"logprobs"`
	FinishReason string         `json:"finish_reason"`
}

type answerMessage struct {
	Role    string  `json:"role"`
	Content string  `json:"content"`
	Refusal *string `json:"refusal"`
}

// AppendAnswer appends the JSON encoding of a to dst.
func AppendAnswer(dst []byte, kind Kind, a Answer) []byte {
	b := answerBody{ID: answerID(kind, a.ID), Created: a.Created, Model: a.Model, Usage: newUsageBody(a.Usage)}
	c := &b.Choices[0]
	c.FinishReason = a.FinishReason
	if kind == Chat {
		b.Object = "chat.completion"
		c.Message = &answerMessage{Role: "assistant", Content: a.Text}
	} else {
		b.Object = "text_completion"
		c.Text = &a.Text
	}
	return appendJSON(dst, b)
}

func answerID(kind Kind, requestID string) string {
	if kind == Chat {
		return "chatcmpl-" + requestID
	}
	return "cmpl-" + requestID
}

type modelBody struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

type modelListBody struct {
	Object string      `json:"object"`
	Data   []modelBody `json:"data"`
}

func newModelBody(name string) modelBody {
	return modelBody{ID: name, Object: "model", OwnedBy: "hyssophaven"}
}

// AppendModel appends the JSON description of one model to dst.
func AppendModel(dst []byte, name string) []byte { return appendJSON(dst, newModelBody(name)) }

// AppendModels appends the JSON list of the models with the given names to dst.
func AppendModels(dst []byte, names []string) []byte {
	list := modelListBody{Object: "list", Data: make([]modelBody, len(names))}
	for i, n := range names {
		list.Data[i] = newModelBody(n)
	}
	return appendJSON(dst, list)
}
