package estimate

// Constants of the surprise.
var (
	SurpriseGain = 0.0        // weight of the newest observation
	surpriseFade = int64(5e9) // ns after which half of it is forgotten
)

// surprise follows how much later first tokens came than foretold. It sees
// the load that other daemons added since the last report, and engines that
// are slower than they say.
type surprise struct {
	seconds float64
	since   int64
}

// Observed notes a first token that came late by the given seconds, or early
// when negative.
func (e *Engine) Observed(now int64, late float64) {
	s := &e.surprise
	s.seconds = max(0, s.at(now)+SurpriseGain*late)
	s.since = now
}

// at returns the expected lateness in seconds.
func (s *surprise) at(now int64) float64 {
	if s.seconds == 0 {
		return 0
	}
	return s.seconds * float64(surpriseFade) / float64(surpriseFade+max(0, now-s.since))
}
