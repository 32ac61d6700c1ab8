package quarantine

import (
	"fmt"

	"github.com/zeebo/errs"
	"github.com/zeebo/xxh3"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

// Error is the class of this package's errors.
var Error = errs.Class("quarantine")

// Key identifies a request by its content, so that it is recognised when it is
// sent again under another id or to another daemon. The workspace has a field of
// its own: hash collisions can be produced on purpose, and a workspace must not
// be able to get the requests of another one held.
type Key struct {
	Workspace uint32 // hash of its name
	Request   uint64 // hash of method, target and body
}

// KeyOf returns the key of a workspace's request. target is the path with the
// query.
func KeyOf(w fleet.WorkspaceID, method, target string, body []byte) Key {
	h := xxh3.New()
	_, _ = h.WriteString(method)
	_, _ = h.WriteString(" ")
	_, _ = h.WriteString(target)
	_, _ = h.WriteString("\n")
	_, _ = h.Write(body)
	return Key{Workspace: uint32(xxh3.HashString(string(w))), Request: h.Sum64()}
}

const keyFormat = "%08x-%016x"

// String returns the form used in logs and in the store.
func (k Key) String() string { return fmt.Sprintf(keyFormat, k.Workspace, k.Request) }

// MarshalText returns the form of String.
func (k Key) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// UnmarshalText parses the form of String.
func (k *Key) UnmarshalText(text []byte) error {
	_, err := fmt.Sscanf(string(text), keyFormat, &k.Workspace, &k.Request)
	return Error.Wrap(err)
}
