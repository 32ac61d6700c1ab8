package shares

// Config holds the bounds of the exchange.
type Config struct {
	// Floor is the fraction of the whole that is split equally, whatever the
	// demand, so that a daemon can admit its first caller.
	Floor float64
	// RequestTokens is the weight of one request, in tokens, in addition to its
	// tokens. It makes calls to plain services, which have no tokens, count.
	RequestTokens float64
}

// DefaultConfig returns the default bounds; docs/adr/0007-limits.md has the
// measurements.
func DefaultConfig() Config {
	return Config{Floor: 0.1, RequestTokens: 1}
}
