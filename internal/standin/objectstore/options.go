package objectstore

// Options are the sizes of the stand-in. The zero value takes the defaults.
type Options struct {
	LogChanges int // changes that a watch can look back on
	LogBytes   int // bytes of values that the log keeps
}

// Defaults of Options.
const (
	// DefaultLogChanges covers some minutes of the full write rate.
	DefaultLogChanges = 10_000
	// DefaultLogBytes bounds the log where values are large.
	DefaultLogBytes = 64 << 20
)

func (o Options) withDefaults() Options {
	if o.LogChanges <= 0 {
		o.LogChanges = DefaultLogChanges
	}
	if o.LogBytes <= 0 {
		o.LogBytes = DefaultLogBytes
	}
	return o
}
