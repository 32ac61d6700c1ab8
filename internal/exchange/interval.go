package exchange

import "time"

// Times between a daemon's reports to its hubs. With longer intervals, a daemon admits more
// beyond a limit and its view of the endpoints' loads is less accurate. The rate of reports
// at a hub is the number of its daemons divided by the interval.
const (
	// SmallFleet is the most daemons of a small fleet, where each watches the store itself.
	SmallFleet = 12
	// smallInterval is for a small fleet. Limits are exceeded by what is admitted in an
	// interval, a few percent of the limit's window.
	smallInterval = 250 * time.Millisecond
	// largeInterval is the least for a larger fleet, where each daemon admits less in the
	// same time.
	largeInterval = 400 * time.Millisecond
	// startInterval is for a daemon that has just started, which admits little until it
	// has a reply.
	startInterval = 80 * time.Millisecond
	// normalPerDaemon bounds the reports to a hub at 670 a second.
	normalPerDaemon = 1500 * time.Microsecond
	// urgentPerDaemon bounds them at 1,000 a second while a limit is nearly used up.
	urgentPerDaemon = time.Millisecond
)

// NormalInterval returns the time between two reports of a daemon without urgent changes,
// where so many daemons report to its hub.
func NormalInterval(daemons int) time.Duration {
	if daemons <= SmallFleet {
		return smallInterval
	}
	return max(largeInterval, time.Duration(daemons)*normalPerDaemon)
}

// UrgentInterval returns the time between two reports of a daemon while a workspace's limit
// is nearly used up: daemons need each other's spending before it is exceeded.
func UrgentInterval(daemons int) time.Duration {
	return min(NormalInterval(daemons), max(smallInterval, time.Duration(daemons)*urgentPerDaemon))
}

// StartInterval returns the time between two reports of a daemon that has just started.
func StartInterval(daemons int) time.Duration {
	return max(startInterval, time.Duration(daemons)*normalPerDaemon)
}
