package quarantine

import "slices"

// Identity is all that a request is recognised by: a request that crashes endpoints may come
// again as it is, or share the cause with others.
type Identity struct {
	Request Key
	// Parts are the parts of its prompt that others may share, in order, and Scope is theirs.
	Scope uint32
	Parts []uint64
}

// MaxParts is the most parts of one request that an Identity has. Prompts have a few.
const MaxParts = 32

// Workspace returns the hash of the request's workspace.
func (id *Identity) Workspace() uint32 { return id.Request.Scope }

func (id *Identity) has(k Key) bool { return id.Scope == k.Scope && slices.Contains(id.Parts, k.ID) }
