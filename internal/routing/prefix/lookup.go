package prefix

// maxMatches bounds the engines that one lookup names.
const maxMatches = 8

// Lookup appends to dst the engines that are believed to hold leading blocks
// of a prompt, at most maxMatches of them. The engines with the longest match
// are exact; another's match may be understated. common is the depth down to
// which so many engines hold the prompt that the index can't name them all:
// the start of many prompts, which any engine is likely to hold.
//
// Whoever holds a block held the ones before it when it was stored, so the
// longest match is found by bisection. Lost events leave holes; a probe looks
// at two neighbouring blocks, so that one hole does not hide all behind it.
func (x *Index) Lookup(blocks []uint64, dst []Match) (matches []Match, common int) {
	low, high := 0, len(blocks)
	for low < high {
		mid := (low + high + 1) / 2
		live := 0
		dst, live = x.probe(blocks, mid, dst)
		if live == 0 && mid-1 > low {
			dst, live = x.probe(blocks, mid-1, dst)
		}
		if live == maxHolders {
			common = mid
		}
		if live > 0 {
			low = mid
		} else {
			high = mid - 1
		}
	}
	return dst, common
}

// probe adds the engines that hold the block at the given depth and counts them.
func (x *Index) probe(blocks []uint64, depth int, dst []Match) (matches []Match, live int) {
	e := x.find(blocks[depth-1])
	if e == nil {
		return dst, 0
	}
	for _, h := range e.holders[:e.count] {
		if !x.live(h) {
			continue
		}
		live++
		dst = mergeMatch(dst, Match{Handle: h.handle, Blocks: depth})
	}
	return dst, live
}

// mergeMatch adds m or deepens the match of the same engine.
func mergeMatch(dst []Match, m Match) []Match {
	for i := range dst {
		if dst[i].Handle == m.Handle {
			dst[i].Blocks = max(dst[i].Blocks, m.Blocks)
			return dst
		}
	}
	if len(dst) < maxMatches {
		return append(dst, m)
	}
	least := 0
	for i := range dst {
		if dst[i].Blocks < dst[least].Blocks {
			least = i
		}
	}
	if dst[least].Blocks < m.Blocks {
		dst[least] = m
	}
	return dst
}

// Common reports whether so many engines hold a block that the index can't
// name them all: it belongs to the start of many different prompts, or to one
// that is in use all over the fleet.
func (x *Index) Common(hash uint64) bool {
	e := x.find(hash)
	if e == nil || e.count < maxHolders {
		return false
	}
	for _, h := range e.holders {
		if !x.live(h) {
			return false
		}
	}
	return true
}
