package quota

// SetFloorShare replaces the floor of the shares, for simulations of a fault.
func (q *Quota) SetFloorShare(v float64) { q.floorShare = v }
