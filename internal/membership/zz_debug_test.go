package membership

import (
	"fmt"
	"testing"
	"time"
)

func TestDebugJoin(t *testing.T) {
	g := newGroup(1)
	g.start(340, 11, 3)
	for _, d := range g.daemons {
		d.Seeds(g.now, g.list())
	}
	for s := range 40 {
		kinds := map[Kind]int{}
		recs := 0
		q := 0
		tok := 0.0
		known := 0
		min := 1000
		bulk := 0
		bytesK := map[Kind]int{}
		for range 10 {
			g.step()
			for _, f := range g.flying {
				kinds[f.p.Kind]++
				bytesK[f.p.Kind] += f.p.Size()
				recs += len(f.p.Updates)
			}
		}
		for _, d := range g.daemons {
			q += len(d.rumours.queue)
			tok += d.syncBudget.tokens
			k := len(d.View().Alive())
			known += k
			if k < min {
				min = k
			}
			if d.isBulk() {
				bulk++
			}
		}
		fmt.Println(s, "pk/d", kinds[Ping]/340., kinds[Ack]/340, "gossip", float64(kinds[Gossip])/340, "syncreq", float64(kinds[SyncRequest])/340, "page", float64(kinds[SyncPage])/340, "recs/d", recs/340, "queue", q/340, "tok", int(tok/340), "known", known/340, min, "bulk", bulk, "bytes ping", bytesK[Ping]/340, "ack", bytesK[Ack]/340, "gossip", bytesK[Gossip]/340, "page", bytesK[SyncPage]/340)
	}
	_ = time.Second
}
