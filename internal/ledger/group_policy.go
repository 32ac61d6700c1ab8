package ledger

import "time"

// GroupPolicy bounds a GroupCommit.
type GroupPolicy struct {
	Linger        time.Duration // how long an intent waits for others to share its batch
	OutcomeLinger time.Duration // how long an outcome or abandonment waits for intents to share a batch
	SealBytes     int           // size of a segment's records at which it is sealed
	MaxWaiting    int           // pending records, beyond which intents are refused and others dropped
	MaxChains     int           // chains of segments kept in memory
}

// DefaultGroupPolicy returns the policy chosen in docs/adr/0003-ledger.md.
func DefaultGroupPolicy() GroupPolicy {
	return GroupPolicy{
		Linger:        5 * time.Millisecond,
		OutcomeLinger: 500 * time.Millisecond,
		SealBytes:     DefaultSealBytes,
		MaxWaiting:    4096, // eight seconds of requests at the highest rate expected
		MaxChains:     4,    // this minute, the last, and two for late keys; BenchmarkChainMemory measures their size
	}
}
