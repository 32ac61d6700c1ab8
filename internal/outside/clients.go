package outside

import (
	"crypto/tls"
	"math/rand/v2"
	"net/http"
	"net/url"

	"github.com/cyclamenbeam/cyclamenbeam/internal/outside/budget"
)

// Options are the addresses of the platform and the dependencies of its clients. The addresses are URLs without a path.
type Options struct {
	Objects   string
	Instances string
	Cloud     string
	Weights   string
	TLS       *tls.Config // nil for the system's defaults
	Budget    budget.Config
	Observer  Observer          // nil for none
	Seed      uint64            // of the jitter; 0 for a random one
	Transport http.RoundTripper // for tests; nil for a transport of its own for each API
}

// Clients are the clients of all APIs, with their one budget.
type Clients struct {
	Objects   Objects // of class Status; see Objects.As
	Instances Instances
	Cloud     Cloud
	Weights   Weights

	gate    *gate
	callers []*caller
}

// New returns the clients. It makes no call.
func New(o Options) (*Clients, error) {
	if o.Observer == nil {
		o.Observer = NoObserver{}
	}
	if o.Seed == 0 {
		o.Seed = rand.Uint64()
	}
	c := &Clients{gate: newGate(o.Budget, rand.New(rand.NewPCG(o.Seed, o.Seed)))}
	for _, address := range []string{o.Objects, o.Instances, o.Cloud, o.Weights} {
		if err := checkAddress(address); err != nil {
			return nil, err
		}
		c.callers = append(c.callers, newCaller(address, o.httpClient(), c.gate, o.Observer))
	}
	c.Objects = Objects{caller: c.callers[0]}
	c.Instances = Instances{caller: c.callers[1]}
	c.Cloud = Cloud{caller: c.callers[2]}
	c.Weights = Weights{caller: c.callers[3]}
	return c, nil
}

func (o Options) httpClient() *http.Client {
	if o.Transport != nil {
		return newHTTPClient(o.Transport)
	}
	return newHTTPClient(newTransport(o.TLS))
}

// checkAddress accepts http://host:port and https://host:port. An empty address
// is a client that isn't used.
func checkAddress(address string) error {
	if address == "" {
		return nil
	}
	u, err := url.Parse(address)
	if err != nil {
		return Error.Wrap(err)
	}
	if u.Host == "" || u.Path != "" && u.Path != "/" || u.Scheme != "http" && u.Scheme != "https" {
		return Error.New("%q is not a URL of scheme, host and port", address)
	}
	return nil
}

// SetFleetSize sets how many daemons share the platform; see budget.Budget.
func (c *Clients) SetFleetSize(daemons int) { c.gate.setFleetSize(daemons) }

// SetLedgerRole sets how many ledger shards this daemon writes, of how many it
// is the standby, and from how many daemons, itself included, the writers were
// chosen; see budget.Roles.
func (c *Clients) SetLedgerRole(shards, standby, daemons int) {
	c.gate.setRoles(func(r *budget.Roles) {
		r.LedgerShards, r.LedgerStandby, r.Daemons = shards, standby, daemons
	})
}

// SetLeaseRole sets how many control shards' leases this daemon holds.
func (c *Clients) SetLeaseRole(shards int) {
	c.gate.setRoles(func(r *budget.Roles) { r.LeaseShards = shards })
}

// Close closes idle connections. Calls in progress end by themselves.
func (c *Clients) Close() {
	for _, caller := range c.callers {
		caller.client.CloseIdleConnections()
	}
}
