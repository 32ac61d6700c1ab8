package origin

import (
	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/rendezvous"
)

// Key identifies a stream: a hash of its workspace and of the caller's attempt that brought
// its first event.
type Key uint64

// KeyOf returns the key of a stream of a workspace, whose name is empty without a credential.
func KeyOf(w fleet.WorkspaceID, attempt string) Key {
	return Key(rendezvous.Key(string(w) + "\x00" + attempt))
}

// Origin is what began a stream.
type Origin struct {
	Service string `json:"service"`
	Version string `json:"version"` // of the software of the service's endpoint
}
