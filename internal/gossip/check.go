package gossip

import (
	"net/netip"

	"github.com/cyclamenbeam/cyclamenbeam/internal/membership"
)

// Bounds on the values in a datagram. A larger value can only come from a fault, and
// would spread to the member tables of all daemons and stay there.
const (
	maxNameBytes   = 64      // bytes of an ID, a name or an address; a UUID has 36, and two records still fit into a packet
	maxIncarnation = 1 << 60 // incarnations are start times in Unix ms, which need 41 bits
)

// check returns an error for a packet that must not reach the Membership.
func check(p *membership.Packet) error {
	if p.Kind < membership.Ping || p.Kind > membership.SyncPage {
		return Error.New("kind %d is unknown", p.Kind)
	}
	if len(p.Digest.Payload) > membership.MaxDigestPayload {
		return Error.New("digest payload has %d bytes", len(p.Digest.Payload))
	}
	if len(p.Subject) > maxNameBytes {
		return Error.New("subject has %d bytes", len(p.Subject))
	}
	if p.Kind == membership.PingRequest && !isAddress(p.Address) {
		return Error.New("address %q to probe is not host:port", p.Address)
	}
	from := membership.Update{
		Instance:    p.From.Instance,
		Run:         p.From.Run,
		State:       p.From.State,
		Incarnation: p.From.Incarnation,
	}
	if err := checkUpdate(&from); err != nil {
		return err
	}
	for i := range p.Updates {
		if err := checkUpdate(&p.Updates[i]); err != nil {
			return err
		}
	}
	return checkRegional(p)
}

func checkUpdate(u *membership.Update) error {
	if !isName(string(u.Instance)) {
		return Error.New("instance id %q has a bad length", u.Instance)
	}
	if u.State > membership.Left {
		return Error.New("state %d is unknown", u.State)
	}
	if u.Incarnation == 0 || u.Incarnation > maxIncarnation {
		return Error.New("incarnation %d is out of range", u.Incarnation)
	}
	r := u.Record
	if r == nil {
		return nil
	}
	if !isName(string(r.Daemon)) || !isName(string(r.DataCentre)) || !isName(string(r.Region)) {
		return Error.New("record of %q has a missing or overlong name", u.Instance)
	}
	if !isAddress(r.Peer) || len(r.Caller) > maxNameBytes {
		return Error.New("record of %q has a bad address", u.Instance)
	}
	return nil
}

// checkRegional checks the updates about data centres and the heartbeats of regions.
func checkRegional(p *membership.Packet) error {
	for _, d := range p.DataCentres {
		if !isName(string(d.DataCentre)) || !isName(string(d.Region)) || d.Version > maxIncarnation {
			return Error.New("data centre %q is malformed", d.DataCentre)
		}
	}
	for _, b := range p.Heartbeats {
		if !isName(string(b.Region)) || b.Count > maxIncarnation {
			return Error.New("heartbeat of %q is malformed", b.Region)
		}
	}
	return nil
}

func isName(s string) bool { return s != "" && len(s) <= maxNameBytes }

func isAddress(s string) bool {
	a, err := netip.ParseAddrPort(s)
	return err == nil && !a.Addr().IsUnspecified()
}

// checkSelf returns an error for a member whose packets other daemons would reject.
func checkSelf(m membership.Member) error {
	return checkUpdate(&membership.Update{
		Instance:    m.Instance,
		State:       m.State,
		Incarnation: m.Incarnation,
		Record: &membership.Record{
			Daemon:     m.Daemon,
			Caller:     m.Caller,
			Peer:       m.Peer,
			DataCentre: m.DataCentre,
			Region:     m.Region,
		},
	})
}
