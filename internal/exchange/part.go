package exchange

import (
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/feed"
	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/membership"
	"github.com/cyclamenbeam/cyclamenbeam/internal/quarantine"
	"github.com/cyclamenbeam/cyclamenbeam/internal/relay"
	"github.com/cyclamenbeam/cyclamenbeam/internal/rollout"
)

// Begun is the requests that began in a window of usage, by workspace.
type Begun map[fleet.WorkspaceID]uint64

// Part is one daemon's part.
type Part struct {
	Daemon  fleet.DaemonID
	Version uint64 // of its configuration
	Soft    relay.SoftState
	Windows map[uint64]Begun // none: as told before
	Wall    time.Time        // the daemon's time of day
	Holder  Holder
	// Endpoints is the hub's state of the list that the daemon has.
	Endpoints feed.Position
	// Brief says that the sum may come without the endpoints' loads, which
	// are most of its bytes: another hub tells them.
	Brief bool
	// Fetches says that the daemon fetches configurations; one of an earlier
	// release takes their texts with its sums.
	Fetches bool
	// Crashes is what has changed of the endpoints' crashes since the hub was
	// told last, and CrashesHave what the daemon has of the hub's.
	Crashes     []quarantine.Crash
	CrashesHave quarantine.Position
	// Rollouts is what the daemon has counted of those under way, RolloutNews what it
	// was told of them.
	Rollouts    []rollout.Report
	RolloutNews rollout.Update
	// WantLevels asks for what the limits have left.
	WantLevels bool
	// Seq rises with each report; 0 of an earlier release.
	Seq uint64
	// Spare says that another hub relays this report.
	Spare bool
	// Hub says that the daemon relays reports, and needs no sums.
	Hub bool
	// Relayed is what a hub was told since its last relay.
	Relayed []Relayed
	// Unpacks says that lists may be told packed.
	Unpacks bool
	// Self is the daemon itself, as long as the hub may not know it; nil otherwise.
	Self *membership.Member
	// Members is the hub's state of the list of members that the daemon has.
	Members feed.Position
}

// Relayed is a part that comes through a hub.
type Relayed struct {
	Part
	Age time.Duration // since the hub was told
	// Changes says that only the spending that has changed is told.
	Changes bool
}

// Sum is what a hub answers: the sum of all others' parts.
type Sum struct {
	Version uint64 // of the hub's configuration
	Text    []byte // of it, for a daemon that doesn't fetch
	// VersionAt is the store's revision up to which the hub knows all versions,
	// 0 where it has not listed them.
	VersionAt uint64
	Soft      relay.SoftState // Spent and Levels
	Loads     *Loads          // nil where the report was brief
	True      time.Time       // the fleet's time; zero where not known
	Holder    Holder
	// Endpoints leads to the hub's list.
	Endpoints feed.Update
	// Crashes leads to the hub's crashes of endpoints, at CrashesTo.
	Crashes   []quarantine.Crash
	CrashesTo quarantine.Position
	// Rollouts is what the hub was told of the roll-outs.
	Rollouts rollout.Update
	// Members leads to the hub's list of members; see EncodeMember.
	Members feed.Update
	// Packed says that long lists are told packed.
	Packed bool
	// Fresh is the time since the hub last heard from the store.
	Fresh time.Duration
}

// Holder is the daemon that does the duties under a lease; Token rises with
// each acquisition. The zero value is none known.
type Holder struct {
	Daemon fleet.DaemonID
	Token  uint64
}

// Newer returns the holder of the later acquisition.
func (h Holder) Newer(o Holder) Holder {
	if o.Token > h.Token {
		return o
	}
	return h
}
