package budget

import (
	"fmt"
	"testing"
	"time"
)

// scene is a fault of the fleet while orders arrive.
type scene struct {
	name string
	play func(*sim)
}

// move lets the daemons learn within 1 to 4 s that a shard's writer is gone.
func (s *sim) move(shard int) {
	for _, d := range s.daemons {
		s.after(time.Second+time.Duration(s.random.Float64()*float64(3*time.Second)), func() {
			d.view[shard]++
			s.setRoles(d)
		})
	}
}

// disagree lets every other daemon, and the next in rank, take that one for the writer of a shard
// for 5 s, while the rest keep to the old one.
func (s *sim) disagree(shard int) {
	for _, d := range s.daemons {
		if d == s.ranked(shard, 0) || d.id%2 == 0 && d != s.ranked(shard, 1) {
			continue
		}
		d.view[shard] = 1
		s.setRoles(d)
		s.after(5*time.Second, func() {
			d.view[shard] = 0
			s.setRoles(d)
		})
	}
}

var scenes = []scene{
	{"quiet", func(*sim) {}},
	{"restart", func(s *sim) { // of all daemons at once
		for _, d := range s.daemons {
			clear(d.writers)
			d.budgets = s.way.budgets(s, d)
			s.setRoles(d)
		}
	}},
	{"writer-dies", func(s *sim) { // of one shard after the other, every 5 s
		for i := range 5 {
			s.after(time.Duration(1+5*i)*time.Second, func() {
				shard := i % s.shards
				s.ranked(shard, i/s.shards).paused = true
				s.move(shard)
			})
		}
	}},
	{"one-shard-two-writers", func(s *sim) {
		s.after(10*time.Second, func() { s.disagree(0) })
	}},
	{"all-shards-two-writers", func(s *sim) {
		s.after(10*time.Second, func() {
			for shard := range s.shards {
				s.disagree(shard)
			}
		})
	}},
	{"three-regions-apart", func(s *sim) { // each third sees itself alone
		for _, d := range s.daemons {
			for shard := range d.view {
				for s.ranked(shard, d.view[shard]).id%3 != d.id%3 {
					d.view[shard]++
				}
			}
			d.sees = s.fleet / 3
			s.setRoles(d)
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
							s.figures(b, simSeconds+4)
						}
					})
				}
			}
		}
	}
}
