package caller

import (
	"encoding/json"

	"github.com/cyclamenbeam/cyclamenbeam/internal/engineapi"
)

// chunk is the data of a piece of an answer, in the form that callers of model
// servers know.
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

// finished reports whether the answer ends with this piece.
func (c *chunk) finished() bool {
	return len(c.Choices) > 0 && c.Choices[0].FinishReason != nil
}

// parse reads data over what the chunk held before.
func (c *chunk) parse(data []byte) error {
	// The decoder leaves fields that the data doesn't name as they were, also
	// in elements beyond the slice's length.
	clear(c.Choices)
	c.Choices = c.Choices[:0]
	c.Usage = nil
	return Error.Wrap(json.Unmarshal(data, c))
}

// movedTo is the data of a moved event. An empty address means: any entry.
type movedTo struct {
	Address string `json:"address"`
}
