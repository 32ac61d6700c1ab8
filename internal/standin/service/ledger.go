package service

import (
	"maps"
	"sync"
)

// Ledger counts the orders run under each idempotency key, over all replicas
// of the service. An order without a key counts under "". Safe for concurrent
// use; it keeps every key, as a proof has to.
type Ledger struct {
	mu    sync.Mutex
	runs  map[string]int
	total int
}

// NewLedger returns an empty Ledger.
func NewLedger() *Ledger { return &Ledger{runs: make(map[string]int)} }

// Run counts one execution and returns the total of all keys.
func (l *Ledger) Run(key string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[key]++
	l.total++
	return l.total
}

// Executions returns a copy of the counts.
func (l *Ledger) Executions() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return maps.Clone(l.runs)
}
