package membership

import "time"

// newerDigestInterval is the least time between two reports of the same newer
// digest: several peers send it before the change has been fetched.
const newerDigestInterval = time.Second

// newerDigest is the digest that was last reported by a NewerDigest action.
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
