// Package estimate says how busy an engine is now, from its lagging report
// and from what this daemon sent it, and how soon it would produce a first
// token. Times passed in are nanoseconds of one clock, durations seconds.
package estimate
