package ledger

import "time"

// GroupPolicy bounds a GroupCommit.
type GroupPolicy struct {
	Linger        time.Duration // an intent waits so long for others
	OutcomeLinger time.Duration // an outcome waits so long for intents to go with
	SealBytes     int
	MaxWaiting    int // intents and outcomes that wait, beyond which new ones are refused
	MaxChains     int // chains of segments kept in memory
}

// DefaultGroupPolicy is the one measured in docs/adr/0003-ledger.md.
func DefaultGroupPolicy() GroupPolicy {
	return GroupPolicy{
		Linger:        5 * time.Millisecond,
		OutcomeLinger: 500 * time.Millisecond,
		SealBytes:     DefaultSealBytes,
		MaxWaiting:    4096, // eight seconds of the highest rate foreseen
		MaxChains:     4,    // this minute, the last, and two for late keys; see BenchmarkChainMemory for their size
	}
}
