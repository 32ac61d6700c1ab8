package exchange

import (
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/backpressure"
	"github.com/cyclamenbeam/cyclamenbeam/internal/feed"
	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/membership"
	"github.com/cyclamenbeam/cyclamenbeam/internal/origin"
	"github.com/cyclamenbeam/cyclamenbeam/internal/quarantine"
	"github.com/cyclamenbeam/cyclamenbeam/internal/relay"
	"github.com/cyclamenbeam/cyclamenbeam/internal/rollout"
)

// RequestCounts is the number of requests started in a usage window, by workspace.
type RequestCounts map[fleet.WorkspaceID]uint64

// Report is one daemon's state, as sent to a hub.
type Report struct {
	Daemon        fleet.DaemonID
	ConfigVersion uint64                   // of the daemon's configuration
	Soft          relay.SoftState          // all but Levels
	Windows       map[uint64]RequestCounts // by number of the window; empty: as in the last report
	WallTime      time.Time                // by the daemon's clock
	Holder        Holder                   // the newest that the daemon has received
	// EndpointsPosition is the position in the hub's list of endpoints that the daemon has
	// reached.
	EndpointsPosition feed.Position
	// OmitLoads means that the reply may omit the endpoints' loads, which are most of its
	// bytes, since another hub sends them.
	OmitLoads bool
	// Fetches means that the daemon fetches configurations. A daemon of an earlier
	// release gets them in the replies.
	Fetches bool
	// Crashes is the endpoint crashes that are new or changed since the last report to
	// the hub. CrashesPosition is the position in the hub's table of crashes that the
	// daemon has reached.
	Crashes         []quarantine.Crash
	CrashesPosition quarantine.Position
	// RateLimits is the statements about endpoints' rate limits that are new since the last
	// report to the hub, by the fleet's time. RateLimitsPosition is the position in the
	// hub's statements that the daemon has reached.
	RateLimits         []backpressure.Statement
	RateLimitsPosition backpressure.Position
	// Unreachable is the services whose endpoints the daemon can't reach, ForwardAddress where
	// it takes requests of daemons that can't; empty from an earlier release.
	Unreachable    []string
	ForwardAddress string
	// KeepsVersions means that the daemon sends forwarded streams that go on to endpoints of the
	// version that began them; an earlier release doesn't.
	KeepsVersions bool
	// WantVersions requests the versions that services had before the daemon started.
	WantVersions bool
	// WantForwarders requests daemons through which requests can be sent.
	WantForwarders bool
	// Rollouts is the daemon's counts for the roll-outs in progress, and RolloutUpdate the
	// newest update about them that it has received.
	Rollouts      []rollout.Report
	RolloutUpdate rollout.Update
	// WantLevels requests the remaining levels of the limits.
	WantLevels bool
	// Seq increases with each report; it is 0 from an earlier release.
	Seq uint64
	// Backup means that the receiver is the backup hub: another hub relays this report.
	Backup bool
	// IsHub means that the daemon relays reports, and needs no sums in the reply.
	IsHub bool
	// Relayed is the reports that a hub has received since its last relay.
	Relayed []RelayedReport
	// AcceptsCompressed means that lists in the reply may be compressed.
	AcceptsCompressed bool
	// Self is the daemon as a member, until the hub has answered a report; nil otherwise.
	Self *membership.Member
	// MembersPosition is the position in the hub's list of members that the daemon has
	// reached.
	MembersPosition feed.Position
}

// RelayedReport is a report that one hub relays to another.
type RelayedReport struct {
	Report
	Age time.Duration // since the relaying hub received it
	// ChangedOnly means that Soft.Spent and Soft.Demands have only what has changed.
	ChangedOnly bool
}

// Reply is a hub's reply to a report: sums over the reports of all other daemons, and
// newer state of the fleet.
type Reply struct {
	ConfigVersion uint64 // of the hub's configuration
	Config        []byte // text of the configuration, for a daemon that doesn't fetch
	// ConfigRevision is the store's revision up to which the hub has all versions of the
	// configuration, 0 if it has not listed them.
	ConfigRevision uint64
	Soft           relay.SoftState // Spent, Levels, Demands and JustStarted only
	Loads          *Loads          // nil if the report had OmitLoads
	Speeds         *Speeds         // likewise
	FleetTime      time.Time       // median of the daemons' clocks; zero if unknown
	Holder         Holder          // the newest that the hub has received
	// Endpoints updates the daemon's list of endpoints to the hub's.
	Endpoints feed.Update
	// Crashes updates the daemon's table of endpoint crashes to the hub's, up to
	// CrashesPosition.
	Crashes         []quarantine.Crash
	CrashesPosition quarantine.Position
	// RateLimits are the hub's statements that the daemon lacks, up to RateLimitsPosition.
	RateLimits         []backpressure.Statement
	RateLimitsPosition backpressure.Position
	// Forwarders are daemons that take forwarded requests, if the report wants them.
	Forwarders []Forwarder
	// Versions are those that services had, if the report wants them.
	Versions origin.History
	// RolloutUpdate is the newest update about the roll-outs that the hub has.
	RolloutUpdate rollout.Update
	// Members updates the daemon's list of members to the hub's; see EncodeMember.
	Members feed.Update
	// Compress means that long lists are compressed when encoded.
	Compress bool
	// StoreAge is the time since the hub last had an answer from the store, or from
	// another hub that had one.
	StoreAge time.Duration
}

// Holder is the daemon that holds the lease of the fleet-wide duties. Token is the lease's
// fencing token, which increases with each acquisition. The zero value means that the
// holder is unknown.
type Holder struct {
	Daemon fleet.DaemonID
	Token  uint64
}

// Newer returns the holder with the later acquisition.
func (h Holder) Newer(o Holder) Holder {
	if o.Token > h.Token {
		return o
	}
	return h
}
