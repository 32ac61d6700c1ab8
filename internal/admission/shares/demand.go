package shares

// Demand is what one daemon sees of a workspace's or a pool's load, as
// peerpb.WorkspaceDemand carries it.
type Demand struct {
	Requests float64 // a second, refused ones included
	Tokens   float64 // a second, refused ones included
	Running  int
}

// minWeight lets an idle daemon count a little, so that a group without demand
// splits equally.
const minWeight = 1

// weight is the one number by which shares are split.
func (d Demand) weight(cfg *Config) float64 {
	return max(minWeight, d.Tokens+cfg.RequestTokens*d.Requests)
}
