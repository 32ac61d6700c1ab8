package deployment

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net"
	"strconv"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/settings"
	"github.com/cyclamenbeam/cyclamenbeam/internal/standin/cloud"
)

// Credentials of the development deployment. They are published and open
// nothing but stand-ins on loopback.
const (
	DevToken         = "dev-token"
	DevOperatorToken = "dev-operator-token"
	devOperatorName  = "developer"
)

// Region is the one region of the development deployment.
const Region fleet.Region = "cane"

// dataCentres are the data centres, in the order in which they are filled.
var dataCentres = []fleet.DataCentre{"cane-1", "cane-2", "cane-3", "cane-4"}

// classes are the machine classes of engines, and what they cost an hour.
var classes = []struct {
	name  string
	price float64
}{
	{cloud.MediumClass, 1.0},
	{cloud.MediumClass, 1.1},
	{cloud.LargeClass, 1.4},
	{cloud.SmallClass, 0.9},
}

// Options choose the size of the deployment.
type Options struct {
	Entries  int
	Engines  int
	Services int
	Port     int // first port; 0 lets the kernel choose
	Template string
	Speed    Speed
	Policy   string // of routing; empty is the default
}

// Layout is a deployment with its addresses.
type Layout struct {
	Standin Standin
	Entries []settings.Settings
}

// Make lays out a deployment. With Port 0 the ports are free at the time of
// the call.
func Make(o Options) (*Layout, error) {
	ports := &ports{next: o.Port}
	defer ports.release()
	l := &Layout{Standin: Standin{Template: o.Template, Speed: o.Speed, Log: settings.Defaults().Log}}
	l.Standin.Platform = ports.address()
	for i := range o.Engines {
		class := classes[i%len(classes)]
		l.Standin.Engines = append(l.Standin.Engines, Engine{
			Instance:   fleet.InstanceID(fmt.Sprintf("engine-%d", i+1)),
			Address:    ports.address(),
			DataCentre: dataCentre(i),
			Class:      class.name,
			HourPrice:  class.price,
			Fences:     i%2 == 0,
			Slots:      8,
		})
	}
	for i := range o.Services {
		l.Standin.Services = append(l.Standin.Services, Service{
			Instance:   fleet.InstanceID(fmt.Sprintf("parts-%d", i+1)),
			Name:       "parts",
			Address:    ports.address(),
			DataCentre: dataCentre(i),
		})
	}
	for i := range o.Entries {
		l.addEntry(ports, i, o.Policy)
	}
	l.addSeeds()
	return l, ports.err
}

func (l *Layout) addEntry(p *ports, i int, policy string) {
	s := settings.Defaults()
	s.Instance = fleet.InstanceID(fmt.Sprintf("entry-%d", i+1))
	s.DataCentre = dataCentre(i)
	s.Region = Region
	s.Listen = settings.Listen{Callers: p.address(), Operators: p.address(), Peers: p.address()}
	s.Advertise = settings.Advertise{Callers: s.Listen.Callers, Peers: s.Listen.Peers}
	base := "http://" + l.Standin.Platform
	s.Platform = settings.Platform{Objects: base, Instances: base, Cloud: base, Weights: base}
	s.Operators = []settings.Operator{{Name: devOperatorName, TokenSHA256: HashToken(DevOperatorToken)}}
	if policy != "" {
		s.Routing.Policy = policy
	}
	l.Entries = append(l.Entries, s)
	l.Standin.Entries = append(l.Standin.Entries, Entry{
		Instance:   s.Instance,
		Callers:    s.Listen.Callers,
		Peers:      s.Listen.Peers,
		DataCentre: s.DataCentre,
	})
}

// addSeeds tells each daemon of the first ones, so that they find each other
// while the instance list is away.
func (l *Layout) addSeeds() {
	const seeds = 3
	for i := range l.Entries {
		for _, other := range l.Standin.Entries[:min(seeds, len(l.Standin.Entries))] {
			if other.Instance != l.Entries[i].Instance {
				l.Entries[i].Seeds = append(l.Entries[i].Seeds, other.Peers)
			}
		}
	}
}

func dataCentre(i int) fleet.DataCentre { return dataCentres[i%len(dataCentres)] }

// HashToken returns a bearer token in the form in which it is stored.
func HashToken(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// ports hands out addresses on loopback. Ports from the kernel stay bound
// until all are handed out, so that none comes twice.
type ports struct {
	next int
	held []net.Listener
	err  error
}

func (p *ports) address() string {
	if p.next > 0 {
		p.next++
		return net.JoinHostPort("127.0.0.1", strconv.Itoa(p.next-1))
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		p.err = err
		return ""
	}
	p.held = append(p.held, l)
	return l.Addr().String()
}

func (p *ports) release() {
	for _, l := range p.held {
		_ = l.Close()
	}
}
