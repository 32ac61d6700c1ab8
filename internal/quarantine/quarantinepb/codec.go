// Package quarantinepb is the wire format in which daemons exchange the crashes of
// endpoints.
package quarantinepb

import (
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/quarantine"
)

// Encode returns crashes in the wire format.
func Encode(all []quarantine.Crash) []*Crash {
	out := make([]*Crash, len(all))
	for i := range all {
		c := &all[i]
		out[i] = &Crash{
			Endpoint: uint64(c.Endpoint), Hash: c.Hash, AtMs: c.At.UnixMilli(), AtUs: uint32(c.At.UnixMicro() % 1000), Void: c.Void,
			Suspects: encodeSuspects(c), Cleared: encodeKeys(c.Cleared),
			Prompts: encodePrompts(c), ClearedParts: encodeClearedParts(c.ClearedParts),
		}
	}
	return out
}

// Decode returns crashes from the wire format. A suspect without a sending time is
// ignored.
func Decode(all []*Crash) []quarantine.Crash {
	var out []quarantine.Crash
	for _, c := range all {
		crash := quarantine.Crash{
			Endpoint: quarantine.Incarnation(c.GetEndpoint()), Hash: c.GetHash(), At: time.UnixMicro(1000*c.GetAtMs() + int64(c.GetAtUs())), Void: c.GetVoid(),
			Cleared: decodeKeys(c.GetCleared()), ClearedParts: decodeClearedParts(c.GetClearedParts()),
		}
		crash.Suspects = decodeSuspects(crash.At, c.GetSuspects())
		crash.Prompts = decodePrompts(crash.At, c.GetPrompts())
		out = append(out, crash)
	}
	return out
}

func encodeSuspects(c *quarantine.Crash) *Requests {
	if len(c.Suspects) == 0 {
		return nil
	}
	out := &Requests{}
	for _, s := range c.Suspects {
		out.Workspaces = append(out.Workspaces, s.Request.Scope)
		out.Requests = append(out.Requests, s.Request.ID)
		out.SentMs = append(out.SentMs, c.At.Sub(s.Sent).Milliseconds())
		out.SentUs = append(out.SentUs, c.At.Sub(s.Sent).Microseconds())
	}
	return out
}

func decodeSuspects(at time.Time, r *Requests) []quarantine.Suspect {
	var out []quarantine.Suspect
	for i, k := range decodeKeys(r) {
		switch {
		case i < len(r.SentUs):
			out = append(out, quarantine.Suspect{Request: k, Sent: at.Add(-time.Duration(r.SentUs[i]) * time.Microsecond)})
		case i < len(r.SentMs):
			out = append(out, quarantine.Suspect{Request: k, Sent: at.Add(-time.Duration(r.SentMs[i]) * time.Millisecond)})
		}
	}
	return out
}

func encodeKeys(keys []quarantine.Key) *Requests {
	if len(keys) == 0 {
		return nil
	}
	out := &Requests{}
	for _, k := range keys {
		out.Workspaces = append(out.Workspaces, k.Scope)
		out.Requests = append(out.Requests, k.ID)
	}
	return out
}

// decodeKeys ignores entries without a counterpart in the other list.
func decodeKeys(r *Requests) []quarantine.Key {
	n := min(len(r.GetWorkspaces()), len(r.GetRequests()))
	var out []quarantine.Key
	for i := range n {
		out = append(out, quarantine.Key{Scope: r.Workspaces[i], ID: r.Requests[i]})
	}
	return out
}

func encodePrompts(c *quarantine.Crash) []*Prompt {
	var out []*Prompt
	for _, p := range c.Prompts {
		out = append(out, &Prompt{Workspace: p.Workspace, Scope: p.Scope, Parts: p.Parts, SentUs: c.At.Sub(p.Sent).Microseconds()})
	}
	return out
}

func decodePrompts(at time.Time, all []*Prompt) []quarantine.Prompt {
	var out []quarantine.Prompt
	for _, p := range all {
		out = append(out, quarantine.Prompt{
			Workspace: p.GetWorkspace(), Scope: p.GetScope(), Parts: p.GetParts(),
			Sent: at.Add(-time.Duration(p.GetSentUs()) * time.Microsecond),
		})
	}
	return out
}

func encodeClearedParts(keys []quarantine.Key) *Parts {
	if len(keys) == 0 {
		return nil
	}
	out := &Parts{}
	for _, k := range keys {
		out.Scopes = append(out.Scopes, k.Scope)
		out.Ids = append(out.Ids, k.ID)
	}
	return out
}

func decodeClearedParts(in *Parts) []quarantine.Key {
	var out []quarantine.Key
	for i := range min(len(in.GetScopes()), len(in.GetIds())) {
		out = append(out, quarantine.PartOf(in.Scopes[i], in.Ids[i]))
	}
	return out
}

// EncodePosition returns a position in the wire format.
func EncodePosition(p quarantine.Position) *Position {
	return &Position{Epoch: p.Epoch, Seq: p.Seq}
}

// DecodePosition returns a position from the wire format, the zero one for nil.
func DecodePosition(p *Position) quarantine.Position {
	return quarantine.Position{Epoch: p.GetEpoch(), Seq: p.GetSeq()}
}
