// Package estimate estimates an engine's present load from its lagging reports
// and from the requests that this daemon sent it, and predicts the time to the
// first token. Times are int64 nanoseconds of one clock, durations are float64
// seconds.
package estimate
