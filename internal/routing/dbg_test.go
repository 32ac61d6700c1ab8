package routing

import (
	"fmt"
	"os"
	"testing"
	"time"
)

func TestDbg(t *testing.T) {
	if os.Getenv("DBG") == "" {
		t.Skip()
	}
	cap := simCapacity()
	w := DefaultWeights
	w.Recompute = 4
	for _, l := range []int{45, 75, 97} {
		f := newSim(Config{Weights: &w})
		f.refuse = os.Getenv("DBG") == "2"
		for _, t := range simLoad(cap * float64(l) / 100) {
			f.after(t.at, func() { f.arrive(t) })
		}
		for s := 20; s < 240; s += 40 {
			f.after(time.Duration(s)*time.Second, func() {
				r := f.routers[0]
				fmt.Println(l, f.now)
				for i := 0; i < 6; i++ {
					e := f.engines[r.slots[i].info.ID]
					re := r.slots[i]
					v := re.load.View(f.clock().UnixNano())
					c := r.foretell(f.clock().UnixNano(), re, &Request{PromptTokens: 100}, 0)
					todo := 0
					for _, j := range e.batch {
						todo += j.todo
					}
					for _, j := range e.waiting {
						todo += j.turn.q.PromptTokens
					}
					fmt.Printf("  %s batch %d wait %d todo %d pace %.1fms | req %.0f waitTok %.0f limit %.1f extra %.2f first %.2f over %v p=%+v\n", e.class.name, len(e.batch), len(e.waiting), todo, e.pace*1000, v.Requests, v.WaitingTokens, c.limit, v.ExtraWait, c.first, c.overloaded(&r.targets), *re.pace)
				}
			})
		}
		f.run()
	}
}
