package admission

import "github.com/cyclamenbeam/cyclamenbeam/internal/fleet"

// estimateGain is the weight of the newest completion in the moving average,
// which thus covers about the last ten.
const estimateGain = 0.1

// maxEstimates bounds the models tracked for one workspace. Callers name the
// model, so without the bound invented names would grow the map without limit.
const maxEstimates = 64

// estimates holds the moving average of completion tokens by model.
type estimates struct {
	initial float64 // of a model without observations
	mean    map[fleet.ModelRef]float64
}

// completion returns the expected length of a completion in tokens. maxTokens
// bounds it if positive.
func (e *estimates) completion(m fleet.ModelRef, maxTokens int) float64 {
	mean, ok := e.mean[m]
	if !ok {
		mean = e.initial
	}
	if maxTokens > 0 {
		mean = min(mean, float64(maxTokens))
	}
	return mean
}

// observe adds the completion of a finished request to its model's average.
func (e *estimates) observe(m fleet.ModelRef, tokens int) {
	mean, ok := e.mean[m]
	if !ok {
		if len(e.mean) >= maxEstimates {
			return
		}
		mean = float64(tokens)
	}
	if e.mean == nil {
		e.mean = make(map[fleet.ModelRef]float64)
	}
	e.mean[m] = mean + estimateGain*(float64(tokens)-mean)
}
