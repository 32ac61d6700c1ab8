package exchange

import "time"

const (
	// HubCount is the number of hubs of a daemon. The failure of all but one loses no
	// state.
	HubCount = 2
	// GroupSize is the most daemons that two hubs can serve with reports at
	// largeInterval. A larger fleet has hubs in each data centre, which relay reports to
	// each other.
	GroupSize = int(largeInterval / normalPerDaemon)
	// RelayInterval is the time between two relays of a hub. This interval and two urgent
	// reports are the delay with which a daemon receives another's spending, in a fleet
	// of any size.
	RelayInterval = 100 * time.Millisecond
	// BackupEvery means that every third report of a daemon also goes to its backup hub,
	// the one that doesn't relay it; the backup hub gets the others from the relays.
	BackupEvery = 3
	// meshPerDaemon bounds the reports to a hub that relays at 200 a second. In a fleet of
	// a thousand, a daemon then serves about one request between two reports.
	meshPerDaemon = 5 * time.Millisecond
	// meshStartPerDaemon bounds them at 340 a second while daemons start.
	meshStartPerDaemon = 3 * time.Millisecond
)

// MeshInterval returns the time between two reports of a daemon without urgent changes,
// where its hub relays reports and receives them from so many daemons.
func MeshInterval(daemons int) time.Duration {
	return max(largeInterval, time.Duration(daemons)*meshPerDaemon)
}

// MeshStartInterval returns the time between two reports of a daemon that has just
// started, where its hub relays reports and receives them from so many daemons.
func MeshStartInterval(daemons int) time.Duration {
	return max(startInterval, time.Duration(daemons)*meshStartPerDaemon)
}

// Meshed reports whether a fleet of so many daemons has hubs in each data centre, which
// relay reports to each other.
func Meshed(daemons int) bool { return daemons > GroupSize }

// Groups returns the number of groups that so many daemons of a data centre are divided
// into. Each group has HubCount hubs of its own.
func Groups(daemons int) int { return max(1, (daemons+GroupSize-1)/GroupSize) }
