package reclaim

import (
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/request"
)

// Method is what is done with a stream whose endpoint leaves.
type Method uint8

// The methods.
const (
	// Finish leaves the stream where it is: its answer is expected to be complete
	// in time, or it must not move.
	Finish Method = iota
	// ExportKV moves the stream with its KV cache; nothing is recomputed.
	ExportKV
	// Recompute has another engine prefill the prompt and the answer so far.
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

// Move is the plan for one stream.
type Move struct {
	Ref    request.Ref
	From   fleet.EndpointID
	Method Method
	To     fleet.EndpointID // empty: the router chooses at the time of the move
	// At is when to start, zero for Finish. A caller whose exports are late starts
	// the next one when fewer than Policy.MaxExports are running.
	At time.Time
}
