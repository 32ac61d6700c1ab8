package routing

import (
	"slices"

	"github.com/zeebo/errs"
)

// Error is the class of this package's configuration errors.
var Error = errs.Class("routing")

// PolicyName names a way to find and compare candidates.
type PolicyName string

// The policies. All but Cyclamenbeam are baselines for comparison.
const (
	Cyclamenbeam     PolicyName = "cyclamenbeam"
	RoundRobin       PolicyName = "round-robin"
	LeastOutstanding PolicyName = "least-outstanding"
	RandomOfTwo      PolicyName = "random-of-two"
	PureAffinity     PolicyName = "pure-affinity"
)

// Policies lists every policy, the default first.
var Policies = []PolicyName{Cyclamenbeam, RoundRobin, LeastOutstanding, RandomOfTwo, PureAffinity}

// ParsePolicy returns the policy of a name from the settings. An empty name is
// Cyclamenbeam. The error names an unknown policy and the known ones.
func ParsePolicy(name string) (PolicyName, error) {
	p := or(PolicyName(name), Cyclamenbeam)
	if !slices.Contains(Policies, p) {
		return "", Error.New("unknown policy %q, want one of %v", name, Policies)
	}
	return p, nil
}
