package request

import "github.com/cyclamenbeam/cyclamenbeam/internal/fleet"

// Ref names a request within its workspace. The id may be a key that the
// caller chose, so an id alone could attach one workspace to another's answer.
type Ref struct {
	Workspace fleet.WorkspaceID
	ID        fleet.RequestID
}
