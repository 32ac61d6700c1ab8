package prefix

// maxMatches is the largest number of matches that a lookup returns.
const maxMatches = 8

// Lookup appends to dst the engines that probably hold leading blocks of a
// prompt, at most maxMatches of them. The longest match is exact; other matches
// may be longer than returned. common is the number of leading blocks that more
// engines may hold than the index can list: the start of many prompts, which any
// engine is likely to hold.
//
// An engine that stored a block also held the blocks before it, so bisection
// finds the longest match. Lost events leave holes. If no engine holds a block,
// the one before it is probed as well, so that a single hole does not hide the
// blocks after it.
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

// probe adds the engines that hold the block at a depth, counted from 1, to the
// matches. It returns their number as live.
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

// mergeMatch adds m, or extends the match of the same engine. If dst is full, m
// replaces the shortest match, provided that m is longer.
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

// Common reports whether maxHolders engines hold a block, so that the index may
// not list all of them. The block is at the start of many prompts, or of one that
// is in use throughout the fleet.
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
