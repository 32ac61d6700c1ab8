package progress

import "sync/atomic"

// Meter counts the bytes of a transfer, or of all transfers on a connection.
// The zero value is ready and safe for concurrent use.
type Meter struct{ bytes atomic.Int64 }

// Add counts n bytes.
func (m *Meter) Add(n int) { m.bytes.Add(int64(n)) }

// Bytes returns the number of bytes counted.
func (m *Meter) Bytes() int64 { return m.bytes.Load() }
