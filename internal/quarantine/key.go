package quarantine

import (
	"fmt"

	"github.com/zeebo/xxh3"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

// Key names a request that may come again as another one: at another daemon, with
// an id of its own, but for the same workspace, with the same target and body.
// The workspace stands apart: the hash can be met on purpose, and a workspace
// must not have another one's requests held.
type Key struct {
	Workspace, Request uint64 // hashes
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
	return Key{Workspace: xxh3.HashString(string(w)), Request: h.Sum64()}
}

// String returns the form that logs show.
func (k Key) String() string { return fmt.Sprintf("%08x-%016x", uint32(k.Workspace), k.Request) }
