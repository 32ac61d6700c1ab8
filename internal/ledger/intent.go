package ledger

import (
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

// Digest is a SHA-256 of a request, so that a key reused with another body is
// refused.
type Digest [32]byte

// Owner names one daemon's one wish to dispatch one request. It is never
// reused, and put to one writer once. Failure: a writer refuses an owner as
// late and frees its key while another writer grants it. Symptom: the next
// owner is granted the same key. So who asks a second time, or elsewhere, asks
// as a new owner, and never dispatches for the first.
type Owner string

// Intent is the wish to dispatch a request.
type Intent struct {
	Workspace fleet.WorkspaceID
	Key       Key
	Owner     Owner
	Digest    Digest
	Deadline  time.Time // after it the owner no longer waits
}
