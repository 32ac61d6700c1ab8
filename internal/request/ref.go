package request

import "github.com/cyclamenbeam/cyclamenbeam/internal/fleet"

// Ref identifies a request. The id may be an idempotency key chosen by the caller,
// so by the id alone a workspace could attach to another workspace's answer.
type Ref struct {
	Workspace fleet.WorkspaceID
	ID        fleet.RequestID
}
