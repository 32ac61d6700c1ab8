package deployment

import (
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/settings"
)

// Standin is the settings of the process that stands in for the platform and
// the endpoints.
type Standin struct {
	Platform string       `yaml:"platform"` // address of all platform services
	Template string       `yaml:"template"` // file of a template stored at the start; empty is none
	Engines  []Engine     `yaml:"engines"`
	Services []Service    `yaml:"services"`
	Entries  []Entry      `yaml:"entries"`
	Speed    Speed        `yaml:"speed"`
	Log      settings.Log `yaml:"log"`
}

// Engine is one stand-in of a model engine.
type Engine struct {
	Instance   fleet.InstanceID `yaml:"instance"`
	Address    string           `yaml:"address"`   // to listen on
	Advertise  string           `yaml:"advertise"` // in the instance list; empty is the address
	DataCentre fleet.DataCentre `yaml:"dataCentre"`
	Class      string           `yaml:"class"`
	HourPrice  float64          `yaml:"hourPrice"` // currency units
	Fences     bool             `yaml:"fences"`    // refuses orders with an old fencing number
	Slots      int              `yaml:"slots"`     // requests that run at once
}

// Service is one stand-in replica of a plain service.
type Service struct {
	Instance   fleet.InstanceID `yaml:"instance"`
	Name       string           `yaml:"name"`
	Address    string           `yaml:"address"`   // to listen on
	Advertise  string           `yaml:"advertise"` // in the instance list; empty is the address
	DataCentre fleet.DataCentre `yaml:"dataCentre"`
}

// listed is the address in the instance list. One that is not the listener's
// own lets tests put a proxy between daemons and endpoints.
func listed(address, advertise string) string {
	if advertise != "" {
		return advertise
	}
	return address
}

// Entry is an entry instance as the instance list shows it.
type Entry struct {
	Instance   fleet.InstanceID `yaml:"instance"`
	Callers    string           `yaml:"callers"`
	Peers      string           `yaml:"peers"`
	DataCentre fleet.DataCentre `yaml:"dataCentre"`
}

// Speed sets how fast the stand-ins are.
type Speed struct {
	TokenInterval    time.Duration `yaml:"tokenInterval"`    // of an engine with one request
	PrefillPerSecond int           `yaml:"prefillPerSecond"` // tokens of one engine
	CacheBlocks      int           `yaml:"cacheBlocks"`      // of one engine's prefix cache
	LoadLag          time.Duration `yaml:"loadLag"`          // of load reports
	EventDelay       time.Duration `yaml:"eventDelay"`       // of cache events
	EventLoss        float64       `yaml:"eventLoss"`        // share of cache events lost
	ListLag          time.Duration `yaml:"listLag"`          // of the instance list
	Linger           time.Duration `yaml:"linger"`           // a stream without a reader lives so long
	Seed             int64         `yaml:"seed"`
}

// DefaultSpeed returns the speeds of the deployment that ships with the binary.
func DefaultSpeed() Speed {
	return Speed{
		TokenInterval:    10 * time.Millisecond,
		PrefillPerSecond: 8_000,
		CacheBlocks:      4_096,
		LoadLag:          200 * time.Millisecond,
		EventDelay:       200 * time.Millisecond,
		EventLoss:        0.01,
		ListLag:          500 * time.Millisecond,
		Linger:           15 * time.Second,
		Seed:             1,
	}
}

// ReadStandin reads the settings of the stand-in process.
func ReadStandin(path string) (Standin, error) {
	s := Standin{Speed: DefaultSpeed(), Log: settings.Defaults().Log}
	data, err := readFile(path)
	if err != nil {
		return s, err
	}
	return s, settings.DecodeChecked(data, &s, s.check)
}
