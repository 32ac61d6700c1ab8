package reclaim

// room is what is left of a target during one plan.
type room struct {
	target *Target
	slots  int
	tokens int
}

func (r *room) weight() float64 {
	if r.slots <= 0 || r.tokens <= 0 {
		return 0
	}
	return float64(r.tokens)
}

func (r *room) reserve(tokens int) bool {
	if r.slots < 1 || r.tokens < tokens {
		return false
	}
	r.slots--
	r.tokens -= tokens
	return true
}
