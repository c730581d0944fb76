// Package openai defines the types of the OpenAI HTTP API that wheelhoist and the engines serve; see
// https://platform.openai.com/docs/api-reference.
package openai

import (
	"encoding/json"
	"strings"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("openai")

// Paths of the API, below the base URL.
const (
	PathChatCompletions = "/v1/chat/completions"
	PathCompletions     = "/v1/completions"
	PathModels          = "/v1/models"
	PathFiles           = "/v1/files"
	PathBatches         = "/v1/batches"
)

// Content is the text of a message. It accepts a string or a list of text parts.
type Content string

// UnmarshalJSON implements json.Unmarshaler.
func (c *Content) UnmarshalJSON(data []byte) error {
	if len(data) > 0 && data[0] == '"' {
		var text string
		if err := json.Unmarshal(data, &text); err != nil {
			return err
		}
		*c = Content(text)
		return nil
	}
	var parts []struct {
		Type string `json:"type"`
		Text string `json:"text"`
	}
	if err := json.Unmarshal(data, &parts); err != nil {
		return err
	}
	var builder strings.Builder
	for _, part := range parts {
		builder.WriteString(part.Text)
	}
	*c = Content(builder.String())
	return nil
}

// Message is one message of a conversation.
type Message struct {
	Role    string  `json:"role"`
	Content Content `json:"content"`
}

// CompletionRequest holds the fields of a chat or text completion request that determine where and how
// it runs. All other fields are forwarded unchanged.
type CompletionRequest struct {
	Model               string    `json:"model"`
	Messages            []Message `json:"messages,omitempty"`
	Prompt              Content   `json:"prompt,omitempty"`
	Stream              bool      `json:"stream,omitempty"`
	MaxTokens           int       `json:"max_tokens,omitempty"`
	MaxCompletionTokens int       `json:"max_completion_tokens,omitempty"`
	Seed                int64     `json:"seed,omitempty"`
	Priority            int       `json:"priority,omitempty"`
}

// ParseCompletion decodes and validates the body of a completion request.
func ParseCompletion(body []byte) (CompletionRequest, error) {
	var request CompletionRequest
	if err := json.Unmarshal(body, &request); err != nil {
		return request, Error.New("request body is not valid JSON for a completion: %v", err)
	}
	var group errs.Group
	if request.Model == "" {
		group.Add(Error.New("model: must be set"))
	}
	if len(request.Messages) == 0 && request.Prompt == "" {
		group.Add(Error.New("messages or prompt: must not be empty"))
	}
	if request.Limit() < 0 {
		group.Add(Error.New("max_tokens: must not be negative"))
	}
	return request, group.Err()
}

// Limit returns the maximum number of tokens to generate; zero means the engine's default.
func (r *CompletionRequest) Limit() int {
	if r.MaxCompletionTokens != 0 {
		return r.MaxCompletionTokens
	}
	return r.MaxTokens
}

// PromptText returns the text from which the engine builds the prompt.
func (r *CompletionRequest) PromptText() string {
	if len(r.Messages) == 0 {
		return string(r.Prompt)
	}
	var builder strings.Builder
	for _, message := range r.Messages {
		builder.WriteString(message.Role)
		builder.WriteString(": ")
		builder.WriteString(string(message.Content))
		builder.WriteByte('\n')
	}
	return builder.String()
}

// Usage counts the tokens of a request.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// Choice is one alternative answer of a chat or text completion.
type Choice struct {
	Index        int      `json:"index"`
	Message      *Message `json:"message,omitempty"`
	Delta        *Message `json:"delta,omitempty"`
	Text         string   `json:"text,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

// Completion is a complete answer or one chunk of a streamed answer.
type Completion struct {
	ID                string   `json:"id"`
	Object            string   `json:"object"`
	Created           int64    `json:"created"`
	Model             string   `json:"model"`
	SystemFingerprint string   `json:"system_fingerprint,omitempty"`
	Choices           []Choice `json:"choices"`
	Usage             *Usage   `json:"usage,omitempty"`
}

// Text returns the text of the first choice of a chat or text completion, streamed or not.
func (c *Completion) Text() string {
	if len(c.Choices) == 0 {
		return ""
	}
	choice := c.Choices[0]
	switch {
	case choice.Message != nil:
		return string(choice.Message.Content)
	case choice.Delta != nil:
		return string(choice.Delta.Content)
	default:
		return choice.Text
	}
}

// WholeAnswer returns the non-streamed form of a streamed answer, given its last chunk and complete
// text. path is the path of the request.
func WholeAnswer(last Completion, text, path string) Completion {
	reason := "stop"
	choice := Choice{FinishReason: &reason}
	if path == PathChatCompletions {
		last.Object = "chat.completion"
		choice.Message = &Message{Role: "assistant", Content: Content(text)}
	} else {
		last.Object = "text_completion"
		choice.Text = text
	}
	last.Choices = []Choice{choice}
	return last
}

// DoneMarker is the data of the event that ends a streamed answer.
const DoneMarker = "[DONE]"
