package reclaim

// candidate is a target with the capacity that is left on it during one plan.
type candidate struct {
	target     *Target
	freeSlots  int
	freeTokens int
}

func (c *candidate) weight() float64 {
	if c.freeSlots <= 0 || c.freeTokens <= 0 {
		return 0
	}
	return float64(c.freeTokens)
}

func (c *candidate) reserve(tokens int) bool {
	if c.freeSlots < 1 || c.freeTokens < tokens {
		return false
	}
	c.freeSlots--
	c.freeTokens -= tokens
	return true
}
