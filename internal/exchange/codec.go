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

func encodeReport(p *Report) *exchangepb.Report {
	out := &exchangepb.Report{
		Daemon:        string(p.Daemon),
		ConfigVersion: p.ConfigVersion,
		Spent:         encodeAmounts(p.Soft.Spent),
		Loads:         encodeLoads(p.Soft.Load),
		WantLevels:    p.WantLevels,
		Fetches:       p.Fetches,
		Recent:        p.Soft.JustStarted,
		WallMs:        p.WallTime.UnixMilli(),
		Holder:        encodeHolder(p.Holder),
		Endpoints:     encodePosition(p.EndpointsPosition),
		Brief:         p.OmitLoads,
		Crashes:       quarantinepb.Encode(p.Crashes),
		CrashesHave:   quarantinepb.EncodePosition(p.CrashesPosition),
		Rollouts:      encodeRolloutReports(p.Rollouts),
		RolloutNews:   encodeRolloutUpdate(&p.RolloutUpdate),
		Seq:           p.Seq,
		Spare:         p.Backup,
		Hub:           p.IsHub,
		Members:       encodePosition(p.MembersPosition),
		Unpacks:       p.AcceptsCompressed,
	}
	if p.Self != nil {
		out.Self = encodeMember(p.Self)
	}
	for i := range p.Relayed {
		out.Relayed = append(out.Relayed, encodeRelayed(&p.Relayed[i]))
	}
	for service, w := range p.Soft.Work {
		out.Works = append(out.Works, &exchangepb.Work{
			Service: service, Requests: uint64(w.Requests), Refused: uint64(w.Refused), Hold: w.SlotSeconds, Read: w.Prefill, Prompt: w.Prompt,
		})
	}
	for id, begun := range p.Windows {
		w := &exchangepb.Window{Id: id}
		for name, n := range begun {
			w.Begun = append(w.Begun, &exchangepb.Amount{Name: string(name), Amount: float64(n)})
		}
		out.Windows = append(out.Windows, w)
	}
	return out
}

func decodeReport(r *exchangepb.Report) Report {
	p := Report{
		Daemon:        fleet.DaemonID(r.Daemon),
		ConfigVersion: r.ConfigVersion,
		Soft: relay.SoftState{
			Spent:       decodeAmounts(r.Spent),
			JustStarted: r.Recent,
			Load:        decodeLoads(r.Loads),
			Work:        make(map[string]relay.Work, len(r.Works)),
		},
		Windows:  make(map[uint64]RequestCounts, len(r.Windows)),
		WallTime: time.UnixMilli(r.WallMs),
		Holder:   decodeHolder(r.Holder),

		EndpointsPosition: decodePosition(r.Endpoints),
		OmitLoads:         r.Brief,
		WantLevels:        r.WantLevels,
		Fetches:           r.Fetches,

		Crashes:         quarantinepb.Decode(r.Crashes),
		CrashesPosition: quarantinepb.DecodePosition(r.CrashesHave),

		Rollouts:      decodeRolloutReports(r.Rollouts),
		RolloutUpdate: decodeRolloutUpdate(r.RolloutNews),

		Seq:    r.Seq,
		Backup: r.Spare,
		IsHub:  r.Hub,

		MembersPosition:   decodePosition(r.Members),
		AcceptsCompressed: r.Unpacks,
	}
	if r.Self != nil {
		self := decodeMember(r.Self)
		p.Self = &self
	}
	for _, relayed := range r.Relayed {
		p.Relayed = append(p.Relayed, decodeRelayed(relayed))
	}
	for _, w := range r.Works {
		p.Soft.Work[w.Service] = relay.Work{
			Requests: int(w.Requests), Refused: int(w.Refused), SlotSeconds: w.Hold, Prefill: w.Read, Prompt: w.Prompt,
		}
	}
	for _, w := range r.Windows {
		begun := make(RequestCounts, len(w.Begun))
		for _, a := range w.Begun {
			begun[fleet.WorkspaceID(a.Name)] = uint64(a.Amount)
		}
		p.Windows[w.Id] = begun
	}
	return p
}

// encodeRelayed omits the fields that only the reporting daemon's own hub needs.
func encodeRelayed(r *RelayedReport) *exchangepb.Report {
	out := encodeReport(&r.Report)
	out.AgeMs, out.Changes = r.Age.Milliseconds(), r.ChangedOnly
	out.Endpoints, out.CrashesHave, out.RolloutNews, out.Holder = nil, nil, nil, nil
	out.Self, out.Members = nil, nil
	return out
}

func decodeRelayed(r *exchangepb.Report) RelayedReport {
	return RelayedReport{Report: decodeReport(r), Age: time.Duration(r.AgeMs) * time.Millisecond, ChangedOnly: r.Changes}
}

func encodeReply(s *Reply) *exchangepb.Totals {
	out := &exchangepb.Totals{
		Spent:         encodeAmounts(s.Soft.Spent),
		Recent:        s.Soft.JustStarted,
		ConfigVersion: s.ConfigVersion,
		Config:        s.Config,
		Holder:        encodeHolder(s.Holder),
		Endpoints:     encodeList(&s.Endpoints, s.Compress),
		FreshMs:       s.StoreAge.Milliseconds(),
		Levels:        encodeAmounts(s.Soft.Levels),

		ConfigRevision: s.ConfigRevision,

		Crashes:   quarantinepb.Encode(s.Crashes),
		CrashesTo: quarantinepb.EncodePosition(s.CrashesPosition),
		Rollouts:  encodeRolloutUpdate(&s.RolloutUpdate),
		Members:   encodeList(&s.Members, s.Compress),
	}
	if s.Loads != nil {
		out.Loads, out.OwnLoads = s.Loads.encoded, encodeLoads(s.Loads.Own)
	}
	if !s.FleetTime.IsZero() {
		out.TrueMs = s.FleetTime.UnixMilli()
	}
	return out
}

func decodeReply(t *exchangepb.Totals) Reply {
	s := Reply{
		ConfigVersion:   t.ConfigVersion,
		Config:          t.Config,
		ConfigRevision:  t.ConfigRevision,
		Soft:            relay.SoftState{Spent: decodeAmounts(t.Spent), JustStarted: t.Recent, Levels: decodeAmounts(t.Levels)},
		Holder:          decodeHolder(t.Holder),
		Endpoints:       decodeList(t.Endpoints),
		StoreAge:        time.Duration(t.FreshMs) * time.Millisecond,
		Crashes:         quarantinepb.Decode(t.Crashes),
		CrashesPosition: quarantinepb.DecodePosition(t.CrashesTo),
		RolloutUpdate:   decodeRolloutUpdate(t.Rollouts),
		Members:         decodeList(t.Members),
	}
	if t.Loads != nil {
		s.Loads = &Loads{All: decodeLoads(t.Loads), Own: decodeLoads(t.OwnLoads)}
	}
	if t.TrueMs != 0 {
		s.FleetTime = time.UnixMilli(t.TrueMs)
	}
	return s
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
		out.Keys = append(out.Keys, rendezvous.Short(k))
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
