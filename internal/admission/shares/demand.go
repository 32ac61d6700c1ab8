package shares

// Demand is the load of a workspace or a pool at one daemon. On the wire it is
// peerpb.WorkspaceDemand.
type Demand struct {
	Requests float64 // a second, refused ones included
	Tokens   float64 // a second, refused ones included
	Running  int
}

// minWeight is the weight of an idle daemon, above zero so that a group without
// demand splits equally.
const minWeight = 1

// weight returns the demand as a single number, in tokens a second, to which the
// shares are proportional.
func (d Demand) weight(cfg *Config) float64 {
	return max(minWeight, d.Tokens+cfg.RequestTokens*d.Requests)
}
