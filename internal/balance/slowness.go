package balance

// slowness is how much longer an endpoint takes than the usual one of its service: 1 is as
// long, 2 twice as long.
type slowness struct{ decode, prefill float64 }

// usual is the slowness of an endpoint of which nothing else is known.
var usual = slowness{decode: 1, prefill: 1}
