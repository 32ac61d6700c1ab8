package membership

import "time"

// Config holds the protocol's times and sizes. A zero field takes its default.
// ProbeInterval should be 200 ms at least, twice the time between ticks.
type Config struct {
	// ProbeInterval is the time between two probes; each daemon probes one
	// other at a time.
	ProbeInterval time.Duration
	// ProbeTimeout is how long a direct answer may take before others are
	// asked to probe as well.
	ProbeTimeout time.Duration
	// IndirectProbes is how many others are asked.
	IndirectProbes int
	// SuspicionMultiplier times log10 of the region's daemons times
	// ProbeInterval is how long a suspect has to refute.
	SuspicionMultiplier int
	// RetransmitMultiplier times log2 of the region's daemons is how often a
	// daemon repeats an update.
	RetransmitMultiplier int
	// MaxPacketBytes bounds a sealed packet, without IP and UDP headers.
	MaxPacketBytes int
	// GossipInterval is the time between two packets that carry updates alone;
	// they are sent only while there are updates.
	GossipInterval time.Duration
	// SyncInterval is the time between two comparisons of member tables with a
	// peer whose hash differs.
	SyncInterval time.Duration
	// UpdateBytesPerSecond bounds what is sent to spread changes.
	UpdateBytesPerSecond int
	// SyncBytesPerSecond bounds what is sent to compare tables.
	SyncBytesPerSecond int
	// ReconnectInterval is the time between two probes of a daemon that is
	// believed dead or only hinted at.
	ReconnectInterval time.Duration
	// Retention is how long a Dead or Left daemon is remembered.
	Retention time.Duration
	// LossWindow is the time in which half of a data centre's daemons must
	// fail for its loss to be looked into.
	LossWindow time.Duration
	// LossApplyDelay is how long a data centre is lost before its daemons'
	// own records become Dead.
	LossApplyDelay time.Duration
	// Bridges is the number of daemons of a region that probe other regions.
	Bridges int
	// BridgeInterval is the time between two probes of one other region.
	BridgeInterval time.Duration
	// RegionTimeout is how long nothing is heard from a region before it
	// counts as unreachable.
	RegionTimeout time.Duration
	// LocalHealthMax bounds the local health score; negative switches it off.
	LocalHealthMax int
}

// The defaults. Times but ProbeInterval are given as multiples of it.
const (
	defaultProbeInterval        = time.Second
	defaultIndirectProbes       = 3
	defaultSuspicionMultiplier  = 4 // 4 s for 9 daemons, 8 s for 113
	defaultRetransmitMultiplier = 2 // 14 times for 113 daemons
	defaultMaxPacketBytes       = 1200
	defaultUpdateBytesPerSecond = 1250
	defaultSyncBytesPerSecond   = 1250
	defaultRetention            = 4 * time.Hour // four times the longest loss between regions
	defaultBridges              = 3
	defaultLocalHealthMax       = 4

	// Daemons of a region are a few milliseconds apart, so nearly all of a
	// timeout of 0.3 is allowance for a busy process. The rest of the interval
	// is enough for the way through another daemon and its Nack.
	probeTimeoutShare      = 0.3
	gossipShare            = 0.25
	bridgeIntervals        = 1
	syncIntervals          = 5
	reconnectIntervals     = 5
	lossWindowIntervals    = 10
	regionTimeoutIntervals = 15
	lossApplyIntervals     = 30
)

// What may be sent at once after a quiet time, in bytes.
const (
	updateBurst = 8 << 10  // a change of fifty daemons, told to four others
	syncBurst   = 64 << 10 // the table of 340 daemons and what is fetched twice
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
