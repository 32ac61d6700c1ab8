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

// RequestCounts is the requests that began in a window of usage, by workspace.
type RequestCounts map[fleet.WorkspaceID]uint64

// Report is one daemon's part.
type Report struct {
	Daemon        fleet.DaemonID
	ConfigVersion uint64 // of its configuration
	Soft          relay.SoftState
	Windows       map[uint64]RequestCounts // none: as told before
	WallTime      time.Time                // the daemon's time of day
	Holder        Holder
	// EndpointsPosition is the hub's state of the list that the daemon has.
	EndpointsPosition feed.Position
	// OmitLoads says that the sum may come without the endpoints' loads, which
	// are most of its bytes: another hub tells them.
	OmitLoads bool
	// Fetches says that the daemon fetches configurations; one of an earlier
	// release takes their texts with its sums.
	Fetches bool
	// Crashes is what has changed of the endpoints' crashes since the hub was
	// told last, and CrashesHave what the daemon has of the hub's.
	Crashes         []quarantine.Crash
	CrashesPosition quarantine.Position
	// Rollouts is what the daemon has counted of those under way, RolloutNews what it
	// was told of them.
	Rollouts      []rollout.Report
	RolloutUpdate rollout.Update
	// WantLevels asks for what the limits have left.
	WantLevels bool
	// Seq rises with each report; 0 of an earlier release.
	Seq uint64
	// Backup says that another hub relays this report.
	Backup bool
	// IsHub says that the daemon relays reports, and needs no sums.
	IsHub bool
	// Relayed is what a hub was told since its last relay.
	Relayed []RelayedReport
	// AcceptsCompressed says that lists may be told packed.
	AcceptsCompressed bool
	// Self is the daemon itself, as long as the hub may not know it; nil otherwise.
	Self *membership.Member
	// MembersPosition is the hub's state of the list of members that the daemon has.
	MembersPosition feed.Position
}

// RelayedReport is a part that comes through a hub.
type RelayedReport struct {
	Report
	Age time.Duration // since the hub was told
	// ChangedOnly says that only the spending that has changed is told.
	ChangedOnly bool
}

// Reply is what a hub answers: the sum of all others' parts.
type Reply struct {
	ConfigVersion uint64 // of the hub's configuration
	Config        []byte // of it, for a daemon that doesn't fetch
	// ConfigRevision is the store's revision up to which the hub knows all versions,
	// 0 where it has not listed them.
	ConfigRevision uint64
	Soft           relay.SoftState // Spent and Levels
	Loads          *Loads          // nil where the report was brief
	FleetTime      time.Time       // the fleet's time; zero where not known
	Holder         Holder
	// Endpoints leads to the hub's list.
	Endpoints feed.Update
	// Crashes leads to the hub's crashes of endpoints, at CrashesTo.
	Crashes         []quarantine.Crash
	CrashesPosition quarantine.Position
	// RolloutUpdate is what the hub was told of the roll-outs.
	RolloutUpdate rollout.Update
	// Members leads to the hub's list of members; see EncodeMember.
	Members feed.Update
	// Compress says that long lists are told packed.
	Compress bool
	// StoreAge is the time since the hub last heard from the store.
	StoreAge time.Duration
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
