package admission

import "github.com/cyclamenbeam/cyclamenbeam/internal/fleet"

// estimateGain is the weight of the newest completion in the moving average:
// about the last ten answers count.
const estimateGain = 0.1

// maxEstimates bounds the models remembered for one workspace. A caller names
// the model, so without the bound made-up names would grow the table forever.
const maxEstimates = 64

// estimates holds the moving average of completion tokens by model.
type estimates struct {
	initial float64
	mean    map[fleet.ModelRef]float64
}

// completion returns the expected completion of a request in tokens.
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

// observe takes a finished request's completion into the average.
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
