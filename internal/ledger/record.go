package ledger

import (
	"github.com/google/uuid"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

// State is the state of a recorded request.
type State string

// The states of a record.
const (
	// Intended: its owner may have dispatched it.
	Intended State = "intended"
	// Stored: its outcome is known.
	Stored State = "stored"
	// Abandoned: its owner never dispatched it and never will.
	Abandoned State = "abandoned"
)

// MaxOutcomeBody bounds the body kept in the ledger. A longer one is left out:
// a repeat is then answered that the request ran, without the body.
const MaxOutcomeBody = 1024

// Outcome is the answer of a request's endpoint.
type Outcome struct {
	Status      int    `json:"status"` // of HTTP
	ContentType string `json:"contentType,omitempty"`
	Body        []byte `json:"body,omitempty"`
	BodyOmitted bool   `json:"cut,omitempty"` // the body was too long to keep
}

// bounded returns o within MaxOutcomeBody.
func (o Outcome) bounded() Outcome {
	if len(o.Body) > MaxOutcomeBody {
		o.Body, o.BodyOmitted = nil, true
	}
	return o
}

// Record is the ledger's record of a key.
type Record struct {
	Key           uuid.UUID         `json:"key"`
	Workspace     fleet.WorkspaceID `json:"workspace"`
	Owner         Owner             `json:"owner"`
	Digest        Digest            `json:"digest"`
	State         State             `json:"state"`
	Outcome       *Outcome          `json:"outcome,omitempty"`
	CreatedMillis int64             `json:"createdMillis"` // since the Unix epoch
}
