package origin

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"
)

// BenchmarkStoredOrigins plays a fleet for longer than Retention and states what it writes in a
// second, and how long a writer takes to encode a record.
func BenchmarkStoredOrigins(b *testing.B) {
	for _, n := range []int{9, 340, 986} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			p := newStorePlay(n, 4.2)
			p.run(Retention + time.Second)
			calls, bytes := p.calls, p.bytes
			p.run(5 * time.Second)
			most := 0
			for _, text := range p.stored {
				most = max(most, len(text))
			}
			var writer *playDaemon
			for _, d := range p.daemons {
				if _, self := d.homes.Writer(); self {
					writer = d
				}
			}
			b.ResetTimer()
			for b.Loop() {
				_, _ = json.Marshal(NewStreams(p.now, p.era, writer.table.Own(p.now)))
			}
			b.ReportMetric(float64(p.calls-calls)/5, "writes/s")
			b.ReportMetric(float64(p.bytes-bytes)/5e3, "KB/s")
			b.ReportMetric(float64(most)/1e3, "KB-largest")
			b.ReportMetric(float64(writer.table.Len()), "origins-of-a-writer")
		})
	}
}

// BenchmarkNewHomes measures what a change of the fleet costs a daemon.
func BenchmarkNewHomes(b *testing.B) {
	p := newStorePlay(1, 0)
	var all []Daemon
	for i := range 986 {
		all = append(all, Daemon{fmt.Sprintf("entry-%d", i), "a"})
	}
	for b.Loop() {
		p.daemons[0].homes = NewHomes("entry-7", all)
	}
}
