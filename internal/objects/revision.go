package objects

// A store may come back from a copy some seconds old. What was written since is
// gone, its counter goes back, and its numbers are given out again. How often
// that has happened is the store's era. A Revision holds both, the era above the
// counter, so that it only ever rises: whatever compares revisions, a watch's
// place, a hub's word or a lease's fencing token, takes what an earlier era says
// for older. A store that tells no era is in era 0, where a Revision is the
// counter itself.

// eraShift leaves a counter 35 years at a thousand changes a second, and an era
// 8,192 returns within the whole numbers that a JSON number holds exactly.
const eraShift = 40

// RevisionIn returns what a store's counter means in an era.
func RevisionIn(era, counter uint64) uint64 {
	if counter == 0 {
		return 0
	}
	return era<<eraShift | counter
}

// EraOf returns a revision's era.
func EraOf(revision uint64) uint64 { return revision >> eraShift }

// CounterOf returns the store's counter of a revision.
func CounterOf(revision uint64) uint64 { return revision & (1<<eraShift - 1) }
