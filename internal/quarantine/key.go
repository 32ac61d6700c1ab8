package quarantine

import (
	"fmt"

	"github.com/zeebo/errs"
	"github.com/zeebo/xxh3"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

// Error is the class of this package's errors.
var Error = errs.Class("quarantine")

// Kind says what a Key identifies.
type Kind uint8

// The kinds.
const (
	WholeRequest Kind = iota
	PromptPart
)

// Key identifies a possible cause of crashes, so that it is recognised when it comes again
// under another id or at another daemon.
//
// For a WholeRequest, Scope is the hash of its workspace and ID that of its content. The
// workspace has a field of its own: hash collisions can be produced on purpose, and a workspace
// must not be able to get the requests of another one held.
//
// For a PromptPart, Scope is the hash of the service, the route and the model, and ID is what
// callers call the part.
type Key struct {
	Kind  Kind
	Scope uint32
	ID    uint64
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
	return Key{Scope: workspaceHash(w), ID: h.Sum64()}
}

func workspaceHash(w fleet.WorkspaceID) uint32 { return uint32(xxh3.HashString(string(w))) }

// PartScope returns the scope of the parts of prompts that a route sends to a model of a
// service.
func PartScope(service, route, model string) uint32 {
	return uint32(xxh3.HashStringSeed(model, xxh3.HashStringSeed(route, xxh3.HashString(service))))
}

// PartOf returns the key of a part with a scope from PartScope.
func PartOf(scope uint32, id uint64) Key { return Key{Kind: PromptPart, Scope: scope, ID: id} }

const keyFormat = "%08x-%016x"

// String returns the form used in logs and, for requests, in the store. That of a part begins
// with its ID as callers write it.
func (k Key) String() string {
	if k.Kind == PromptPart {
		return fmt.Sprintf("%x@%08x", k.ID, k.Scope)
	}
	return fmt.Sprintf(keyFormat, k.Scope, k.ID)
}

// MarshalText returns the form of String.
func (k Key) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// UnmarshalText parses the form of String.
func (k *Key) UnmarshalText(text []byte) error {
	*k = Key{}
	if _, err := fmt.Sscanf(string(text), "%x@%08x", &k.ID, &k.Scope); err == nil {
		k.Kind = PromptPart
		return nil
	}
	_, err := fmt.Sscanf(string(text), keyFormat, &k.Scope, &k.ID)
	return Error.Wrap(err)
}
