package exchange

import (
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/exchange/exchangepb"
	"github.com/cyclamenbeam/cyclamenbeam/internal/feed"
	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/quarantine/quarantinepb"
	"github.com/cyclamenbeam/cyclamenbeam/internal/relay"
	"github.com/cyclamenbeam/cyclamenbeam/internal/rendezvous"
	"github.com/cyclamenbeam/cyclamenbeam/internal/spread"
)

func encodeReport(r *Report) *exchangepb.Report {
	out := &exchangepb.Report{
		Daemon:        string(r.Daemon),
		ConfigVersion: r.ConfigVersion,
		Spent:         encodeAmounts(r.Soft.Spent),
		Loads:         encodeLoads(r.Soft.Load),
		WantLevels:    r.WantLevels,
		Fetches:       r.Fetches,
		Recent:        r.Soft.JustStarted,
		WallMs:        r.WallTime.UnixMilli(),
		Holder:        encodeHolder(r.Holder),
		Endpoints:     encodePosition(r.EndpointsPosition),
		Brief:         r.OmitLoads,
		Crashes:       quarantinepb.Encode(r.Crashes),
		CrashesHave:   quarantinepb.EncodePosition(r.CrashesPosition),
		Rollouts:      encodeRolloutReports(r.Rollouts),
		RolloutNews:   encodeRolloutUpdate(&r.RolloutUpdate),
		Seq:           r.Seq,
		Spare:         r.Backup,
		Hub:           r.IsHub,
		Members:       encodePosition(r.MembersPosition),
		Unpacks:       r.AcceptsCompressed,
		Speeds:        encodeSpeeds(r.Soft.Speeds),
		Demands:       encodeDemands(r.Soft.Demands),

		Unreachable:    r.Unreachable,
		Forward:        r.ForwardAddress,
		WantForwarders: r.WantForwarders,
		KeepsVersions:  r.KeepsVersions,
		WantVersions:   r.WantVersions,
		RateLimits:     encodeRateLimits(r.RateLimits),
		RateLimitsHave: encodeRateLimitPosition(r.RateLimitsPosition),
	}
	if r.Self != nil {
		out.Self = encodeMember(r.Self)
	}
	for i := range r.Relayed {
		out.Relayed = append(out.Relayed, encodeRelayed(&r.Relayed[i]))
	}
	for service, w := range r.Soft.Work {
		out.Works = append(out.Works, &exchangepb.Work{
			Service: service, Requests: uint64(w.Requests), Refused: uint64(w.Refused), Hold: w.SlotSeconds, Read: w.Prefill, Prompt: w.Prompt,
		})
	}
	for id, counts := range r.Windows {
		w := &exchangepb.Window{Id: id}
		for name, n := range counts {
			w.Begun = append(w.Begun, &exchangepb.Amount{Name: string(name), Amount: float64(n)})
		}
		out.Windows = append(out.Windows, w)
	}
	return out
}

func decodeReport(in *exchangepb.Report) Report {
	out := Report{
		Daemon:        fleet.DaemonID(in.Daemon),
		ConfigVersion: in.ConfigVersion,
		Soft: relay.SoftState{
			Spent:       decodeAmounts(in.Spent),
			JustStarted: in.Recent,
			Load:        decodeLoads(in.Loads),
			Work:        make(map[string]relay.Work, len(in.Works)),
			Speeds:      decodeSpeeds(in.Speeds),
			Demands:     decodeDemands(in.Demands),
		},
		Windows:  make(map[uint64]RequestCounts, len(in.Windows)),
		WallTime: time.UnixMilli(in.WallMs),
		Holder:   decodeHolder(in.Holder),

		EndpointsPosition: decodePosition(in.Endpoints),
		OmitLoads:         in.Brief,
		WantLevels:        in.WantLevels,
		Fetches:           in.Fetches,

		Crashes:         quarantinepb.Decode(in.Crashes),
		CrashesPosition: quarantinepb.DecodePosition(in.CrashesHave),

		Rollouts:      decodeRolloutReports(in.Rollouts),
		RolloutUpdate: decodeRolloutUpdate(in.RolloutNews),

		Seq:    in.Seq,
		Backup: in.Spare,
		IsHub:  in.Hub,

		MembersPosition:   decodePosition(in.Members),
		AcceptsCompressed: in.Unpacks,

		Unreachable:        in.Unreachable,
		ForwardAddress:     in.Forward,
		WantForwarders:     in.WantForwarders,
		KeepsVersions:      in.KeepsVersions,
		WantVersions:       in.WantVersions,
		RateLimits:         decodeRateLimits(in.RateLimits),
		RateLimitsPosition: decodeRateLimitPosition(in.RateLimitsHave),
	}
	if in.Self != nil {
		self := decodeMember(in.Self)
		out.Self = &self
	}
	for _, relayed := range in.Relayed {
		out.Relayed = append(out.Relayed, decodeRelayed(relayed))
	}
	for _, w := range in.Works {
		out.Soft.Work[w.Service] = relay.Work{
			Requests: int(w.Requests), Refused: int(w.Refused), SlotSeconds: w.Hold, Prefill: w.Read, Prompt: w.Prompt,
		}
	}
	for _, w := range in.Windows {
		counts := make(RequestCounts, len(w.Begun))
		for _, a := range w.Begun {
			counts[fleet.WorkspaceID(a.Name)] = uint64(a.Amount)
		}
		out.Windows[w.Id] = counts
	}
	return out
}

// encodeRelayed omits the fields that only the reporting daemon's own hub needs.
func encodeRelayed(r *RelayedReport) *exchangepb.Report {
	out := encodeReport(&r.Report)
	out.AgeMs, out.Changes = r.Age.Milliseconds(), r.ChangedOnly
	out.Endpoints, out.CrashesHave, out.RolloutNews, out.Holder = nil, nil, nil, nil
	out.Self, out.Members = nil, nil
	out.RateLimits, out.RateLimitsHave = nil, nil
	return out
}

func decodeRelayed(r *exchangepb.Report) RelayedReport {
	age := max(time.Duration(r.AgeMs)*time.Millisecond, 0) // a report from the future would never expire
	return RelayedReport{Report: decodeReport(r), Age: age, ChangedOnly: r.Changes}
}

func encodeReply(r *Reply) *exchangepb.Totals {
	out := &exchangepb.Totals{
		Spent:         encodeAmounts(r.Soft.Spent),
		Recent:        r.Soft.JustStarted,
		ConfigVersion: r.ConfigVersion,
		Config:        r.Config,
		Holder:        encodeHolder(r.Holder),
		Endpoints:     encodeList(&r.Endpoints, r.Compress),
		FreshMs:       r.StoreAge.Milliseconds(),
		Levels:        encodeAmounts(r.Soft.Levels),
		Demands:       encodeDemands(r.Soft.Demands),

		ConfigRevision: r.ConfigRevision,

		Crashes:   quarantinepb.Encode(r.Crashes),
		CrashesTo: quarantinepb.EncodePosition(r.CrashesPosition),
		Rollouts:  encodeRolloutUpdate(&r.RolloutUpdate),
		Members:   encodeList(&r.Members, r.Compress),

		Forwarders:   encodeForwarders(r.Forwarders),
		Versions:     encodeVersions(r.Versions),
		RateLimits:   encodeRateLimits(r.RateLimits),
		RateLimitsTo: encodeRateLimitPosition(r.RateLimitsPosition),
	}
	if r.Loads != nil {
		out.Loads, out.OwnLoads = r.Loads.encoded, encodeLoads(r.Loads.Own)
	}
	if r.Speeds != nil {
		out.Speeds, out.OwnSpeeds = r.Speeds.encoded, encodeSpeeds(r.Speeds.Own)
	}
	if !r.FleetTime.IsZero() {
		out.TrueMs = r.FleetTime.UnixMilli()
	}
	return out
}

func decodeReply(t *exchangepb.Totals) Reply {
	r := Reply{
		ConfigVersion:   t.ConfigVersion,
		Config:          t.Config,
		ConfigRevision:  t.ConfigRevision,
		Soft:            relay.SoftState{Spent: decodeAmounts(t.Spent), JustStarted: t.Recent, Levels: decodeAmounts(t.Levels), Demands: decodeDemands(t.Demands)},
		Holder:          decodeHolder(t.Holder),
		Endpoints:       decodeList(t.Endpoints),
		StoreAge:        time.Duration(t.FreshMs) * time.Millisecond,
		Crashes:         quarantinepb.Decode(t.Crashes),
		CrashesPosition: quarantinepb.DecodePosition(t.CrashesTo),
		RolloutUpdate:   decodeRolloutUpdate(t.Rollouts),
		Members:         decodeList(t.Members),

		Forwarders:         decodeForwarders(t.Forwarders),
		Versions:           decodeVersions(t.Versions),
		RateLimits:         decodeRateLimits(t.RateLimits),
		RateLimitsPosition: decodeRateLimitPosition(t.RateLimitsTo),
	}
	if t.Loads != nil {
		r.Loads = &Loads{All: decodeLoads(t.Loads), Own: decodeLoads(t.OwnLoads)}
	}
	if t.Speeds != nil {
		r.Speeds = &Speeds{All: decodeSpeeds(t.Speeds), Own: decodeSpeeds(t.OwnSpeeds)}
	}
	if t.TrueMs != 0 {
		r.FleetTime = time.UnixMilli(t.TrueMs)
	}
	return r
}

func encodeWant(w spread.Want) *exchangepb.Want {
	return &exchangepb.Want{Have: w.Have, Version: w.Version, Offset: uint64(w.Offset)}
}

func decodeWant(w *exchangepb.Want) spread.Want {
	return spread.Want{Have: w.GetHave(), Version: w.GetVersion(), Offset: int(w.GetOffset())}
}

func encodePiece(p spread.Piece) *exchangepb.Piece {
	return &exchangepb.Piece{Version: p.Version, Base: p.Base, Size: uint64(p.Size), Offset: uint64(p.Offset), Data: p.Data}
}

func decodePiece(p *exchangepb.Piece) spread.Piece {
	return spread.Piece{
		Version: p.GetVersion(), Base: p.GetBase(), Size: int(p.GetSize()), Offset: int(p.GetOffset()), Data: p.GetData(),
	}
}

func encodePosition(p feed.Position) *exchangepb.Position {
	return &exchangepb.Position{Epoch: p.Epoch, Seq: p.Seq, Revision: p.Revision}
}

func decodePosition(p *exchangepb.Position) feed.Position {
	return feed.Position{Epoch: p.GetEpoch(), Seq: p.GetSeq(), Revision: p.GetRevision()}
}

func encodeUpdate(u *feed.Update) *exchangepb.Feed {
	out := &exchangepb.Feed{To: encodePosition(u.To), Full: u.Full, Removed: u.Removed}
	for _, it := range u.Items {
		out.Items = append(out.Items, &exchangepb.Item{Name: it.Name, Spec: it.Spec, Revision: it.Revision})
	}
	for _, k := range u.Keys {
		out.Keys = append(out.Keys, uint32(k))
	}
	return out
}

func decodeUpdate(f *exchangepb.Feed) feed.Update {
	out := feed.Update{To: decodePosition(f.GetTo()), Full: f.GetFull(), Removed: f.GetRemoved()}
	for _, it := range f.GetItems() {
		out.Items = append(out.Items, feed.Item{Name: it.Name, Spec: it.Spec, Revision: it.Revision})
	}
	for _, k := range f.GetKeys() {
		out.Keys = append(out.Keys, rendezvous.ShortKey(k))
	}
	return out
}

func encodeHolder(h Holder) *exchangepb.Holder {
	return &exchangepb.Holder{Daemon: string(h.Daemon), Token: h.Token}
}

func decodeHolder(h *exchangepb.Holder) Holder {
	return Holder{Daemon: fleet.DaemonID(h.GetDaemon()), Token: h.GetToken()}
}

func encodeAmounts(m map[fleet.WorkspaceID]float64) []*exchangepb.Amount {
	out := make([]*exchangepb.Amount, 0, len(m))
	for name, v := range m {
		out = append(out, &exchangepb.Amount{Name: string(name), Amount: v})
	}
	return out
}

func decodeAmounts(all []*exchangepb.Amount) map[fleet.WorkspaceID]float64 {
	out := make(map[fleet.WorkspaceID]float64, len(all))
	for _, a := range all {
		out[fleet.WorkspaceID(a.Name)] = a.Amount
	}
	return out
}
