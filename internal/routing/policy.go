package routing

import (
	"slices"

	"github.com/zeebo/errs"
)

// Error is the class of this package's errors of settings.
var Error = errs.Class("routing")

// PolicyName chooses how candidates are found and compared.
type PolicyName string

// The policies. All but the first are baselines to measure against.
const (
	Cyclamenbeam     PolicyName = "cyclamenbeam"
	RoundRobin       PolicyName = "round-robin"
	LeastOutstanding PolicyName = "least-outstanding"
	RandomOfTwo      PolicyName = "random-of-two"
	PureAffinity     PolicyName = "pure-affinity"
)

// Policies lists every policy, ours first.
var Policies = []PolicyName{Cyclamenbeam, RoundRobin, LeastOutstanding, RandomOfTwo, PureAffinity}

// ParsePolicy returns the policy of a name from the settings; an empty name is
// ours.
func ParsePolicy(name string) (PolicyName, error) {
	p := or(PolicyName(name), Cyclamenbeam)
	if !slices.Contains(Policies, p) {
		return "", Error.New("unknown policy %q, want one of %v", name, Policies)
	}
	return p, nil
}
