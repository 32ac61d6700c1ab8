package load

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Distribution is the summary of a histogram of latencies, in milliseconds.
type Distribution struct {
	Count int64   `json:"count"`
	Mean  float64 `json:"mean"`
	P50   float64 `json:"p50"`
	P90   float64 `json:"p90"`
	P95   float64 `json:"p95"`
	P99   float64 `json:"p99"`
	P999  float64 `json:"p999"`
	Max   float64 `json:"max"`
}

// Range and precision of histograms: a microsecond to an hour, three significant
// digits.
const (
	lowestMicros  = 1
	highestMicros = int64(time.Hour / time.Microsecond)
	digits        = 3
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(lowestMicros, highestMicros, digits)
}

// record adds a latency; one outside the range counts as the nearest end of it.
func record(h *hdrhistogram.Histogram, d time.Duration) {
	v := min(max(d.Microseconds(), lowestMicros), highestMicros)
	// The value is within the range, so this does not fail.
	_ = h.RecordValue(v)
}

func newDistribution(h *hdrhistogram.Histogram) Distribution {
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Distribution{
		Count: h.TotalCount(), Mean: h.Mean() / 1000, Max: float64(h.Max()) / 1000,
		P50: at(50), P90: at(90), P95: at(95), P99: at(99), P999: at(99.9),
	}
}
