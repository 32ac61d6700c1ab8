package template

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/binary"
	"time"
)

// credential is a bearer token and the workspace it belongs to.
type credential struct {
	token     Token
	workspace *Workspace
	disputed  bool // templates give it to different workspaces
}

// credentials finds workspaces by the hash of their callers' tokens. The key
// is the hash's first eight bytes; the whole hash is compared in constant
// time, so that answers' timing gives no more than that key away. Only hashes
// are kept: who reads a template or a core dump has no token.
type credentials map[uint64][]credential

func credentialKey(hash *[32]byte) uint64 { return binary.BigEndian.Uint64(hash[:8]) }

// add gives a token to a workspace. A token that another workspace has as well
// is disputed and then opens neither: whichever won, one customer's callers
// would run as another's.
func (c credentials) add(token Token, workspace *Workspace) (disputed bool) {
	key := credentialKey(&token.Hash)
	for i := range c[key] {
		known := &c[key][i]
		if known.token.Hash != token.Hash {
			continue
		}
		if known.workspace.ID != workspace.ID {
			known.disputed = true
			return true
		}
		known.token.Expires = later(known.token.Expires, token.Expires)
		return known.disputed
	}
	c[key] = append(c[key], credential{token: token, workspace: workspace})
	return false
}

// later returns the later expiry; zero is never.
func later(a, b time.Time) time.Time {
	if a.IsZero() || b.IsZero() {
		return time.Time{}
	}
	if a.After(b) {
		return a
	}
	return b
}

// find returns the workspace of a token that is valid at now.
func (c credentials) find(now time.Time, token []byte) (*Workspace, bool) {
	hash := sha256.Sum256(token)
	for i := range c[credentialKey(&hash)] {
		known := &c[credentialKey(&hash)][i]
		if subtle.ConstantTimeCompare(known.token.Hash[:], hash[:]) != 1 {
			continue
		}
		expired := !known.token.Expires.IsZero() && !now.Before(known.token.Expires)
		if expired || known.disputed {
			return nil, false
		}
		return known.workspace, true
	}
	return nil, false
}
