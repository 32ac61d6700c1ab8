package node

import (
	"bytes"
	"fmt"
	"net"
	"strconv"
	"time"

	"github.com/goccy/go-yaml"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/quota"
	"github.com/cyclamenbeam/cyclamenbeam/internal/rollout"
	"github.com/cyclamenbeam/cyclamenbeam/internal/speed"
)

// Settings are a daemon's settings, as its file gives them. Times are in the unit that
// the key names.
type Settings struct {
	Daemon DaemonSettings `yaml:"daemon"`
	Listen ListenSettings `yaml:"listen"`
	// Seeds are addresses of other daemons' machines, host:port; the port is not used. They
	// may be out of date.
	Seeds   []string        `yaml:"seeds"`
	Store   StoreSettings   `yaml:"store"`
	Cloud   CloudSettings   `yaml:"cloud"`
	Limits  LimitSettings   `yaml:"limits"`
	Balance BalanceSettings `yaml:"balance"`
	Bounds  BoundsSettings  `yaml:"bounds"`
	Log     LogSettings     `yaml:"log"`
}

// DaemonSettings identify the daemon.
type DaemonSettings struct {
	Instance   fleet.InstanceID `yaml:"instance"`
	DataCentre fleet.DataCentre `yaml:"dataCentre"`
	Region     fleet.Region     `yaml:"region"`
	// FirstStart is true where the whole system starts for the first time.
	FirstStart bool `yaml:"firstStart"`
}

// ListenSettings are the listeners' addresses, host:port; an empty one is not
// opened.
type ListenSettings struct {
	Callers   string `yaml:"callers"`
	Ready     string `yaml:"ready"`
	Directory string `yaml:"directory"`
	Peers     string `yaml:"peers"` // other daemons, TCP and UDP
	// Forward is for requests that other daemons forward; the default is the port after that
	// of Peers.
	Forward string `yaml:"forward"`
	Metrics string `yaml:"metrics"`
}

// StoreSettings are the address of the platform's object store, host:port.
type StoreSettings struct {
	Address string `yaml:"address"`
}

// CloudSettings are the address to which control duties are reported and the duties that
// are enabled; empty where there are none.
type CloudSettings struct {
	Address string   `yaml:"address"`
	Duties  []string `yaml:"duties"`
}

// LimitSettings are the resources of the process, and how workspaces' limits are spent.
type LimitSettings struct {
	MemoryMB int `yaml:"memoryMB"`
	// MaxFDs is the number of descriptors that the process may open.
	MaxFDs int `yaml:"maxFDs"`
	// Cores is the number of the machine's cores, or its share of one.
	Cores float64 `yaml:"cores"`
	// LinkMbps is the rate of the machine's network link, in megabits a second.
	LinkMbps float64 `yaml:"linkMbps"`
	// ByPriority says whether a workspace above its limit spends it by priority.
	ByPriority ByPriority `yaml:"by_priority"`
}

// BalanceSettings say how endpoints are chosen.
type BalanceSettings struct {
	// Speeds says whether the speeds of endpoints are estimated: auto, on or off.
	Speeds string `yaml:"speeds"`
}

// speeds returns the mode of estimating speeds; the settings were checked.
func (b *BalanceSettings) speeds() speed.Mode {
	mode, _ := speed.ParseMode(b.Speeds)
	return mode
}

// ByPriority says whether limits are spent by the priorities of the requests.
type ByPriority string

// The values of ByPriority.
const (
	AutoByPriority ByPriority = "auto" // where a limit is short and routes have several priorities
	NotByPriority  ByPriority = "off"  // in order of arrival
)

// BoundsSettings are the bounds that the platform's operators require of the system.
type BoundsSettings struct {
	GraceSeconds       float64 `yaml:"graceSeconds"`
	RetryRatio         float64 `yaml:"retryRatio"`
	RetryWindowSeconds float64 `yaml:"retryWindowSeconds"`
	RetrySlack         float64 `yaml:"retrySlack"`
	// LimitExcess is the tolerated excess over a workspace's limit in a window, in the
	// limit's unit.
	LimitExcess float64 `yaml:"limitExcess"`
	// LimitExcessShare is the excess tolerated in addition, as a part of what a limit
	// allows in LimitWindowSeconds.
	LimitExcessShare    float64 `yaml:"limitExcessShare"`
	LimitWindowSeconds  float64 `yaml:"limitWindowSeconds"`
	UsageWindowSeconds  float64 `yaml:"usageWindowSeconds"`
	LeaseMillis         float64 `yaml:"leaseMillis"`
	AnswerMaxAgeSeconds float64 `yaml:"answerMaxAgeSeconds"`
	// ContactMillis is how long after a disturbance changes must be in force in time again.
	ContactMillis float64 `yaml:"contactMillis"`
	// ChangeMillis is the longest time from a change's acknowledgement until it is in force.
	ChangeMillis float64 `yaml:"changeMillis"`
	// RolloutShare and RolloutSlack bound the requests that a bad version may get: a part of
	// its service's requests until the deadline, plus RolloutSlack. There are no roll-outs
	// where the share is 0.
	RolloutShare float64 `yaml:"rolloutShare"`
	RolloutSlack float64 `yaml:"rolloutSlack"`
	// RollbackMillis is how long after its fiftieth bad answer a bad version may
	// still get requests.
	RollbackMillis float64 `yaml:"rollbackMillis"`
}

// tolerance returns the tolerated excess over a workspace's limit.
func (b *BoundsSettings) tolerance() quota.Tolerance {
	return quota.Tolerance{Amount: b.LimitExcess, Share: b.LimitExcessShare, Window: seconds(b.LimitWindowSeconds)}
}

// rollouts returns the bounds of roll-outs.
func (b *BoundsSettings) rollouts() rollout.Bounds {
	return rollout.Bounds{Share: b.RolloutShare, Slack: b.RolloutSlack, Stop: millis(b.RollbackMillis)}
}

// LogSettings choose what is logged.
type LogSettings struct {
	Level string `yaml:"level"`
}

// ParseSettings decodes and checks settings. An error of decoding names its line and
// column.
func ParseSettings(text []byte) (*Settings, error) {
	s := &Settings{
		Bounds: BoundsSettings{
			GraceSeconds: 8, RetryRatio: 0.2, RetryWindowSeconds: 10, RetrySlack: 10,
			UsageWindowSeconds: 5, LeaseMillis: 3000, AnswerMaxAgeSeconds: 5, ContactMillis: 3000, ChangeMillis: 2000,
		},
		Balance: BalanceSettings{Speeds: "auto"},
		Limits:  LimitSettings{ByPriority: AutoByPriority},
		Log:     LogSettings{Level: "info"},
	}
	if err := yaml.NewDecoder(bytes.NewReader(text), yaml.Strict()).Decode(s); err != nil {
		return nil, Error.New("%s", yaml.FormatError(err, false, true))
	}
	s.Listen.setDefaults()
	return s, s.check()
}

func (l *ListenSettings) setDefaults() {
	host, port, err := net.SplitHostPort(l.Peers)
	n, atoiErr := strconv.Atoi(port)
	if l.Forward == "" && err == nil && atoiErr == nil {
		l.Forward = net.JoinHostPort(host, strconv.Itoa(n+1))
	}
}

// check returns an error that names the first key that is missing or out of range.
func (s *Settings) check() error {
	_, speedsErr := speed.ParseMode(s.Balance.Speeds)
	for _, c := range []struct {
		bad  bool
		text string
	}{
		{s.Daemon.Instance == "", "daemon.instance: is missing"},
		{s.Daemon.DataCentre == "", "daemon.dataCentre: is missing"},
		{s.Listen.Callers == "", "listen.callers: is missing"},
		{s.Listen.Peers == "", "listen.peers: is missing"},
		{s.Store.Address == "", "store.address: is missing"},
		{s.Limits.MemoryMB < 0, "limits.memoryMB: is negative"},
		{s.Limits.MaxFDs < 0, "limits.maxFDs: is negative"},
		{speedsErr != nil, fmt.Sprintf("balance.speeds: is %q, must be auto, on or off", s.Balance.Speeds)},
		{s.Limits.ByPriority != AutoByPriority && s.Limits.ByPriority != NotByPriority, "limits.by_priority: must be auto or off"},
		{s.Bounds.GraceSeconds <= 0, "bounds.graceSeconds: must be above 0"},
		{s.Bounds.RetryWindowSeconds <= 0, "bounds.retryWindowSeconds: must be above 0"},
		{s.Bounds.LimitExcessShare < 0, "bounds.limitExcessShare: is negative"},
		{s.Bounds.LimitWindowSeconds < 0, "bounds.limitWindowSeconds: is negative"},
		{s.Bounds.RolloutShare < 0 || s.Bounds.RolloutShare > 1, "bounds.rolloutShare: must be from 0 to 1"},
		{s.Bounds.RolloutSlack < 0, "bounds.rolloutSlack: is negative"},
		{s.Bounds.RolloutShare > 0 && s.Bounds.RollbackMillis <= 0, "bounds.rollbackMillis: must be above 0"},
		{s.Bounds.UsageWindowSeconds <= 0, "bounds.usageWindowSeconds: must be above 0"},
		{s.Bounds.LeaseMillis <= 0, "bounds.leaseMillis: must be above 0"},
		{s.Bounds.ContactMillis <= 0, "bounds.contactMillis: must be above 0"},
		{s.Bounds.ChangeMillis <= 0, "bounds.changeMillis: must be above 0"},
	} {
		if c.bad {
			return Error.New("%s", c.text)
		}
	}
	return nil
}

func millis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Recognise reports whether a file holds settings of this kind: they have the address of
// the platform's object store.
func Recognise(text []byte) bool {
	var s struct {
		Store *StoreSettings `yaml:"store"`
	}
	return yaml.Unmarshal(text, &s) == nil && s.Store != nil
}
