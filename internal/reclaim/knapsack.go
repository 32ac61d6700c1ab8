package reclaim

import "slices"

// knapsackSlots is the number of steps into which the link's remaining time is
// divided. A transfer is rounded up to whole steps, which wastes up to 1/256 of
// the time for each chosen export. The run time is proportional to streams times
// steps.
const knapsackSlots = 256

// choose selects the streams whose exports fit into left, in nanoseconds of
// transfer time, and save the most recomputed tokens: a 0/1 knapsack. Choosing
// them greedily by density would leave the end of a short notice unused, because
// the time that is left then often fits no further stream.
func (l *link) choose(streams []Stream, left int64) []bool {
	chosen := make([]bool, len(streams))
	step := left / knapsackSlots
	if step <= 0 {
		return chosen
	}
	best := make([]int, knapsackSlots+1) // best[n] is the most tokens saved within n steps
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
