// Package settings reads a process's YAML settings: strictly, with defaults,
// and with the line and column of each mistake. Closing templates are not
// settings; they live in the object API.
package settings

import (
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

// Settings is what a daemon learns from its file.
type Settings struct {
	Instance   fleet.InstanceID `yaml:"instance"`
	DataCentre fleet.DataCentre `yaml:"dataCentre"`
	Region     fleet.Region     `yaml:"region"`
	Listen     Listen           `yaml:"listen"`
	Advertise  Advertise        `yaml:"advertise"`
	Platform   Platform         `yaml:"platform"`
	Seeds      []string         `yaml:"seeds"` // peer addresses of other daemons
	TLS        TLS              `yaml:"tls"`
	// AllowPlainText allows listeners without TLS on addresses other than loopback.
	AllowPlainText bool       `yaml:"allowPlainText"`
	Operators      []Operator `yaml:"operators"`
	Limits         Limits     `yaml:"limits"`
	Entries        Entries    `yaml:"entries"`
	Routing        Routing    `yaml:"routing"`
	Control        Control    `yaml:"control"`
	Placement      Placement  `yaml:"placement"`
	Capacity       Capacity   `yaml:"capacity"`
	Log            Log        `yaml:"log"`
}

// Listen holds the addresses to listen on, host:port.
type Listen struct {
	Callers   string `yaml:"callers"`
	Operators string `yaml:"operators"`
	Peers     string `yaml:"peers"` // TCP for drpc and UDP for membership
}

// Advertise holds the addresses that others are told; each defaults to its listener's.
type Advertise struct {
	Callers string `yaml:"callers"`
	Peers   string `yaml:"peers"`
}

// Platform holds the base URLs of the platform's services.
type Platform struct {
	Objects   string `yaml:"objects"`
	Instances string `yaml:"instances"`
	Cloud     string `yaml:"cloud"`
	Weights   string `yaml:"weights"`
}

// TLS names the certificate files of each listener. Files are read again when they change.
type TLS struct {
	Callers   KeyPair `yaml:"callers"`
	Operators KeyPair `yaml:"operators"`
	Peers     Mutual  `yaml:"peers"`
}

// KeyPair names a PEM certificate chain and its key.
type KeyPair struct {
	Certificate string `yaml:"certificate"`
	Key         string `yaml:"key"`
}

// Mutual names the key pair and the authority that both ends of a connection
// between daemons must have, and the file with the membership key.
type Mutual struct {
	Certificate string `yaml:"certificate"`
	Key         string `yaml:"key"`
	Authority   string `yaml:"authority"`
	// GossipKey names a file with one or two hex keys of 32 bytes, a line each;
	// the first seals, all open.
	GossipKey string `yaml:"gossipKey"`
}

// Operator is a person who may change templates.
type Operator struct {
	Name        string `yaml:"name"`
	TokenSHA256 string `yaml:"tokenSHA256"` // hex of the bearer token's hash
}

// Limits bounds what strangers can make the process hold.
type Limits struct {
	MaxBodyBytes   int64         `yaml:"maxBodyBytes"`
	MaxHeaderBytes int           `yaml:"maxHeaderBytes"`
	MaxConnections int           `yaml:"maxConnections"`
	MaxMessages    int           `yaml:"maxMessages"`
	MaxTokens      int           `yaml:"maxTokens"`
	MaxRequests    int           `yaml:"maxRequests"`    // accepted and running at once
	ReadTimeout    time.Duration `yaml:"readTimeout"`    // for a whole request to arrive
	RequestTimeout time.Duration `yaml:"requestTimeout"` // from acceptance to the whole answer
	WriteTimeout   time.Duration `yaml:"writeTimeout"`   // for a caller to take one piece
	Retain         time.Duration `yaml:"retain"`         // finished answers
	RetainBytes    int64         `yaml:"retainBytes"`    // finished answers, all together
}

// Entries rules the answer to GET /v1/entries.
type Entries struct {
	MaxAge time.Duration `yaml:"maxAge"`
	Subset int           `yaml:"subset"` // entries given to a workspace at least
}

// Routing chooses the policy.
type Routing struct {
	Policy string `yaml:"policy"`
	// FirstToken and BetweenTokens bound the silence of an engine before a
	// stream is taken up on another connection.
	FirstToken    time.Duration `yaml:"firstToken"`
	BetweenTokens time.Duration `yaml:"betweenTokens"`
	LoadInterval  time.Duration `yaml:"loadInterval"` // between polls of an engine
}

// Control bounds the control duties.
type Control struct {
	ListInterval  time.Duration `yaml:"listInterval"`  // between reads of the instance list
	ProbeInterval time.Duration `yaml:"probeInterval"` // of membership
	FleetReads    float64       `yaml:"fleetReads"`    // platform reads a second, all daemons together
	FleetWrites   float64       `yaml:"fleetWrites"`   // platform writes a second, all daemons together
	// StartSpread is the time over which daemons that start together read the
	// object API for the first time.
	StartSpread time.Duration `yaml:"startSpread"`
}

// Placement rules which models engines hold.
type Placement struct {
	Enabled         bool `yaml:"enabled"`         // this daemon may hold the lease and give orders
	ModelsPerEngine int  `yaml:"modelsPerEngine"` // that an engine holds at once
}

// Capacity rules the buying of engine instances.
type Capacity struct {
	Enabled   bool          `yaml:"enabled"`   // this daemon may hold the lease and buy
	Classes   []Class       `yaml:"classes"`   // that may be bought
	StartTime time.Duration `yaml:"startTime"` // from a purchase until the engine serves, weights loaded
	Patience  time.Duration `yaml:"patience"`  // too little is owned or starting for so long before on-demand is bought
	KeepFor   time.Duration `yaml:"keepFor"`   // a surplus lasts before it is given back
}

// Class is a machine class that engines run on.
type Class struct {
	Name            string  `yaml:"name"`
	TokensPerSecond float64 `yaml:"tokensPerSecond"` // generated within the latency target
}

// Log chooses the form of the log on stderr.
type Log struct {
	Format string `yaml:"format"` // text or json
	Level  string `yaml:"level"`  // debug, info, warn, error
}

// Defaults returns the settings that a file starts from.
func Defaults() Settings {
	return Settings{
		Limits: Limits{
			MaxBodyBytes:   4 << 20,
			MaxHeaderBytes: 64 << 10,
			MaxConnections: 10_000,
			MaxMessages:    1_000,
			MaxTokens:      32_768,
			MaxRequests:    2_000,
			ReadTimeout:    30 * time.Second,
			RequestTimeout: 15 * time.Minute,
			WriteTimeout:   30 * time.Second,
			Retain:         2 * time.Minute,
			RetainBytes:    64 << 20,
		},
		Entries: Entries{MaxAge: 10 * time.Second, Subset: 3},
		Routing: Routing{
			Policy:        "cyclamenbeam",
			FirstToken:    20 * time.Second,
			BetweenTokens: 2 * time.Second,
			LoadInterval:  time.Second,
		},
		Control: Control{
			ListInterval:  2 * time.Second,
			ProbeInterval: time.Second,
			FleetReads:    2_000,
			FleetWrites:   300,
			StartSpread:   time.Second,
		},
		Placement: Placement{Enabled: true, ModelsPerEngine: 4},
		Capacity: Capacity{
			StartTime: 4 * time.Minute,
			Patience:  time.Minute,
			KeepFor:   5 * time.Minute,
		},
		Log: Log{Format: "text", Level: "info"},
	}
}
