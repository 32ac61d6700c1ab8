package gateway

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/engineapi"
	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

// completion is a whole answer in the format of the OpenAI API.
type completion struct {
	ID      fleet.RequestID    `json:"id"`
	Object  string             `json:"object"`
	Created int64              `json:"created"`
	Model   string             `json:"model"`
	Choices []completionChoice `json:"choices"`
	Usage   *usage             `json:"usage"`
}

// completionChoice is the only element of a completion's choices.
type completionChoice struct {
	Index        int               `json:"index"`
	Message      engineapi.Message `json:"message"`
	FinishReason string            `json:"finish_reason"`
}

// sendWhole waits for the end of an answer and sends it as one JSON body. If the
// request moves to another daemon, the caller is redirected there.
func (g *Gateway) sendWhole(w http.ResponseWriter, r *http.Request, operation string, m meta, a Answer) {
	var text strings.Builder
	n := 0
	for {
		part, err := a.Next(r.Context(), n)
		if err != nil {
			return // the caller disconnected; the request continues and GET /v1/requests/{id} returns its answer
		}
		for _, token := range part.Tokens {
			text.WriteString(token)
		}
		n += len(part.Tokens)
		switch {
		case part.Failure != nil:
			g.fail(w, operation, part.Failure.ForRequest(string(m.id)))
			return
		case part.MovedTo != "":
			g.redirect(w, r, operation, part.MovedTo, m.id)
			return
		case part.Done:
			g.writeCompletion(w, operation, m, text.String(), part.Usage)
			return
		}
	}
}

// redirect sends a waiting caller to the daemon that took its request over.
func (g *Gateway) redirect(w http.ResponseWriter, r *http.Request, operation, address string, id fleet.RequestID) {
	scheme := "http"
	if r.TLS != nil {
		scheme = "https"
	}
	g.opts.Observer.Answered(operation, http.StatusSeeOther)
	w.Header().Set("Location", scheme+"://"+address+"/v1/requests/"+string(id))
	w.WriteHeader(http.StatusSeeOther)
}

func (g *Gateway) writeCompletion(w http.ResponseWriter, operation string, m meta, text string, u engineapi.Usage) {
	c := completion{
		ID:      m.id,
		Object:  "chat.completion",
		Created: m.created.Unix(),
		Model:   m.model,
		Choices: []completionChoice{{
			Message:      engineapi.Message{Role: "assistant", Content: text},
			FinishReason: finishLength,
		}},
		Usage: newUsage(u),
	}
	g.opts.Observer.Answered(operation, http.StatusOK)
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(g.opts.Limits.WriteTimeout))
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(c)
}
