package membership

import "time"

// newerDigestInterval bounds how often the same newer digest is reported: a
// change is heard of from several peers before it is fetched.
const newerDigestInterval = time.Second

// newerDigest remembers what was reported last.
type newerDigest struct {
	digest     Digest
	reportedAt time.Duration
}

func (m *Membership) receiveDigest(n *node, d Digest) {
	if n.digest != d {
		n.digest = d
		m.digestsChanged = true
	}
	if !m.self.digest.lacks(d) {
		return
	}
	if m.lastNewer.digest == d && m.clock.now < m.lastNewer.reportedAt+newerDigestInterval {
		return
	}
	m.lastNewer = newerDigest{digest: d, reportedAt: m.clock.now}
	m.emit(NewerDigest{Member: n.member()})
}
