package balance

// slowness is how much longer an endpoint takes than the usual one of its service, for a token of
// a prompt and of an answer alike: 1 is as long, 2 twice as long.
type slowness float64

// usual is the slowness of an endpoint of which nothing else is known.
const usual slowness = 1

// speed returns how fast an endpoint is compared to the usual one.
func (s slowness) speed() float64 { return 1 / float64(s) }
