package integration

import (
	"bytes"
	"encoding/json"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cyclamenbeam/cyclamenbeam/internal/deployment"
	"github.com/cyclamenbeam/cyclamenbeam/internal/engineapi"
	"github.com/cyclamenbeam/cyclamenbeam/internal/load/caller"
)

// chatAnswer is what the tests need of a whole completion.
type chatAnswer struct {
	Choices []struct {
		Message engineapi.Message `json:"message"`
	} `json:"choices"`
}

// chat asks an entry for a completion in one piece and returns its text.
func chat(t *testing.T, address string, messages []engineapi.Message, tokens int) string {
	t.Helper()
	body, err := json.Marshal(chatBody{Model: model, Messages: messages, MaxTokens: tokens})
	assert.NilError(t, err)
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+address+caller.CompletionsPath, bytes.NewReader(body))
	assert.NilError(t, err)
	r.Header.Set("Authorization", "Bearer "+deployment.DevToken)
	resp, err := http.DefaultClient.Do(r)
	assert.NilError(t, err)
	defer func() { _ = resp.Body.Close() }()
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	var a chatAnswer
	assert.NilError(t, json.NewDecoder(resp.Body).Decode(&a))
	assert.Equal(t, len(a.Choices), 1)
	return a.Choices[0].Message.Content
}
