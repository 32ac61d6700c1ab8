package membership

import "time"

// Config holds the protocol's intervals and limits. A zero field takes its
// default. ProbeInterval should be at least 200 ms, which is two ticks.
type Config struct {
	// ProbeInterval is the time between two probes; a daemon probes one peer
	// at a time.
	ProbeInterval time.Duration
	// ProbeTimeout is how long a direct answer may take before other daemons
	// are asked to probe the target as well.
	ProbeTimeout time.Duration
	// IndirectProbes is how many daemons are asked to probe a target that did
	// not answer.
	IndirectProbes int
	// SuspicionMultiplier sets the time that a suspect has to refute:
	// SuspicionMultiplier * log10(daemons of the region) * ProbeInterval.
	SuspicionMultiplier int
	// RetransmitMultiplier sets how many times a daemon sends an update:
	// RetransmitMultiplier * log2(daemons of the region).
	RetransmitMultiplier int
	// MaxPacketBytes bounds an encrypted packet, without IP and UDP headers.
	MaxPacketBytes int
	// GossipInterval is the time between two Gossip packets, which carry only
	// updates and are sent only while updates are queued.
	GossipInterval time.Duration
	// SyncInterval is the time between two comparisons of member tables with
	// peers whose table hash differs.
	SyncInterval time.Duration
	// UpdateBytesPerSecond bounds what is sent to spread updates.
	UpdateBytesPerSecond int
	// SyncBytesPerSecond bounds what is sent to compare tables.
	SyncBytesPerSecond int
	// ReconnectInterval is the time between two probes of Dead daemons or seed
	// addresses.
	ReconnectInterval time.Duration
	// Retention is how long a Dead or Left daemon stays in the table.
	Retention time.Duration
	// LossWindow is the time within which half of a data centre's daemons must
	// fail for its loss to be verified.
	LossWindow time.Duration
	// LossApplyDelay is how long a data centre must be lost before its members'
	// own states become Dead.
	LossApplyDelay time.Duration
	// Bridges is the number of daemons per region that probe other regions.
	Bridges int
	// BridgeInterval is the time between two probes of another region by a
	// bridge.
	BridgeInterval time.Duration
	// RegionTimeout is how long a region's heartbeat must stand still before
	// the region counts as unreachable.
	RegionTimeout time.Duration
	// LocalHealthMax bounds the local health score; negative disables it.
	LocalHealthMax int
}

// The defaults. Intervals other than ProbeInterval and Retention are multiples
// of ProbeInterval.
const (
	defaultProbeInterval        = time.Second
	defaultIndirectProbes       = 3
	defaultSuspicionMultiplier  = 4 // 4 s with 9 daemons, 8 s with 113
	defaultRetransmitMultiplier = 2 // 14 times with 113 daemons
	defaultMaxPacketBytes       = 1200
	defaultUpdateBytesPerSecond = 1250
	defaultSyncBytesPerSecond   = 1250
	defaultRetention            = 4 * time.Hour // four times the longest partition between regions
	defaultBridges              = 3
	defaultLocalHealthMax       = 4

	// Round trips inside a region take a few milliseconds, so nearly all of a
	// timeout of 0.3 intervals is allowance for a busy process. The rest of the
	// interval is enough for an indirect probe and its Nack.
	probeTimeoutShare      = 0.3
	gossipShare            = 0.25
	bridgeIntervals        = 1
	syncIntervals          = 5
	reconnectIntervals     = 5
	lossWindowIntervals    = 10
	regionTimeoutIntervals = 15
	lossApplyIntervals     = 30
)

// Bursts of the two budgets, in bytes.
const (
	updateBurst = 8 << 10  // updates of fifty daemons, sent to four peers
	syncBurst   = 64 << 10 // the table of 340 daemons, and records that are fetched twice
)

func (c Config) withDefaults() Config {
	orDefault(&c.ProbeInterval, defaultProbeInterval)
	interval := c.ProbeInterval
	orDefault(&c.ProbeTimeout, time.Duration(probeTimeoutShare*float64(interval)))
	orDefault(&c.GossipInterval, time.Duration(gossipShare*float64(interval)))
	orDefault(&c.BridgeInterval, bridgeIntervals*interval)
	orDefault(&c.SyncInterval, syncIntervals*interval)
	orDefault(&c.ReconnectInterval, reconnectIntervals*interval)
	orDefault(&c.LossWindow, lossWindowIntervals*interval)
	orDefault(&c.RegionTimeout, regionTimeoutIntervals*interval)
	orDefault(&c.LossApplyDelay, lossApplyIntervals*interval)
	orDefault(&c.Retention, defaultRetention)
	orDefault(&c.IndirectProbes, defaultIndirectProbes)
	orDefault(&c.SuspicionMultiplier, defaultSuspicionMultiplier)
	orDefault(&c.RetransmitMultiplier, defaultRetransmitMultiplier)
	orDefault(&c.MaxPacketBytes, defaultMaxPacketBytes)
	orDefault(&c.UpdateBytesPerSecond, defaultUpdateBytesPerSecond)
	orDefault(&c.SyncBytesPerSecond, defaultSyncBytesPerSecond)
	orDefault(&c.Bridges, defaultBridges)
	orDefault(&c.LocalHealthMax, defaultLocalHealthMax)
	return c
}

func orDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
