package rollout

import "time"

// The new version's share rises in trialSteps with the time until it must take over. What
// a bad version gets until it is found grows with the share; what can be found of one
// that is bad late, seldom or under load grows with it too.
var trialSteps = [...]struct {
	until float64 // part of the time of the trial
	share float64
	least float64 // requests in the step at least, also where few come
}{
	{0.5, 0.02, 10},
	{0.8, 0.05, 10},
	{1, 0.1, 12},
}

// plannedShare returns the new version's share at a part of the trial, where a service
// gets rate requests a second and the trial takes a time.
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

// maxTrialShare leaves the old version half of the requests to compare with.
const maxTrialShare = 0.5
