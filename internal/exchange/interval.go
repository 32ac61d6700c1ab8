package exchange

import "time"

// Times between a daemon's reports to the hubs. What a daemon lets in beyond a
// limit, and how far its view of the endpoints' loads is off, grows with them;
// a hub's work is the number of its daemons by them.
const (
	// SmallFleet is the number of daemons up to which each does all for itself.
	SmallFleet = 12
	// smallInterval is that of a small fleet: limits overshoot by what is let in
	// meanwhile, a few percent of a window.
	smallInterval = 250 * time.Millisecond
	// largeInterval is that of a fleet above SmallFleet, where each daemon lets
	// in less meanwhile.
	largeInterval = 400 * time.Millisecond
	// startInterval is that of a daemon that has just started: until it is told
	// something it lets in little.
	startInterval = 80 * time.Millisecond
	// normalPerDaemon bounds the reports that come to a hub at 670 a second.
	normalPerDaemon = 1500 * time.Microsecond
	// urgentPerDaemon bounds them at 1,000 a second while a limit is short.
	urgentPerDaemon = time.Millisecond
)

// NormalInterval is the time between two reports of a daemon, where so many daemons
// report to its hub.
func NormalInterval(daemons int) time.Duration {
	if daemons <= SmallFleet {
		return smallInterval
	}
	return max(largeInterval, time.Duration(daemons)*normalPerDaemon)
}

// UrgentInterval is that of a daemon that sees a workspace's limit run short: the
// daemons have to hear of each other's spending before the limit is used up.
func UrgentInterval(daemons int) time.Duration {
	return min(NormalInterval(daemons), max(smallInterval, time.Duration(daemons)*urgentPerDaemon))
}

// StartInterval is that of a daemon that has just started.
func StartInterval(daemons int) time.Duration {
	return max(startInterval, time.Duration(daemons)*normalPerDaemon)
}
