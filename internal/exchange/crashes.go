package exchange

import (
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/exchange/exchangepb"
	"github.com/cyclamenbeam/cyclamenbeam/internal/quarantine"
)

func encodeCrashes(all []quarantine.Crash) []*exchangepb.Crash {
	out := make([]*exchangepb.Crash, len(all))
	for i := range all {
		c := &all[i]
		out[i] = &exchangepb.Crash{
			Endpoint: uint64(c.Endpoint), AtMs: c.At.UnixMilli(), Void: c.Void,
			Suspects: encodeSuspects(c), Cleared: encodeKeys(c.Cleared),
		}
	}
	return out
}

func decodeCrashes(all []*exchangepb.Crash) []quarantine.Crash {
	var out []quarantine.Crash
	for _, c := range all {
		crash := quarantine.Crash{
			Endpoint: quarantine.Life(c.GetEndpoint()), At: time.UnixMilli(c.GetAtMs()), Void: c.GetVoid(),
			Cleared: decodeKeys(c.GetCleared()),
		}
		crash.Suspects = decodeSuspects(crash.At, c.GetSuspects())
		out = append(out, crash)
	}
	return out
}

func encodeSuspects(c *quarantine.Crash) *exchangepb.Requests {
	if len(c.Suspects) == 0 {
		return nil
	}
	out := &exchangepb.Requests{}
	for _, s := range c.Suspects {
		out.Workspaces = append(out.Workspaces, s.Request.Workspace)
		out.Requests = append(out.Requests, s.Request.Request)
		out.SentMs = append(out.SentMs, c.At.Sub(s.Sent).Milliseconds())
	}
	return out
}

func decodeSuspects(at time.Time, r *exchangepb.Requests) []quarantine.Suspect {
	var out []quarantine.Suspect
	for i, k := range decodeKeys(r) {
		if i < len(r.SentMs) {
			sent := at.Add(-time.Duration(r.SentMs[i]) * time.Millisecond)
			out = append(out, quarantine.Suspect{Request: k, Sent: sent})
		}
	}
	return out
}

func encodeKeys(keys []quarantine.Key) *exchangepb.Requests {
	if len(keys) == 0 {
		return nil
	}
	out := &exchangepb.Requests{}
	for _, k := range keys {
		out.Workspaces = append(out.Workspaces, k.Workspace)
		out.Requests = append(out.Requests, k.Request)
	}
	return out
}

// decodeKeys ignores what has no counterpart in both lists.
func decodeKeys(r *exchangepb.Requests) []quarantine.Key {
	n := min(len(r.GetWorkspaces()), len(r.GetRequests()))
	var out []quarantine.Key
	for i := range n {
		out = append(out, quarantine.Key{Workspace: r.Workspaces[i], Request: r.Requests[i]})
	}
	return out
}

func encodeSeq(p quarantine.Position) *exchangepb.Position {
	return &exchangepb.Position{Epoch: p.Epoch, Seq: p.Seq}
}

func decodeSeq(p *exchangepb.Position) quarantine.Position {
	return quarantine.Position{Epoch: p.GetEpoch(), Seq: p.GetSeq()}
}
