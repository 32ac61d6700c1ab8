package gateway

import (
	"strconv"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/engineapi"
	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

// meta holds the fields that every chunk of an answer repeats, and the start
// time of the HTTP response.
type meta struct {
	id      fleet.RequestID
	model   string
	created time.Time
	start   time.Time // of this HTTP response, for the latency to the first token
}

// delta is the part of the message that a chunk adds.
type delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

// chunkChoice is the only element of a chunk's choices.
type chunkChoice struct {
	Index        int     `json:"index"`
	Delta        delta   `json:"delta"`
	FinishReason *string `json:"finish_reason"`
}

// usage is the token counts in the format of the OpenAI API.
type usage struct {
	PromptTokens        int          `json:"prompt_tokens"`
	CompletionTokens    int          `json:"completion_tokens"`
	TotalTokens         int          `json:"total_tokens"`
	PromptTokensDetails usageDetails `json:"prompt_tokens_details"`
}

type usageDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

func newUsage(u engineapi.Usage) *usage {
	return &usage{
		PromptTokens:        u.PromptTokens,
		CompletionTokens:    u.CompletionTokens,
		TotalTokens:         u.PromptTokens + u.CompletionTokens,
		PromptTokensDetails: usageDetails{CachedTokens: u.CachedTokens},
	}
}

// chunk is the data of one event of a streamed answer.
type chunk struct {
	ID      fleet.RequestID `json:"id"`
	Object  string          `json:"object"`
	Created int64           `json:"created"`
	Model   string          `json:"model"`
	Choices []chunkChoice   `json:"choices"`
	Usage   *usage          `json:"usage,omitempty"`
}

// finishLength is the finish_reason of every answer, since engines always
// generate max_tokens tokens. It is a variable because chunkChoice points to it.
var finishLength = "length"

func (m meta) chunk(c chunkChoice, u *usage) chunk {
	return chunk{
		ID:      m.id,
		Object:  "chat.completion.chunk",
		Created: m.created.Unix(),
		Model:   m.model,
		Choices: []chunkChoice{c},
		Usage:   u,
	}
}

// tokenPrefix returns the JSON of a token's chunk up to the token's text. It is
// built once per stream, so that no chunk of a token needs the JSON encoder.
func (m meta) tokenPrefix() []byte {
	b := []byte(`{"id":`)
	b = appendJSONString(b, string(m.id))
	b = append(b, `,"object":"chat.completion.chunk","created":`...)
	b = strconv.AppendInt(b, m.created.Unix(), 10)
	b = append(b, `,"model":`...)
	b = appendJSONString(b, m.model)
	return append(b, `,"choices":[{"index":0,"delta":{"content":`...)
}

// tokenSuffix is the JSON of a token's chunk after the token's text.
const tokenSuffix = `},"finish_reason":null}]}`
