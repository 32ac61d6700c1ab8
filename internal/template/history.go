package template

// maxSteps bounds the recorded steps. At 3,700 changes a day they cover 100
// minutes, far more than a daemon in contact with its peers can be behind.
const maxSteps = 256

// step is one revision that this daemon put in force, and its digest
// afterwards.
type step struct {
	digest  Digest
	name    string
	version uint64
}

// history is a ring buffer of the last steps; once full, the oldest is at next.
// A digest doesn't reveal the versions it covers, but daemons apply changes
// mostly in the same order, so the digest of a daemon that lags is usually one
// that this daemon had before.
type history struct {
	steps []step
	next  int
}

func (h *history) add(digest Digest, name string, version uint64) {
	s := step{digest: digest, name: name, version: version}
	if len(h.steps) < maxSteps {
		h.steps = append(h.steps, s)
		return
	}
	h.steps[h.next] = s
	h.next = (h.next + 1) % maxSteps
}

// at returns the i-th oldest step.
func (h *history) at(i int) *step { return &h.steps[(h.next+i)%len(h.steps)] }

// indexOfDigest returns the index of the last step that led to a digest,
// counted from the oldest; -1 if there is none.
func (h *history) indexOfDigest(digest Digest) int {
	for i := len(h.steps) - 1; i >= 0; i-- {
		if h.at(i).digest == digest {
			return i
		}
	}
	return -1
}

// indexOfVersion returns the index of the first recorded step that put a
// version of a name, or a higher one, in force; -1 if that was before all
// recorded steps.
func (h *history) indexOfVersion(name string, version uint64) int {
	for i := range h.steps {
		if s := h.at(i); s.name == name && s.version >= version {
			return i
		}
	}
	return -1
}
