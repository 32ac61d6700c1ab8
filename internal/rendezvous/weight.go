package rendezvous

import "math"

// Weight is the weight of a node in steps of the square root of 2: 0 is 1, 2 is 2, -2 is a
// half. A node wins a share of the keys in proportion to its weight. Weights come in steps so
// that daemons whose estimates differ a little give the same one.
type Weight int8

// MaxWeight and -MaxWeight bound weights.
const MaxWeight Weight = 4

// nextStep is the part of a step from which a weight is the next one. It is above a half, so
// that fast nodes rather get less than their share than more.
const nextStep = 0.7

// WeightOf returns the weight for a positive number; 0 if it is none.
func WeightOf(x float64) Weight {
	if !(x > 0) {
		return 0
	}
	steps := min(max(2*math.Log2(x), -float64(MaxWeight)), float64(MaxWeight))
	return Weight(math.Trunc(steps + math.Copysign(1-nextStep, steps)))
}

// factors are the numbers that the weights from -MaxWeight to MaxWeight stand for.
var factors = func() (out [2*MaxWeight + 1]float64) {
	for i := range out {
		out[i] = math.Exp2(float64(i-int(MaxWeight)) / 2)
	}
	return out
}()

// factor returns the number that the weight stands for.
func (w Weight) factor() float64 { return factors[min(max(w, -MaxWeight), MaxWeight)+MaxWeight] }

// Score returns the score of a node with the weight, from its score without one: the 1/w-th
// power of the score as a share of the largest one. Weight 0 leaves the score as it is, so
// that scores of nodes with and without weights compare.
func (w Weight) Score(score uint64) uint64 {
	if w == 0 {
		return score
	}
	// By the distances to the largest score, since the highest scores decide.
	below := -math.Expm1(math.Log1p(-float64(^score)/(1<<64))/w.factor()) * (1 << 64)
	if below >= 1<<64 { // also where the logarithm is -Inf
		return 0
	}
	return ^uint64(below)
}

// CanExceed reports whether a node's score with the weight could exceed another score. It costs
// less than Score and is false for most nodes once a high score is known.
func (w Weight) CanExceed(score, best uint64) bool {
	if w <= 0 {
		return score > best // a small weight only lowers the score
	}
	// (1-d)^(1/w) <= 1-b holds where d >= w*b, by Bernoulli's inequality. The margin is for
	// rounding.
	const margin = 1 + 1e-9
	return float64(^score) <= margin*w.factor()*float64(^best)
}

// LeastToExceed returns the lowest score that could exceed another one with any weight, or a
// lower one: a comparison with it rules out most nodes.
func LeastToExceed(best uint64) uint64 {
	const most = 1 << (MaxWeight / 2) // as in CanExceed, with a margin for rounding
	below := ^best
	if below > math.MaxUint64/(2*most) {
		return 0
	}
	return ^(most*below + below>>20 + 16)
}
