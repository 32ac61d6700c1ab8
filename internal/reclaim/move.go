package reclaim

import (
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/request"
)

// Method is how a stream survives the loss of its endpoint.
type Method uint8

// The methods.
const (
	// Finish: the answer is expected to be whole in time, or may not move.
	Finish Method = iota
	// ExportKV: the KV cache moves; nothing is recomputed.
	ExportKV
	// Recompute: another engine prefills prompt and answer so far.
	Recompute
)

// String returns the method's name for logs.
func (m Method) String() string {
	switch m {
	case ExportKV:
		return "export"
	case Recompute:
		return "recompute"
	default:
		return "finish"
	}
}

// Move is what becomes of one stream.
type Move struct {
	Ref    request.Ref
	From   fleet.EndpointID
	Method Method
	To     fleet.EndpointID // empty: routing chooses when the time comes
	// At is when to start, zero for Finish. A caller whose exports fall behind
	// starts the next when fewer than Policy.Exports run.
	At time.Time
}
