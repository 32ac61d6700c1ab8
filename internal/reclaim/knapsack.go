package reclaim

import "slices"

// knapsackSlots is how many steps the link's remaining time is divided into.
// A transfer is rounded up to whole steps, so up to one step in 256 for each
// export of the choice is wasted; the work is streams times steps.
const knapsackSlots = 256

// choose reports which streams to export so that the most recomputed tokens are
// saved in the time that is left on the link: a 0/1 knapsack. Taking them by
// tokens saved per second alone leaves the end of a short notice unused, since
// what is left of the link then often fits no further stream.
func (l *link) choose(streams []Stream, left int64) []bool {
	chosen := make([]bool, len(streams))
	step := left / knapsackSlots
	if step <= 0 {
		return chosen
	}
	best := make([]int, knapsackSlots+1) // tokens saved within so many steps
	with := make([]bool, len(streams)*(knapsackSlots+1))
	for i, s := range streams {
		need := int((int64(l.transfer(s.KVBytes)) + step - 1) / step)
		row := with[i*(knapsackSlots+1):]
		for at := knapsackSlots; at >= need; at-- {
			if v := best[at-need] + s.savedTokens(); v > best[at] {
				best[at] = v
				row[at] = true
			}
		}
	}
	at := knapsackSlots
	for i := range slices.Backward(streams) {
		if !with[i*(knapsackSlots+1)+at] {
			continue
		}
		chosen[i] = true
		at -= int((int64(l.transfer(streams[i].KVBytes)) + step - 1) / step)
	}
	return chosen
}
