package caller

import (
	"encoding/json"

	"github.com/cyclamenbeam/cyclamenbeam/internal/engineapi"
)

// chunk is the data of one event of a streamed answer, a chat completion chunk
// of the OpenAI API.
type chunk struct {
	Choices []chunkChoice    `json:"choices"`
	Usage   *engineapi.Usage `json:"usage"`
}

type chunkChoice struct {
	Delta        chunkDelta `json:"delta"`
	FinishReason *string    `json:"finish_reason"`
}

type chunkDelta struct {
	Content string `json:"content"`
}

// content returns the text of the first choice.
func (c *chunk) content() string {
	if len(c.Choices) == 0 {
		return ""
	}
	return c.Choices[0].Delta.Content
}

// finished reports whether this is the answer's last chunk.
func (c *chunk) finished() bool {
	return len(c.Choices) > 0 && c.Choices[0].FinishReason != nil
}

// parse decodes data into the chunk, replacing its content.
func (c *chunk) parse(data []byte) error {
	// The decoder leaves fields that are absent from data unchanged, also in
	// elements beyond the slice's length.
	clear(c.Choices)
	c.Choices = c.Choices[:0]
	c.Usage = nil
	return Error.Wrap(json.Unmarshal(data, c))
}

// movedTo is the data of a moved event. An empty address stands for any entry.
type movedTo struct {
	Address string `json:"address"`
}
