package template

import (
	"fmt"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/audit"
	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/objectapi"
	"gotest.tools/v3/assert"
)

// large returns the example with this number of workspaces, each with a token.
func large(t testing.TB, workspaces int) *Template {
	out := example(t)
	out.Workspaces = nil
	for i := range workspaces {
		name := fmt.Sprintf("workspace-%04d", i)
		out.Workspaces = append(out.Workspaces, WorkspaceSpec{
			Name:       fleet.WorkspaceID(name),
			Parameters: map[string]string{"rate": fmt.Sprint(i + 1)},
			Tokens:     []TokenSpec{{SHA256: hashOf(name), Expires: "2027-01-01T00:00:00Z"}},
		})
	}
	return out
}

// withFullAudit returns a record with an audit trail of the maximum length.
func withFullAudit(t testing.TB, template *Template) Record {
	r := Record{Name: template.Name, Version: 5000, Template: template}
	state, err := template.JSON()
	assert.NilError(t, err)
	for i := range audit.MaxKept + 1 {
		r.Audit = r.Audit.Append(audit.Entry{
			Who:       "ana.operator",
			When:      noon.UnixMilli(),
			Action:    audit.Amended,
			From:      uint64(4000 + i),
			Why:       "raise the diagnosis rate for month-end",
			Digest:    audit.Digest(state),
			Operation: "0190f5a2-7c1e-7a53-9f10-0123456789ab",
		})
	}
	return r
}

func object(t testing.TB, r Record) objectapi.Object {
	value, err := r.Value()
	assert.NilError(t, err)
	return objectapi.Object{Kind: Kind, Name: r.Name, Version: r.Version, Value: value}
}

func BenchmarkAuthenticate(b *testing.B) {
	for _, n := range []int{5, 1000} {
		b.Run(fmt.Sprintf("workspaces=%d", n), func(b *testing.B) {
			s := NewStore()
			s.Apply(revision(b, large(b, n), 1))
			snapshot, token := s.Snapshot(), []byte("workspace-0003")
			b.ReportAllocs()
			for b.Loop() {
				if _, ok := snapshot.Authenticate(noon, token); !ok {
					b.Fatal("unknown token")
				}
			}
		})
	}
}

func BenchmarkNonIdempotent(b *testing.B) {
	snapshot := inForce(b)
	b.ReportAllocs()
	for b.Loop() {
		if snapshot.NonIdempotent("GET", "parts", "/stock/4711") {
			b.Fatal("taken for non-idempotent")
		}
	}
}

// BenchmarkApply measures a daemon's cost of a change received by a watch:
// decoding and checking the object, and building a new snapshot. It also
// reports the sizes of the object and of the revision kept.
func BenchmarkApply(b *testing.B) {
	for _, n := range []int{5, 100, 1000} {
		b.Run(fmt.Sprintf("workspaces=%d", n), func(b *testing.B) {
			o := object(b, withFullAudit(b, large(b, n)))
			s := NewStore()
			b.ReportAllocs()
			for b.Loop() {
				o.Version++
				r, err := RevisionOf(o)
				if err != nil || s.Apply(r)[0].Effect != InForce {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(o.Value)), "object-bytes")
			b.ReportMetric(float64(len(s.active[o.Name].revision.Value)), "revision-bytes")
		})
	}
}

// BenchmarkHeld reports the memory used by a template in force: the revision,
// its resolved form and the snapshot.
func BenchmarkHeld(b *testing.B) {
	for _, n := range []int{5, 100, 1000} {
		b.Run(fmt.Sprintf("workspaces=%d", n), func(b *testing.B) {
			r := revision(b, large(b, n), 1)
			stores := make([]*Store, 0, b.N)
			before := heap()
			for range b.N {
				s, own := NewStore(), r
				own.Value = slices.Clone(r.Value)
				s.Apply(own)
				stores = append(stores, s)
			}
			b.ReportMetric(float64(heap()-before)/float64(b.N), "held-bytes")
			runtime.KeepAlive(stores)
		})
	}
}

// heap returns the size of all live objects in bytes.
func heap() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// BenchmarkParse measures a daemon's cost of parsing and checking a template's
// text.
func BenchmarkParse(b *testing.B) {
	for _, n := range []int{5, 100, 1000} {
		b.Run(fmt.Sprintf("workspaces=%d", n), func(b *testing.B) {
			text, err := large(b, n).YAML()
			assert.NilError(b, err)
			for b.Loop() {
				if _, problems := Parse(text); len(problems) > 0 {
					b.Fatal(problems)
				}
			}
			b.ReportMetric(float64(len(text)), "text-bytes")
		})
	}
}

// BenchmarkPlan measures a daemon's cost of planning one operator's change.
func BenchmarkPlan(b *testing.B) {
	record := withFullAudit(b, large(b, 100))
	requested := large(b, 101)
	c := Change{Name: record.Name, Expected: record.Version, Template: requested, Who: "ana", Operation: "1"}
	b.ReportAllocs()
	for b.Loop() {
		if r := c.Plan(record, noon); r.Outcome != Proceed {
			b.Fatal(r.Reason)
		}
	}
}

// BenchmarkSpread reports the time and calls that a fleet needs to catch up
// after a restart of all daemons with the store up, and then to put one change
// in force everywhere with the store down.
func BenchmarkSpread(b *testing.B) {
	for _, n := range []int{9, 85, 340} {
		b.Run(fmt.Sprintf("daemons=%d", n), func(b *testing.B) {
			for b.Loop() {
				benchSpread(b, n)
			}
		})
	}
}

func benchSpread(b *testing.B, n int) {
	first := revision(b, large(b, 10), 3)
	d := newDaemons(n, true, first)
	b.ReportMetric(d.until(b, (*Store).Ready).Seconds(), "restart-s")
	b.ReportMetric(float64(d.lists), "restart-lists")
	b.ReportMetric(float64(d.maxFetches), "restart-fetches-from-one/tick")
	d.storeUp, d.fetches, d.maxFetches = false, 0, 0
	d.stores[0].Apply(revision(b, large(b, 11), 8))
	took := d.until(b, func(s *Store) bool { return s.Snapshot().Version("month-end") == 8 })
	b.ReportMetric(took.Seconds(), "change-s")
	b.ReportMetric(float64(d.fetches)/float64(n), "change-fetches/daemon")
	b.ReportMetric(float64(d.maxFetches), "change-fetches-from-one/tick")
}

// BenchmarkSpreadTick measures the cost of one Tick in a fleet without changes.
func BenchmarkSpreadTick(b *testing.B) {
	d := newDaemons(340, true, revision(b, small("a"), 3))
	d.until(b, (*Store).Ready)
	for i := range d.ids {
		d.syncers[0].DigestReceived(d.now, d.ids[i], d.stores[i].Digest())
	}
	b.ReportAllocs()
	for b.Loop() {
		d.syncers[0].Tick(d.now)
		d.now = d.now.Add(time.Microsecond)
	}
}
