package budget

// Rates is a rate for each kind, in calls a second.
type Rates [Kinds]float64

// Config sizes a budget.
type Config struct {
	Fleet       Rates   // what the whole fleet may use; zero takes the default
	FleetSize   int     // daemons that share it; zero takes DefaultFleetSize
	Utilisation float64 // share of the rates that is planned for, in (0, 1]; zero takes the default

	// LedgerShards and LeaseShards are how many shards the fleet has of each.
	// A part of the calls is set apart for who writes or holds them; none where
	// there are no shards.
	LedgerShards int
	LeaseShards  int
	LedgerPart   float64 // of the planned writes, in (0, 1); zero takes the default
}

// Defaults of Config. The platform states the rates of the object API; the others are low,
// since it states none.
const (
	DefaultObjectReads  = 2000.0
	DefaultObjectWrites = 300.0
	DefaultListReads    = 200.0
	DefaultCloudCalls   = 100.0
	DefaultWeightFetch  = 5.0
	// DefaultFleetSize is the largest fleet planned for: a daemon that doesn't
	// know the fleet's size yet must not take more than its share of that one.
	DefaultFleetSize = 340
	// DefaultLedgerPart is explained in docs/adr/0012-platform-budget.md.
	DefaultLedgerPart = 0.6
	// DefaultUtilisation leaves a fifth for phases that happen to coincide,
	// for operators' commands, and for a fleet that is larger than configured.
	DefaultUtilisation = 0.8
)

func (c Config) withDefaults() Config {
	defaults := Rates{
		ObjectRead:  DefaultObjectReads,
		ObjectWrite: DefaultObjectWrites,
		ListRead:    DefaultListReads,
		CloudCall:   DefaultCloudCalls,
		WeightFetch: DefaultWeightFetch,
	}
	for k := range c.Fleet {
		if c.Fleet[k] <= 0 {
			c.Fleet[k] = defaults[k]
		}
	}
	if c.FleetSize <= 0 {
		c.FleetSize = DefaultFleetSize
	}
	if c.Utilisation <= 0 || c.Utilisation > 1 {
		c.Utilisation = DefaultUtilisation
	}
	if c.LedgerPart <= 0 || c.LedgerPart >= 1 {
		c.LedgerPart = DefaultLedgerPart
	}
	return c
}

// share is the rate of one daemon without a role, in calls a second.
func (c Config) share(k Kind) float64 {
	planned := c.Fleet[k] * c.Utilisation
	for r := range roles {
		planned -= c.setApart(k, r)
	}
	return planned / float64(c.FleetSize)
}
