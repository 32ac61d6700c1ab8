package daemon

import (
	"context"
	"net/http"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/directory"
	"github.com/cyclamenbeam/cyclamenbeam/internal/engineapi"
	"github.com/cyclamenbeam/cyclamenbeam/internal/gateway"
	"github.com/cyclamenbeam/cyclamenbeam/internal/peer/peerpb"
	"github.com/cyclamenbeam/cyclamenbeam/internal/problem"
	"github.com/cyclamenbeam/cyclamenbeam/internal/request"
	"github.com/cyclamenbeam/cyclamenbeam/internal/verdict"
)

// followRetries bounds the times that a broken follow stream is opened again
// without a new piece in between.
const followRetries = 3

// follower reads the answer of a request that another daemon holds. It is for
// one goroutine.
type follower struct {
	locator *locator
	holding directory.Holding
	digest  request.Digest // of the caller's body, zero where it sent none
	address string
	stream  peerpb.DRPCPeer_FollowClient
	cancel  context.CancelFunc
	at      int // offset that the stream delivers next
	broken  int // in a row
	model   string
}

var _ gateway.Answer = (*follower)(nil)

// open starts the stream at an offset. The holder's first message proves that
// it knows the request.
func (f *follower) open(ctx context.Context, from int) error {
	f.Close()
	ctx, cancel := context.WithCancel(withDigest(ctx, f.digest))
	s, err := f.locator.client.Peer(ctx, f.address).Follow(ctx, &peerpb.FollowRequest{
		Request:   string(f.holding.Request),
		Workspace: string(f.holding.Workspace),
		From:      int64(from),
	})
	if err == nil {
		// If the holder's machine is gone, nothing answers, and the caller would hang. Known requests
		// are answered at once, so a short wait is enough.
		timer := time.AfterFunc(directoryTimeout, cancel)
		var first *peerpb.Piece
		first, err = s.Recv()
		f.model = first.GetModel()
		if err == nil && !timer.Stop() {
			err = context.DeadlineExceeded
		}
	}
	if err != nil {
		cancel()
		return err
	}
	// A leaving daemon sends its readers on to the holder, or it would wait for
	// answers that others generate.
	stop := context.AfterFunc(f.locator.state.left, cancel)
	f.stream, f.at = s, from
	f.cancel = func() {
		stop()
		cancel()
	}
	return nil
}

// Next implements gateway.Answer.
func (f *follower) Next(ctx context.Context, from int) (gateway.Part, error) {
	if from != f.at {
		if err := f.open(ctx, from); err != nil {
			return f.lost(ctx)
		}
	}
	for {
		p, err := f.stream.Recv()
		if err == nil {
			f.broken = 0
			return f.part(p), nil
		}
		if ctx.Err() != nil {
			return gateway.Part{}, ctx.Err()
		}
		if f.locator.state.leaving() {
			return f.sentOn(), nil
		}
		f.broken++
		if f.broken > followRetries || f.open(ctx, from) != nil {
			return f.lost(ctx)
		}
	}
}

// sentOn sends the reader to the holder.
func (f *follower) sentOn() gateway.Part {
	p, _ := f.locator.roster.instance(f.holding.Holder)
	if p.Callers == "" {
		p.Callers = f.locator.roster.callersAddress("")
	}
	return gateway.Part{MovedTo: p.Callers}
}

// lost answers a caller that the holder is gone. The request may go on; the next question finds
// the holder's successor.
func (f *follower) lost(ctx context.Context) (gateway.Part, error) {
	if ctx.Err() != nil {
		return gateway.Part{}, ctx.Err()
	}
	p := problem.New(http.StatusBadGateway, verdict.MayHaveRun, "the entry that holds the request does not answer")
	return gateway.Part{Failure: p.WithRetryAfter(time.Second)}, nil
}

func (f *follower) part(p *peerpb.Piece) gateway.Part {
	f.at += len(p.GetTokens())
	out := gateway.Part{Tokens: p.GetTokens(), Done: p.GetDone()}
	if out.Done {
		out.Usage = engineapi.Usage{
			PromptTokens:     int(p.GetPromptTokens()),
			CachedTokens:     int(p.GetCachedTokens()),
			CompletionTokens: f.at,
		}
	}
	if to := p.GetMovedTo(); to != "" {
		out.MovedTo = to
	}
	if p.GetFailure() != "" {
		out.Failure = failureFromWire(p)
	}
	return out
}

// Model implements gateway.Answer.
func (f *follower) Model() string { return f.model }

// Close implements gateway.Answer.
func (f *follower) Close() {
	if f.cancel != nil {
		f.cancel()
		f.cancel = nil
	}
}

// failureFromWire reads the holder's failure. A verdict that can't be read is
// the cautious one.
func failureFromWire(p *peerpb.Piece) *problem.Problem {
	var v verdict.Verdict
	if v.UnmarshalText([]byte(p.GetVerdict())) != nil {
		v = verdict.MayHaveRun
	}
	return problem.New(http.StatusBadGateway, v, "%s", p.GetFailure())
}

// errUnknownRequest answers a daemon that follows what is not held here.
var errUnknownRequest = Error.New("request not held here")
