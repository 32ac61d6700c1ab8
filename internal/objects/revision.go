package objects

// A store may be restored from a copy that is some seconds old. Later writes are
// lost, the store's change counter goes back, and its values are assigned again.
// The store's era is the number of such restores. A revision holds the era in its
// upper bits and the counter in its lower bits, so that it never decreases:
// comparing revisions (the position of a watch, the state that a hub sends, the
// fencing token of a lease) orders those of an earlier era first. A store that
// reports no era is in era 0, where a revision equals the counter.

// eraShift is the number of bits of the counter: enough for 35 years at 1,000
// changes a second. It leaves 13 bits for the era, 8,192 values, of the 53 bits of
// an integer that a JSON number holds exactly.
const eraShift = 40

// RevisionIn returns the revision of a store's counter in an era. The counter 0,
// which stands for no revision, gives 0 in every era.
func RevisionIn(era, counter uint64) uint64 {
	if counter == 0 {
		return 0
	}
	return era<<eraShift | counter
}

// EraOf returns a revision's era.
func EraOf(revision uint64) uint64 { return revision >> eraShift }

// CounterOf returns a revision's counter.
func CounterOf(revision uint64) uint64 { return revision & (1<<eraShift - 1) }
