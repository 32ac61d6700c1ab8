package node

import (
	"context"
	"maps"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/node/probepb"
	"github.com/cyclamenbeam/cyclamenbeam/internal/reach"
)

const (
	// witnessTimeout bounds the wait for other daemons' answers: round trips between data
	// centres. A crash that is recorded later lets a request that caused it crash more endpoints.
	witnessTimeout = 100 * time.Millisecond
	// witnessInterval is the time after which daemons that haven't answered are asked again.
	witnessInterval = 30 * time.Millisecond
	// maxAnswering bounds the questions of others that are being answered; more are dropped.
	maxAnswering = 32
)

// witnesses asks other daemons whether an endpoint listens, and answers them. It tells an
// endpoint that has ended from one to which this daemon alone has lost the path.
type witnesses struct {
	node      *Node
	conn      atomic.Pointer[datagramConn]
	answering chan struct{}

	mu        sync.Mutex
	questions map[uint64]*question
}

// question is a question whose answers are awaited.
type question struct {
	left    map[string]bool // daemons that haven't answered
	listens bool
	done    chan struct{} // closed once one says that the endpoint listens, or all have answered
}

func newWitnesses(n *Node) *witnesses {
	return &witnesses{node: n, answering: make(chan struct{}, maxAnswering), questions: map[uint64]*question{}}
}

// anyConnects reports whether another daemon has or gets a connection to an endpoint.
func (w *witnesses) anyConnects(ctx context.Context, id fleet.EndpointID) bool {
	conn, asked := w.conn.Load(), w.draw()
	if conn == nil || len(asked) == 0 {
		return false
	}
	nonce, q := w.begin(asked)
	defer w.end(nonce)
	ctx, cancel := context.WithTimeout(ctx, witnessTimeout)
	defer cancel()
	for {
		for _, address := range w.unanswered(q) {
			conn.sendTo(address, probeMark, &probepb.Packet{Kind: probepb.Packet_ASK, Id: nonce, Endpoint: string(id)})
		}
		select {
		case <-q.done:
		case <-ctx.Done():
		case <-time.After(witnessInterval):
			continue
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		return q.listens
	}
}

// draw draws the daemons to ask.
func (w *witnesses) draw() []reach.Witness {
	members := w.node.joined.Load()
	if members == nil {
		return nil
	}
	var all []reach.Witness
	for _, m := range members.layout().serving {
		if m.Instance != members.self.Instance {
			all = append(all, reach.Witness{Address: m.Peer, DataCentre: m.DataCentre})
		}
	}
	return reach.Witnesses(random(), all)
}

func (w *witnesses) begin(asked []reach.Witness) (nonce uint64, q *question) {
	q = &question{left: map[string]bool{}, done: make(chan struct{})}
	for _, a := range asked {
		q.left[a.Address] = true
	}
	nonce = random().Uint64()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.questions[nonce] = q
	return nonce, q
}

func (w *witnesses) end(nonce uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.questions, nonce)
}

// unanswered returns the daemons that haven't answered.
func (w *witnesses) unanswered(q *question) []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Collect(maps.Keys(q.left))
}

// receive handles a datagram.
func (w *witnesses) receive(text []byte, from net.Addr) {
	p := &probepb.Packet{}
	if proto.Unmarshal(text, p) != nil {
		return
	}
	switch p.Kind {
	case probepb.Packet_ASK:
		w.answer(p, from)
	case probepb.Packet_LISTENS, probepb.Packet_SILENT:
		w.answered(p, from.String())
	}
}

// answered takes an answer.
func (w *witnesses) answered(p *probepb.Packet, from string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	q := w.questions[p.Id]
	if q == nil || !q.left[from] {
		return
	}
	delete(q.left, from)
	q.listens = q.listens || p.Kind == probepb.Packet_LISTENS
	if p.Kind == probepb.Packet_LISTENS || len(q.left) == 0 {
		q.left = nil
		close(q.done)
	}
}

// answer answers a question in the background.
func (w *witnesses) answer(p *probepb.Packet, from net.Addr) {
	select {
	case w.answering <- struct{}{}:
	default:
		return
	}
	go func() {
		defer func() { <-w.answering }()
		kind := probepb.Packet_SILENT
		if w.connects(fleet.EndpointID(p.Endpoint)) {
			kind = probepb.Packet_LISTENS
		}
		w.conn.Load().send(from, probeMark, &probepb.Packet{Kind: kind, Id: p.Id})
	}()
}

// connects reports whether this daemon has or gets a connection to an endpoint.
func (w *witnesses) connects(id fleet.EndpointID) bool {
	address := w.node.endpoints.address(id)
	if address == "" {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), witnessTimeout)
	defer cancel()
	listens, err := w.node.pool.Listens(ctx, address)
	return listens && err == nil
}
