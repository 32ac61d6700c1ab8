// Package shares splits a workspace's limits, or a pool's capacity, among the
// few daemons that serve it, by the demand that they tell each other.
//
// Once an interval each daemon tells the others its demand and gets theirs in
// reply; its share is its part of the whole demand. A daemon counts its own
// demand only as far as every other member has acknowledged it, and the
// others' as they told it last. So none is bigger in its own view than in
// another's, and whatever is delayed or lost the sum of the shares is at most 1.
//
// It follows that silence never raises anyone's share: while a member does not
// answer, the others can fall but not rise, until SetMembers leaves it out. A
// member that joins stays at its floor until all others have answered, and so
// know of it; Floor/k more may be granted meanwhile.
package shares
