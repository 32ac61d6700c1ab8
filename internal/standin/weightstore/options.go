package weightstore

import "github.com/cyclamenbeam/cyclamenbeam/internal/fleet"

// Options are the rates and sizes. The zero value takes the defaults.
type Options struct {
	PerSecond float64                  // requests a second
	Burst     int                      // requests at once after a quiet time
	Bytes     map[fleet.ModelRef]int64 // sizes of the models; others have the default
}

// Defaults of Options.
const (
	DefaultPerSecond = 5
	DefaultBurst     = 10
	// DefaultModelBytes is about a model of 8 billion parameters.
	DefaultModelBytes = 16 << 30
	// DefaultAdapterBytes is a low-rank adapter of such a model.
	DefaultAdapterBytes = 200 << 20
)

func (o Options) withDefaults() Options {
	if o.PerSecond <= 0 {
		o.PerSecond = DefaultPerSecond
	}
	if o.Burst <= 0 {
		o.Burst = DefaultBurst
	}
	return o
}

func (o Options) bytesOf(ref fleet.ModelRef) int64 {
	if n, ok := o.Bytes[ref]; ok {
		return n
	}
	if ref.Adapter != "" {
		return DefaultAdapterBytes
	}
	return DefaultModelBytes
}
