package shares

// Demand is what one daemon sees of a workspace's or a pool's load, as
// peerpb.WorkspaceDemand carries it.
type Demand struct {
	Requests float64 // a second, refused ones included
	Tokens   float64 // a second, refused ones included
	Running  int
}

// leastSize lets an idle daemon count a little, so that a group without demand
// splits equally.
const leastSize = 1

// size is the one number by which shares are split.
func (d Demand) size(cfg *Config) float64 {
	return max(leastSize, d.Tokens+cfg.RequestTokens*d.Requests)
}
