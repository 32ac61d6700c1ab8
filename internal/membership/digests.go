package membership

import "time"

// newerDigestInterval bounds how often the same newer digest is reported: a
// change is heard of from several peers before it is fetched.
const newerDigestInterval = time.Second

// newerDigest remembers what was reported last.
type newerDigest struct {
	digest Digest
	at     time.Duration
}

func (m *Membership) hearDigest(n *node, d Digest) {
	if n.digest != d {
		n.digest = d
		m.digests = true
	}
	if !m.self.digest.lacks(d) {
		return
	}
	if m.newer.digest == d && m.clock.now < m.newer.at+newerDigestInterval {
		return
	}
	m.newer = newerDigest{digest: d, at: m.clock.now}
	m.act(NewerDigest{Member: n.member()})
}
