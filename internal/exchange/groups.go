package exchange

import "time"

const (
	// HubCount is the hubs that a daemon reports to: one more than can die at once
	// without a loss of what was told.
	HubCount = 2
	// GroupSize is the daemons that two hubs serve at largeInterval. A larger fleet
	// has hubs in each data centre, which relay to each other what they are told.
	GroupSize = int(largeInterval / normalPerDaemon)
	// RelayInterval is the time between two relays of a hub: with two urgent reports
	// it is how late a daemon of a fleet of any size hears of another's spending.
	RelayInterval = 100 * time.Millisecond
	// BackupEvery is every how manieth of its reports goes to the hub that doesn't relay
	// it, too: that one hears of it by the relays.
	BackupEvery = 3
	// meshPerDaemon bounds the reports that come to a hub that relays at 200 a second: a
	// daemon of a thousand serves about one request between two of them.
	meshPerDaemon = 5 * time.Millisecond
	// startPerDaemon bounds those of a start at 340 a second.
	startPerDaemon = 3 * time.Millisecond
)

// MeshInterval is the time between two reports of a daemon whose hubs relay, while it
// has nothing urgent to tell, where so many daemons report to its hub.
func MeshInterval(daemons int) time.Duration {
	return max(largeInterval, time.Duration(daemons)*meshPerDaemon)
}

// MeshStartInterval is the time between two reports of a daemon that has just started,
// of so many that report to its hub.
func MeshStartInterval(daemons int) time.Duration {
	return max(startInterval, time.Duration(daemons)*startPerDaemon)
}

// Meshed reports whether a fleet has hubs in each data centre.
func Meshed(daemons int) bool { return daemons > GroupSize }

// Groups returns into how many groups a data centre's daemons divide, each with
// HubCount hubs of its own.
func Groups(daemons int) int { return max(1, (daemons+GroupSize-1)/GroupSize) }
