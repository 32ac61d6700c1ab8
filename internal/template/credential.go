package template

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/binary"
	"time"
)

// credential is a bearer token and its workspace.
type credential struct {
	token       Token
	workspace   *Workspace
	conflicting bool // templates assign it to different workspaces
}

// credentials maps the hashes of callers' tokens to workspaces. The key is the
// first eight bytes of the hash. The whole hash is compared in constant time,
// so that response times reveal no more than the key. Tokens are not kept, only
// their hashes, so that a template or a core dump reveals no token.
type credentials map[uint64][]credential

func credentialKey(hash *[32]byte) uint64 { return binary.BigEndian.Uint64(hash[:8]) }

// add assigns a token to a workspace. It reports whether another workspace has
// the token as well; such a token is rejected, because one workspace's callers
// would otherwise be authenticated as the other's.
func (c credentials) add(token Token, workspace *Workspace) (disputed bool) {
	key := credentialKey(&token.Hash)
	for i := range c[key] {
		known := &c[key][i]
		if known.token.Hash != token.Hash {
			continue
		}
		if known.workspace.ID != workspace.ID {
			known.conflicting = true
			return true
		}
		known.token.Expires = later(known.token.Expires, token.Expires)
		return known.conflicting
	}
	c[key] = append(c[key], credential{token: token, workspace: workspace})
	return false
}

// later returns the later expiry; the zero time is no expiry.
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
		if expired || known.conflicting {
			return nil, false
		}
		return known.workspace, true
	}
	return nil, false
}
