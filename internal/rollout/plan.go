package rollout

import "time"

// trialSteps raise the new version's share during the trial. The requests that a bad
// version gets before it is detected grow with the share; so does the chance to detect
// one that is bad late, rarely or under load.
var trialSteps = [...]struct {
	until float64 // end of the step, as a part of the trial
	share float64
	least float64 // requests in the step at least, by a higher share if need be
}{
	{0.5, 0.02, 10},
	{0.8, 0.05, 10},
	{1, 0.1, 12},
}

// plannedShare returns the new version's share once the given part of the trial has
// passed, for a service with rate requests a second and a trial of the given length.
func plannedShare(part, rate float64, trial time.Duration) float64 {
	from := 0.0
	for _, s := range trialSteps {
		if part < s.until || s.until == 1 {
			requests := rate * (s.until - from) * trial.Seconds()
			return max(s.share, min(s.least/max(requests, 1), maxTrialShare))
		}
		from = s.until
	}
	return 0
}

// maxTrialShare leaves the old version half of the requests for the comparison.
const maxTrialShare = 0.5
