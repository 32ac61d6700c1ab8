// Package enginefault holds the fault switch of the stand-in engine. POST
// Faults to Path replaces all switches; GET returns them.
package enginefault

// Path of the fault switch.
const Path = "/faults"

// Faults are the switches. The zero value is a healthy engine.
type Faults struct {
	// Slow multiplies the time of prefill and decoding. Below 1 counts as 1.
	Slow float64 `json:"slow,omitempty"`
	// Silent accepts every request and never answers; open streams stop
	// sending and stay so for good, though generation goes on.
	Silent bool `json:"silent,omitempty"`
	// SilenceOpen makes the connections known now go silent for good, while
	// new ones work. It acts once, when it is set.
	SilenceOpen bool `json:"silenceOpen,omitempty"`
	// Unavailable answers every request with 503.
	Unavailable bool `json:"unavailable,omitempty"`
	// RefuseNew answers new completions with 503; resumes work.
	RefuseNew bool `json:"refuseNew,omitempty"`
	// DropEvents loses the cache events made while it is set.
	DropEvents bool `json:"dropEvents,omitempty"`
	// CrashOn ends the engine, as Kill, when it begins to run a completion
	// whose prompt has this text; empty never.
	CrashOn string `json:"crashOn,omitempty"`
	// Kill ends the engine at once, as Engine.Kill.
	Kill bool `json:"kill,omitempty"`
}
