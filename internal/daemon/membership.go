package daemon

import (
	"context"
	"encoding/hex"
	"math/rand/v2"
	"net"
	"os"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/gossip"
	"github.com/cyclamenbeam/cyclamenbeam/internal/listapi"
	"github.com/cyclamenbeam/cyclamenbeam/internal/membership"
	"github.com/cyclamenbeam/cyclamenbeam/internal/settings"
	"github.com/cyclamenbeam/cyclamenbeam/internal/template"
)

// membershipDuty tracks which daemons are running, leaving and gone, and passes
// their digests on to the configuration.
type membershipDuty struct {
	node    *gossip.Node
	roster  *roster
	onGone  func(membership.Member) // a daemon that left or failed
	onHeard func(fleet.DaemonID, template.Digest)
	known   map[fleet.DaemonID]membership.Member // running, in the last view
	log     *logrus.Entry
}

// startMembership joins the fleet over UDP at the peers' address.
func startMembership(s *settings.Settings, self peerInfo, r *roster, log *logrus.Entry) (*membershipDuty, error) {
	conn, err := net.ListenPacket("udp", s.Listen.Peers)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	keys, err := gossipKeys(s.TLS.Peers.GossipKey)
	if err != nil {
		return nil, err
	}
	member := membership.Member{
		Instance:    self.Instance,
		Daemon:      self.Daemon,
		Caller:      self.Callers,
		Peer:        self.Peers,
		DataCentre:  self.DataCentre,
		Region:      s.Region,
		Incarnation: uint64(time.Now().UnixMilli()),
	}
	config := membership.Config{ProbeInterval: s.Control.ProbeInterval}
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	node, err := gossip.Start(gossip.Options{
		Conn:       conn,
		Membership: membership.New(config, member, rng),
		Keys:       keys,
	})
	if err != nil {
		return nil, Error.Wrap(err)
	}
	d := &membershipDuty{node: node, roster: r, known: make(map[fleet.DaemonID]membership.Member), log: log}
	seeds := make([]membership.Member, 0, len(s.Seeds))
	for _, address := range s.Seeds {
		seeds = append(seeds, membership.Member{Peer: address})
	}
	node.AddSeeds(seeds)
	return d, nil
}

// gossipKeys returns a function that reads the keys' file, so that they rotate
// without a restart; nil where there is none. A file that can't be read later
// leaves the keys as they are: gossip keeps the last good ones.
func gossipKeys(path string) (func() gossip.Keys, error) {
	if path == "" {
		return nil, nil
	}
	if _, err := readKeys(path); err != nil {
		return nil, err
	}
	return func() gossip.Keys {
		k, _ := readKeys(path)
		return k
	}, nil
}

func readKeys(path string) (gossip.Keys, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return gossip.Keys{}, Error.Wrap(err)
	}
	var keys [][]byte
	for line := range strings.FieldsSeq(string(text)) {
		key, err := hex.DecodeString(line)
		if err != nil || len(key) != gossip.KeyBytes {
			return gossip.Keys{}, Error.New("%s: a key is %d bytes in hex", path, gossip.KeyBytes)
		}
		keys = append(keys, key)
	}
	switch len(keys) {
	case 1:
		return gossip.Keys{Primary: keys[0]}, nil
	case 2:
		return gossip.Keys{Primary: keys[0], Secondary: keys[1]}, nil
	default:
		return gossip.Keys{}, Error.New("%s holds %d keys; one or two are needed", path, len(keys))
	}
}

// follow starts to act on what the membership says.
func (d *membershipDuty) follow() {
	d.node.Subscribe(func(a membership.Action) {
		switch a := a.(type) {
		case membership.Changed:
			d.changed(a.View)
		case membership.NewerDigest:
			// A view comes up to a second later, at each daemon on the way.
			d.onHeard(a.Member.Daemon, templateDigest(a.Member))
		case membership.DataCentreLost:
			d.log.WithField("dataCentre", a.DataCentre).Error("data centre lost")
		case membership.DataCentreRecovered:
			d.log.WithField("dataCentre", a.DataCentre).Info("data centre is back")
		case membership.DeclaredDead:
			d.log.Warn("was held for dead by others; refuted")
		}
	})
	d.changed(d.node.View())
}

// changed takes a new view. It runs on the membership's own goroutine.
func (d *membershipDuty) changed(v *membership.View) {
	if !v.Joined() {
		return // the instance list knows more
	}
	serving := make(map[fleet.InstanceID]bool)
	for _, m := range v.Serving() {
		serving[m.Instance] = true
	}
	alive := make(map[fleet.DaemonID]membership.Member)
	peers := make([]peerInfo, 0, len(v.Alive()))
	for _, m := range v.Alive() {
		alive[m.Daemon] = m
		digest := templateDigest(m)
		peers = append(peers, peerInfo{
			Instance:   m.Instance,
			Daemon:     m.Daemon,
			Callers:    m.Caller,
			Peers:      m.Peer,
			DataCentre: m.DataCentre,
			Serving:    serving[m.Instance],
			Alive:      m.State == membership.Alive || m.State == membership.Leaving,
			State:      m.State.String(),
			Digest:     digest,
		})
		if m.Daemon != d.roster.self.Daemon {
			d.onHeard(m.Daemon, digest)
		}
	}
	d.roster.set(peers)
	for id, m := range d.known {
		if _, ok := alive[id]; !ok {
			d.log.WithField("instance", m.Instance).Info("daemon gone")
			d.onGone(m)
		}
	}
	d.known = alive
}

func templateDigest(m membership.Member) template.Digest {
	return template.Digest{Hash: m.Digest.Hash, Newest: m.Digest.Version}
}

// seeds passes the instance list's entries on, as hints.
func (d *membershipDuty) seeds(entries []listapi.Entry) {
	hints := make([]membership.Member, 0, len(entries))
	for _, e := range entries {
		hints = append(hints, membership.Member{Instance: e.Instance, Peer: e.Peer})
	}
	d.node.AddSeeds(hints)
}

func (d *membershipDuty) setDigest(t template.Digest) {
	d.node.SetDigest(membership.Digest{Version: t.Newest, Hash: t.Hash})
}

// leave tells the fleet that this daemon takes no new work.
func (d *membershipDuty) leave(ctx context.Context) {
	if err := d.node.Leave(ctx); err != nil {
		d.log.WithError(err).Warn("the fleet was not told")
	}
}
