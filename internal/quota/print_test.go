package quota_test

import (
	"fmt"
	"testing"
	"time"
)

func TestPrint(t *testing.T) {
	for _, n := range []int{195, 340} {
		for _, c := range []struct {
			away  bool
			alone bool
			hot   time.Duration
		}{{false, false, 500 * time.Millisecond}, {false, false, 6 * time.Second}, {true, false, 500 * time.Millisecond}, {true, true, 500 * time.Millisecond}, {true, false, 6 * time.Second}, {true, true, 6 * time.Second}} {
			out := ""
			for seed := range uint64(4) {
				f := &sizedFleet{daemons: n, hot: c.hot}
				if c.away {
					f.away, f.alone, f.from, f.to = n*35/100, c.alone, time.Second, 13*time.Second
				}
				f.play(seed, 20*time.Second)
				out += fmt.Sprintf(" %.3f", f.most()*(1.1*9+excess/largeRate)/9)
			}
			fmt.Println(n, c, out)
		}
	}
}
