package daemon

import (
	"context"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/ledger"
	"github.com/cyclamenbeam/cyclamenbeam/internal/peer/peerpb"
	"github.com/cyclamenbeam/cyclamenbeam/internal/template"
)

// fetchTemplates asks another daemon for newer templates.
func (d *Daemon) fetchTemplates(ctx context.Context, from fleet.DaemonID, have map[string]uint64) ([]template.Revision, bool, error) {
	p, ok := d.roster.view.Load().byRun[from]
	if !ok {
		return nil, false, Error.New("daemon %s is not known", from)
	}
	reply, err := d.peers.Peer(ctx, p.Peers).Templates(ctx, &peerpb.TemplatesRequest{Have: have})
	if err != nil {
		return nil, false, Error.Wrap(err)
	}
	out := make([]template.Revision, 0, len(reply.GetTemplates()))
	for _, t := range reply.GetTemplates() {
		out = append(out, template.Revision{Name: t.GetName(), Version: t.GetVersion(), Deleted: t.GetDeleted(), Value: t.GetValue()})
	}
	return out, true, nil
}

// forwardIntent asks another daemon, the shard's writer, to record an intent.
func (d *Daemon) forwardIntent(ctx context.Context, p peerInfo, shard int, in ledger.Intent) (ledger.Action, error) {
	ctx, cancel := context.WithDeadline(ctx, in.Deadline)
	defer cancel()
	reply, err := d.peers.Peer(ctx, p.Peers).Intend(ctx, intentToWire(shard, in))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	if len(reply.GetResults()) != 1 {
		return nil, Error.New("writer answered %d results for one intent", len(reply.GetResults()))
	}
	return intentResultFromWire(in, reply.GetResults()[0])
}
