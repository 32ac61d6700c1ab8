package budget

import (
	"fmt"
	"testing"
	"time"
)

// scene is what befalls the fleet while orders come.
type scene struct {
	name string
	play func(*sim)
}

// move lets every daemon learn of a shard's new writer within 1 to 4 s.
func (s *sim) move(shard, to int) {
	for _, d := range s.daemons {
		s.after(time.Second+time.Duration(s.random.Float64()*float64(3*time.Second)), func() {
			d.view[shard] = to
			s.tellRoles(d)
		})
	}
}

// disagree lets every other daemon, and the one named, hold that one for the
// writer of a shard for 5 s, while the rest keep to the old one.
func (s *sim) disagree(shard, to int) {
	for _, d := range s.daemons {
		old := d.view[shard]
		if d.id != to && (d.id == old || d.id%2 == 0) {
			continue
		}
		d.view[shard] = to
		s.tellRoles(d)
		s.after(5*time.Second, func() {
			d.view[shard] = old
			s.tellRoles(d)
		})
	}
}

var scenes = []scene{
	{"quiet", func(*sim) {}},
	{"restart", func(s *sim) { // of all daemons at once
		for _, d := range s.daemons {
			clear(d.writers)
			d.budgets = s.way.budgets(s, d)
			s.tellRoles(d)
		}
	}},
	{"writer-dies", func(s *sim) { // of one shard after the other, every 5 s
		for i := range 5 {
			s.after(time.Duration(1+5*i)*time.Second, func() {
				shard := i % s.shards
				s.daemons[s.daemons[0].view[shard]].paused = true
				s.move(shard, s.best(shard, 1+i))
			})
		}
	}},
	{"one-shard-two-writers", func(s *sim) {
		s.after(10*time.Second, func() { s.disagree(0, s.best(0, 1)) })
	}},
	{"all-shards-two-writers", func(s *sim) {
		s.after(10*time.Second, func() {
			for shard := range s.shards {
				s.disagree(shard, s.best(shard, 1))
			}
		})
	}},
	{"three-regions-apart", func(s *sim) { // each third sees itself alone
		for _, d := range s.daemons {
			for shard := range d.view {
				d.view[shard] = s.best(shard, 0)/3*3 + d.id%3
				d.view[shard] -= d.view[shard] / s.fleet * 3
			}
			d.sees = s.fleet / 3
			s.tellRoles(d)
		}
	}},
	{"outcomes-by-dispatchers", func(s *sim) { s.settleBy = false }},
}

// BenchmarkScenes compares the ways under faults. Run with -benchtime 1x.
func BenchmarkScenes(b *testing.B) {
	for _, sc := range scenes {
		for _, w := range ways {
			for _, shards := range []int{1, 4, 8, 16} {
				for _, rate := range []float64{100, 500} {
					b.Run(fmt.Sprintf("%s/%s/shards=%d/orders=%.0f", sc.name, w.name, shards, rate), func(b *testing.B) {
						for b.Loop() {
							s := newSim(w, 340, shards)
							s.begin(rate)
							sc.play(s)
							s.run((simSeconds + 4) * time.Second)
							s.report(b, simSeconds+4)
						}
					})
				}
			}
		}
	}
}
