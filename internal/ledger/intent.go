package ledger

import (
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

// Digest is the SHA-256 of a request, by which a key reused with another body is
// refused.
type Digest [32]byte

// Owner identifies one daemon's attempt to dispatch one request. It is never
// reused, and submitted to one writer once. A second attempt, or one at another
// writer, has a new owner, and the request is then never dispatched for the
// first. Otherwise one writer might refuse an owner as late and free its key
// while another writer grants it, and the next owner would be granted the key
// too.
type Owner string

// Intent is an owner's request for the right to dispatch.
type Intent struct {
	Workspace fleet.WorkspaceID
	Key       Key
	Owner     Owner
	Digest    Digest
	Deadline  time.Time // after it the owner no longer waits for an answer
}
