package shares

// Config holds the bounds of the exchange.
type Config struct {
	// Floor is the part of the whole that is split equally, whatever the
	// demand, so that a daemon whose first caller comes has something to give.
	Floor float64
	// RequestTokens is the demand of one request, in tokens, beside its
	// tokens: it lets calls to plain services count.
	RequestTokens float64
}

// DefaultConfig returns the default bounds; docs/adr/0007-limits.md has the
// measurements.
func DefaultConfig() Config {
	return Config{Floor: 0.1, RequestTokens: 1}
}
