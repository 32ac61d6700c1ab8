package template

// pastSteps bounds the remembered steps. At 3,700 changes a day they cover 100
// minutes, far more than a daemon that follows can be behind.
const pastSteps = 256

// step is one revision that this daemon put in force, and its digest after it.
type step struct {
	digest  Digest
	name    string
	version uint64
}

// history is the last steps, oldest first from next on. A digest can't be
// undone into versions, but as daemons apply one order of changes, the digest
// of one that lags is most often one that this daemon had before.
type history struct {
	steps []step
	next  int
}

func (h *history) add(digest Digest, name string, version uint64) {
	s := step{digest: digest, name: name, version: version}
	if len(h.steps) < pastSteps {
		h.steps = append(h.steps, s)
		return
	}
	h.steps[h.next] = s
	h.next = (h.next + 1) % pastSteps
}

// at returns the i-th oldest step.
func (h *history) at(i int) *step { return &h.steps[(h.next+i)%len(h.steps)] }

// find returns the number of the step that led to a digest, -1 when unknown.
func (h *history) find(digest Digest) int {
	for i := len(h.steps) - 1; i >= 0; i-- {
		if h.at(i).digest == digest {
			return i
		}
	}
	return -1
}

// reached returns the number of the step that put a version of a name, or a
// higher one, in force; -1 when that was before all remembered steps.
func (h *history) reached(name string, version uint64) int {
	for i := range h.steps {
		if s := h.at(i); s.name == name && s.version >= version {
			return i
		}
	}
	return -1
}
