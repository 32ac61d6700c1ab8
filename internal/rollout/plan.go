package rollout

import "time"

// The new version's share rises in steps with the time until it must take over. What
// a bad version gets until it is found grows with the share; what can be found of one
// that is bad late, seldom or under load grows with it too.
var steps = [...]struct {
	until float64 // part of the time of the trial
	share float64
	least float64 // requests in the step at least, also where few come
}{
	{0.5, 0.02, 10},
	{0.8, 0.05, 10},
	{1, 0.1, 12},
}

// planned returns the new version's share at a part of the trial, where a service
// gets rate requests a second and the trial takes a time.
func planned(part, rate float64, trial time.Duration) float64 {
	from := 0.0
	for _, s := range steps {
		if part < s.until || s.until == 1 {
			requests := rate * (s.until - from) * trial.Seconds()
			return max(s.share, min(s.least/max(requests, 1), mostShare))
		}
		from = s.until
	}
	return 0
}

// mostShare leaves the old version half of the requests to compare with.
const mostShare = 0.5
