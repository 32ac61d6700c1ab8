package workload

// Workspace is one customer that sends requests.
type Workspace struct {
	Name string `json:"name" yaml:"name"`
	// Weight is the workspace's share of the rate relative to the others'.
	Weight float64 `json:"weight" yaml:"weight"`
	// Factor multiplies the workspace's own rate and leaves the others' arrivals
	// unchanged. 0 stands for 1.
	Factor float64 `json:"factor,omitempty" yaml:"factor,omitempty"`
	// Token is the credential that its callers send. It is not in results.
	Token string `json:"-" yaml:"token"`
}

func (w Workspace) factor() float64 {
	if w.Factor == 0 {
		return 1
	}
	return w.Factor
}
