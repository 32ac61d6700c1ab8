package membership

import (
	"fmt"
	"sort"
	"testing"
	"time"
)

func TestDebugStuck(t *testing.T) {
	g := newGroup(1)
	g.start(340, 11, 3)
	for _, d := range g.daemons {
		d.Seeds(g.now, g.list())
	}
	g.run(8 * time.Second)
	ds := append([]*daemon{}, g.daemons...)
	sort.Slice(ds, func(i, j int) bool { return len(ds[i].View().Alive()) < len(ds[j].View().Alive()) })
	for _, d := range ds[:25] {
		own := 0
		for _, m := range d.View().Alive() {
			if m.Region == d.self.record.Region {
				own++
			}
		}
		fmt.Println(d.index, d.self.record.Region, "known", len(d.View().Alive()), "own", own, "ring", len(d.prober.ring), "peer", d.syncer.peer != nil, "next", d.syncer.nextAt-d.clock.now, "bulk", d.isBulk(), "tok", int(d.syncBudget.tokens), "joined", d.joined, "hints", len(d.seeds.hints), "susp", len(d.suspect), d.isolated)
	}
	reg := map[string]int{}
	cnt := map[string]int{}
	for _, d := range ds {
		own := 0
		for _, m := range d.View().Alive() {
			if m.Region == d.self.record.Region {
				own++
			}
		}
		r := string(d.self.record.Region)
		cnt[r]++
		reg[r+"own"] += own
		reg[r+"all"] += len(d.View().Alive())
	}
	fmt.Println(reg, cnt)
}
