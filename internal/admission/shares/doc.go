// Package shares splits a workspace's limits, or a pool's capacity, among the
// few daemons that serve it, in proportion to the demand that they report to
// each other.
//
// Once an interval each daemon sends its demand to the others and receives
// theirs in the replies. Its share is its fraction of the total demand. A daemon
// counts its own demand only as far as every other member has acknowledged it,
// and the others' as they last reported it. So no daemon assumes a higher demand
// of its own than the others assume of it, and the sum of the shares is at most
// 1 whatever messages are delayed or lost.
//
// It follows that an unresponsive member never raises any share: until SetMembers
// leaves it out, the others' shares can fall but not rise. A member that joins
// stays at its floor until all others have replied, and thus count it. Until they
// do, the sum of the shares of k members may exceed 1 by Floor/k.
package shares
