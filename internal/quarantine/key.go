package quarantine

import (
	"fmt"

	"github.com/zeebo/errs"
	"github.com/zeebo/xxh3"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

// Error is the class of errors made by this package.
var Error = errs.Class("quarantine")

// Key names a request that may come again as another one: at another daemon, with
// an id of its own, but for the same workspace, with the same target and body.
// The workspace stands apart: the hash can be met on purpose, and a workspace
// must not have another one's requests held.
type Key struct {
	Workspace uint32 // hash of its name
	Request   uint64 // hash of method, target and body
}

// KeyOf returns the key of a workspace's request. The target is the path with
// the query.
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

// String returns the form that logs and the store have.
func (k Key) String() string { return fmt.Sprintf(keyFormat, k.Workspace, k.Request) }

// MarshalText returns String.
func (k Key) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// UnmarshalText accepts the form of String.
func (k *Key) UnmarshalText(text []byte) error {
	_, err := fmt.Sscanf(string(text), keyFormat, &k.Workspace, &k.Request)
	return Error.Wrap(err)
}
