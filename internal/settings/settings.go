// Package settings decodes and checks a process's YAML settings. Decoding is
// strict and fills in defaults, and each mistake is reported with its line and
// column. Closing templates are not settings; they are stored in the object API.
package settings

import (
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

// Settings are a daemon's settings.
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
	Peers     string `yaml:"peers"` // TCP for RPCs and UDP for membership
}

// Advertise holds the addresses that others connect to; each defaults to its
// listener's.
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

// TLS names the certificate files of each listener. Files are reloaded when they
// change.
type TLS struct {
	Callers   KeyPair `yaml:"callers"`
	Operators KeyPair `yaml:"operators"`
	Peers     PeerTLS `yaml:"peers"`
}

// KeyPair names a PEM certificate chain and its key.
type KeyPair struct {
	Certificate string `yaml:"certificate"`
	Key         string `yaml:"key"`
}

// PeerTLS names the files for mutual TLS between daemons, the key pair and the
// authority that signed it, and the file with the keys of membership messages.
type PeerTLS struct {
	Certificate string `yaml:"certificate"`
	Key         string `yaml:"key"`
	Authority   string `yaml:"authority"`
	// GossipKey names a file with one or two hex keys of 32 bytes, one a line.
	// Messages are encrypted with the first, and decrypted with any of them.
	GossipKey string `yaml:"gossipKey"`
}

// Operator is a person who may change templates.
type Operator struct {
	Name        string `yaml:"name"`
	TokenSHA256 string `yaml:"tokenSHA256"` // hex of the bearer token's hash
}

// Limits bounds the resources that callers can make the process use.
type Limits struct {
	MaxBodyBytes   int64         `yaml:"maxBodyBytes"`
	MaxHeaderBytes int           `yaml:"maxHeaderBytes"`
	MaxConnections int           `yaml:"maxConnections"`
	MaxMessages    int           `yaml:"maxMessages"`
	MaxTokens      int           `yaml:"maxTokens"`
	MaxRequests    int           `yaml:"maxRequests"`    // accepted and running at once
	ReadTimeout    time.Duration `yaml:"readTimeout"`    // for receiving a whole request
	RequestTimeout time.Duration `yaml:"requestTimeout"` // from acceptance to the end of the answer
	WriteTimeout   time.Duration `yaml:"writeTimeout"`   // for one write to a caller
	Retain         time.Duration `yaml:"retain"`         // how long finished answers are kept
	RetainBytes    int64         `yaml:"retainBytes"`    // total size of the finished answers kept
}

// Entries configures the answer to GET /v1/entries.
type Entries struct {
	MaxAge time.Duration `yaml:"maxAge"` // how long callers may cache the answer
	Subset int           `yaml:"subset"` // least number of entries returned to a workspace
}

// Routing configures the choice of engines and the polling of their load.
type Routing struct {
	Policy string `yaml:"policy"`
	// FirstToken and BetweenTokens bound the time without output from an engine,
	// before and after the first token, until a stream is resumed on another
	// connection.
	FirstToken    time.Duration `yaml:"firstToken"`
	BetweenTokens time.Duration `yaml:"betweenTokens"`
	LoadInterval  time.Duration `yaml:"loadInterval"` // between polls of an engine
}

// Control sets the rates at which the daemon reads and writes the platform and
// probes other daemons.
type Control struct {
	ListInterval  time.Duration `yaml:"listInterval"`  // between reads of the instance list
	ProbeInterval time.Duration `yaml:"probeInterval"` // between probes of membership
	FleetReads    float64       `yaml:"fleetReads"`    // platform reads a second, total of all daemons
	FleetWrites   float64       `yaml:"fleetWrites"`   // platform writes a second, total of all daemons
	// StartSpread is the time over which the first reads of the object API are
	// spread when daemons start together.
	StartSpread time.Duration `yaml:"startSpread"`
}

// Placement configures the placement of models on engines.
type Placement struct {
	Enabled         bool `yaml:"enabled"`         // this daemon may hold the lease and order models to load
	ModelsPerEngine int  `yaml:"modelsPerEngine"` // most models loaded on an engine
}

// Capacity configures the purchase of engine instances.
type Capacity struct {
	Enabled   bool          `yaml:"enabled"`   // this daemon may hold the lease and buy
	Classes   []Class       `yaml:"classes"`   // classes that may be bought
	StartTime time.Duration `yaml:"startTime"` // from a purchase until the engine serves with its weights loaded
	Patience  time.Duration `yaml:"patience"`  // how long owned and starting capacity must be too small before on-demand is bought
	KeepFor   time.Duration `yaml:"keepFor"`   // how long a surplus must last before it is given back
}

// Class is a machine class that engines run on.
type Class struct {
	Name            string  `yaml:"name"`
	TokensPerSecond float64 `yaml:"tokensPerSecond"` // generated within the latency target
}

// Log configures the log, which is written to stderr.
type Log struct {
	Format string `yaml:"format"` // text or json
	Level  string `yaml:"level"`  // debug, info, warn, error
}

// Defaults returns the default settings.
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
