package scale

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/capacity"
	"github.com/cyclamenbeam/cyclamenbeam/internal/cloudapi"
	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/placement"
)

// engineRate is what an engine generates, tokens a second.
const engineRate = 2200

// BenchmarkPlacing is one plan of the daemon that places models for a whole
// fleet which holds what it should. There is one each two seconds.
func BenchmarkPlacing(b *testing.B) {
	for _, engines := range []int{18, 170, targetEngines} {
		b.Run(fmt.Sprintf("engines=%d", engines), func(b *testing.B) {
			now := time.Unix(0, 0)
			var wants []placement.Want
			for i := range 1 + engines/7 {
				wants = append(wants, placement.Want{Model: model(i), Load: 3 * engineRate, Bytes: 16 << 30})
			}
			var all []placement.Engine
			for i := range engines {
				all = append(all, placement.Engine{
					ID: engineID(i), DataCentre: dataCentre(i), Capacity: 4,
					Holds: []placement.Held{{Model: model(i % len(wants)), Ready: true, Running: 20}},
				})
			}
			p := placement.New(placement.DefaultConfig(engineRate, 2<<30))
			b.ReportAllocs()
			for b.Loop() {
				p.Plan(now, wants, all)
			}
		})
	}
}

func model(i int) fleet.ModelRef { return fleet.ModelRef{Model: fmt.Sprint("model-", i), Version: "1"} }

// BenchmarkBuying is one plan of the daemon that buys for a whole fleet that
// has what it needs. There is one each five seconds.
func BenchmarkBuying(b *testing.B) {
	for _, engines := range []int{18, 170, targetEngines} {
		b.Run(fmt.Sprintf("engines=%d", engines), func(b *testing.B) {
			now := time.Unix(1_700_000_000, 0)
			config := capacity.DefaultConfig([]capacity.Class{{Name: "standard-8", Rate: engineRate}})
			config.MaxLaunches = 2 * engines
			p := capacity.New("fleet", config, rand.New(rand.NewPCG(1, 1)))
			in := capacity.Input{Demand: capacity.Demand{Base: float64(engines) * engineRate / 2}, ListedAt: now, RecordReadAt: now}
			for i := range 11 {
				in.Prices = append(in.Prices, cloudapi.Price{Class: "standard-8", DataCentre: dataCentre(i), Reclaimable: 1 + float64(i)/20, OnDemand: 3})
			}
			first := p.Plan(now, in)
			in.Record = first.Record
			for i, l := range first.Launches {
				id := fleet.InstanceID(fmt.Sprint("instance-", i))
				p.Launched(now, l, id)
				in.Owned = append(in.Owned, capacity.Owned{Ready: true, Instance: cloudapi.Instance{ID: id, ClientToken: l.ClientToken, Class: l.Class, DataCentre: l.DataCentre}})
			}
			now = now.Add(time.Minute)
			in.ListedAt, in.RecordReadAt = now, now
			b.ReportAllocs()
			for b.Loop() {
				p.Plan(now, in)
			}
			b.ReportMetric(float64(len(in.Owned)), "instances")
		})
	}
}
