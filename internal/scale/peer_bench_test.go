package scale

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"fmt"
	"math/big"
	mathrand "math/rand/v2"
	"net"
	"testing"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/peer"
	"github.com/cyclamenbeam/cyclamenbeam/internal/peer/peerpb"
)

// answering is a daemon that answers as a real one does, without its duties.
type answering struct {
	peerpb.DRPCPeerUnimplementedServer
}

func (answering) Register(context.Context, *peerpb.RegisterRequest) (*peerpb.RegisterReply, error) {
	return &peerpb.RegisterReply{}, nil
}

func (answering) Demand(_ context.Context, q *peerpb.DemandRequest) (*peerpb.DemandReply, error) {
	return &peerpb.DemandReply{Demands: q.GetDemands()}, nil
}

func (answering) Intend(_ context.Context, q *peerpb.IntendRequest) (*peerpb.IntendReply, error) {
	out := &peerpb.IntendReply{}
	for _, in := range q.GetIntents() {
		out.Results = append(out.Results, &peerpb.IntentResult{Key: in.GetKey(), Granted: true})
	}
	return out, nil
}

// BenchmarkPeerCall is what one call between daemons costs: over a connection
// that is kept, over a new one, and over a new one with mutual TLS. cpu-ns and
// wire-B are of both ends together: over a fleet, each daemon makes as many
// calls as it takes.
func BenchmarkPeerCall(b *testing.B) {
	register := func(n int) func(context.Context, peerpb.DRPCPeerClient) error {
		q := &peerpb.RegisterRequest{}
		for i := range n {
			q.Holdings = append(q.Holdings, &peerpb.Holding{
				Request:   fmt.Sprintf("01a23812-59f2-7c0b-bbeb-%012d", i),
				Workspace: "workspace-17", Holder: "entry-cane-east-1-017",
			})
		}
		return func(ctx context.Context, c peerpb.DRPCPeerClient) error {
			_, err := c.Register(ctx, q)
			return err
		}
	}
	demand := func(n int) func(context.Context, peerpb.DRPCPeerClient) error {
		q := &peerpb.DemandRequest{Daemon: "01a23812-59f2-7c0b-bbeb-341182c86a96"}
		for i := range n {
			q.Demands = append(q.Demands, &peerpb.WorkspaceDemand{Workspace: fmt.Sprintf("workspace-%d", i), Requests: 12.25, Tokens: 4400.5, Running: 150})
		}
		return func(ctx context.Context, c peerpb.DRPCPeerClient) error {
			_, err := c.Demand(ctx, q)
			return err
		}
	}
	intend := func(ctx context.Context, c peerpb.DRPCPeerClient) error {
		_, err := c.Intend(ctx, &peerpb.IntendRequest{Shard: 3, Intents: []*peerpb.Intent{{
			Key: "01a23812-59f2-7c0b-bbeb-341182c86a96", Workspace: "workspace-17",
			Owner: "01a23812-59f2-7c0b-bbeb-341182c86a96/123", Digest: make([]byte, 32), DeadlineMillis: 1767225600000,
		}}})
		return err
	}
	for _, way := range []string{"kept", "new", "new-tls"} {
		b.Run(way+"/register=1", func(b *testing.B) { peerCall(b, way, register(1)) })
		b.Run(way+"/demand=1", func(b *testing.B) { peerCall(b, way, demand(1)) })
	}
	for _, n := range []int{16, 256} {
		b.Run(fmt.Sprintf("kept/register=%d", n), func(b *testing.B) { peerCall(b, "kept", register(n)) })
		b.Run(fmt.Sprintf("kept/demand=%d", n), func(b *testing.B) { peerCall(b, "kept", demand(n)) })
	}
	b.Run("kept/intend", func(b *testing.B) { peerCall(b, "kept", intend) })
}

func peerCall(b *testing.B, way string, one func(context.Context, peerpb.DRPCPeerClient) error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var secure *tls.Config
	if way == "new-tls" {
		secure = mutual(b)
	}
	address := servePeers(ctx, b, secure)
	var w wire
	open := func() *peer.Client {
		c := peer.NewClient(nil)
		if secure != nil {
			c = peer.NewClient(func() *tls.Config { return secure.Clone() })
		}
		c.Wrap(w.conn)
		return c
	}
	client := open()
	defer func() { _ = client.Close() }()
	if err := one(ctx, client.Peer(ctx, address)); err != nil {
		b.Fatal(err)
	}
	before, cpu := w.total(), cpuTime()
	b.ReportAllocs()
	for b.Loop() {
		if way != "kept" {
			_ = client.Close()
			client = open()
		}
		if err := one(ctx, client.Peer(ctx, address)); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(w.total()-before)/float64(b.N), "wire-B/call")
	b.ReportMetric(float64(cpuTime()-cpu)/float64(b.N), "cpu-ns/call")
}

func servePeers(ctx context.Context, b *testing.B, secure *tls.Config) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	address := l.Addr().String()
	if secure != nil {
		l = tls.NewListener(l, secure)
	}
	go func() { _ = peer.Serve(ctx, l, &answering{}) }()
	return address
}

// BenchmarkPeerConnections is the memory of kept connections between daemons,
// both ends in this process; over a fleet each daemon has as many of either.
func BenchmarkPeerConnections(b *testing.B) {
	for _, way := range []string{"plain", "tls"} {
		for _, conns := range []int{32, 128, 339} {
			b.Run(fmt.Sprintf("%s/connections=%d", way, conns), func(b *testing.B) {
				for b.Loop() {
					b.ReportMetric(keptMemory(b, way == "tls", conns)/float64(conns), "B/connection")
				}
			})
		}
	}
}

// keptMemory returns the memory of so many connections to one daemon.
func keptMemory(b *testing.B, tlsToo bool, conns int) float64 {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var config func() *tls.Config
	var secure *tls.Config
	if tlsToo {
		secure = mutual(b)
		config = func() *tls.Config { return secure.Clone() }
	}
	address := servePeers(ctx, b, secure)
	before := memoryBytes()
	kept := make([]*peer.Client, conns)
	for i := range kept {
		kept[i] = peer.NewClient(config)
		if _, err := kept[i].Peer(ctx, address).Register(ctx, &peerpb.RegisterRequest{}); err != nil {
			b.Fatal(err)
		}
	}
	out := memoryBytes() - before
	for _, c := range kept {
		_ = c.Close()
	}
	return out
}

// mutual returns a configuration for both ends.
func mutual(b *testing.B) *tls.Config {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		b.Fatal(err)
	}
	c := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "daemon"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true,
		KeyUsage:    x509.KeyUsageCertSign | x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
		IPAddresses: []net.IP{net.ParseIP("127.0.0.1")},
	}
	der, err := x509.CreateCertificate(rand.Reader, c, c, &key.PublicKey, key)
	if err != nil {
		b.Fatal(err)
	}
	parsed, err := x509.ParseCertificate(der)
	if err != nil {
		b.Fatal(err)
	}
	roots := x509.NewCertPool()
	roots.AddCert(parsed)
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: key}},
		RootCAs:      roots, ClientCAs: roots, ClientAuth: tls.RequireAndVerifyClientCert,
	}
}

// BenchmarkAnnouncing tells directory daemons of one request each, drawn at
// random as their hashes are: a client keeps few connections, so that in a large
// fleet most calls need a new one. The bytes and the time are of both ends.
func BenchmarkAnnouncing(b *testing.B) {
	for _, way := range []string{"plain", "tls"} {
		for _, daemons := range []int{9, 34, 85, targetDaemons} {
			b.Run(fmt.Sprintf("%s/daemons=%d", way, daemons), func(b *testing.B) { announce(b, way == "tls", daemons-1) })
		}
	}
}

func announce(b *testing.B, tlsToo bool, others int) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var secure *tls.Config
	client := peer.NewClient(nil)
	if tlsToo {
		secure = mutual(b)
		client = peer.NewClient(func() *tls.Config { return secure.Clone() })
	}
	defer func() { _ = client.Close() }()
	var w wire
	client.Wrap(w.conn)
	addresses := make([]string, others)
	for i := range addresses {
		addresses[i] = servePeers(ctx, b, secure)
	}
	q := &peerpb.RegisterRequest{Holdings: []*peerpb.Holding{{
		Request: "01a23812-59f2-7c0b-bbeb-341182c86a96", Workspace: "workspace-17", Holder: "entry-cane-east-1-017",
	}}}
	random := mathrand.New(mathrand.NewPCG(1, 1))
	one := func() {
		if _, err := client.Peer(ctx, addresses[random.IntN(others)]).Register(ctx, q); err != nil {
			b.Fatal(err)
		}
	}
	for range 200 {
		one()
	}
	conns, bytes, cpu := w.conns.Load(), w.total(), cpuTime()
	for b.Loop() {
		one()
	}
	b.ReportMetric(float64(w.conns.Load()-conns)/float64(b.N), "new-connections/call")
	b.ReportMetric(float64(w.total()-bytes)/float64(b.N), "wire-B/call")
	b.ReportMetric(float64(cpuTime()-cpu)/float64(b.N), "cpu-ns/call")
}
