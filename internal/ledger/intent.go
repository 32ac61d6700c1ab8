package ledger

import (
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

// Digest is a SHA-256 of a request, so that a key reused with another body is
// refused.
type Digest [32]byte

// Owner names one daemon's one wish to dispatch one request. It is never
// reused: a grant to an owner allows one dispatch.
type Owner string

// Intent is the wish to dispatch a request.
type Intent struct {
	Workspace fleet.WorkspaceID
	Key       Key
	Owner     Owner
	Digest    Digest
	Deadline  time.Time // after it the owner no longer waits
}
