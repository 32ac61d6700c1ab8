package spread

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// routeText returns a text like a configuration: n lines of some 200 bytes. A smaller
// n gives the first lines of the same text.
func routeText(n int) []byte {
	random := rand.New(rand.NewPCG(1, 2))
	var text bytes.Buffer
	for range n {
		fmt.Fprintf(&text, `{"name":"r-%07x","host":"h%06x.example","prefix":"/p%08x/","kind":"idempotent","service":"services",`+
			`"attempts":2,"timeout":1500,"target":120,"priority":3,"public":false,"affinity":false},`,
			random.Uint32()>>4, random.Uint32()>>8, random.Uint32())
	}
	return text.Bytes()
}

// randomText returns a text that can't be compressed.
func randomText(n int) []byte {
	random := rand.New(rand.NewPCG(3, 4))
	text := make([]byte, n)
	for i := range text {
		text[i] = byte(random.Uint32())
	}
	return text
}

// applyPatch applies a complete patch to a text.
func applyPatch(have Text, done Piece) (Text, error) {
	base := have.Bytes
	if done.Base == 0 {
		base = nil
	}
	text, err := Apply(base, done.Data)
	return Text{done.Version, text}, err
}

// transfer fetches from sources until no newer version is known. It returns the text
// and the number of bytes sent.
func transfer(t *testing.T, f *Fetcher, from map[string]*Source, have Text) (Text, int) {
	t.Helper()
	sent := 0
	for range 1000 {
		f.Applied(have.Version)
		address, want, ok := f.Next()
		if !ok {
			return have, sent
		}
		p, err := from[address].Answer(want)
		assert.NilError(t, err)
		sent += len(p.Data)
		done, complete := f.Received(address, p)
		if !complete {
			continue
		}
		got, err := applyPatch(have, done)
		if err != nil {
			f.Unusable(done.Version)
			continue
		}
		have = got
	}
	t.Fatal("the transfer did not finish within 1000 calls")
	return have, sent
}

// A configuration of 4,250 routes changes by one route. Sent whole, it would occupy a
// link of 10 Mbit/s for 0.7 s at each of hundreds of daemons.
func TestOnlyTheDifferenceIsSent(t *testing.T) {
	s := &Source{}
	s.Add(Text{4, routeText(4250)})
	s.Add(Text{7, routeText(4251)})
	f := NewFetcher()
	f.Offered("a", 7)
	got, sent := transfer(t, f, map[string]*Source{"a": s}, Text{4, routeText(4250)})
	assert.Assert(t, bytes.Equal(got.Bytes, routeText(4251)))
	assert.Assert(t, sent < 1000, "%d bytes", sent)

	f = NewFetcher() // a daemon that has just started
	f.Offered("a", 7)
	got, sent = transfer(t, f, map[string]*Source{"a": s}, Text{})
	assert.Assert(t, bytes.Equal(got.Bytes, routeText(4251)))
	assert.Assert(t, sent < len(got.Bytes)/4, "%d bytes of %d", sent, len(got.Bytes))
}

// A source dies in the middle of a large text. The fetch must continue at the other
// source: if it started over each time, it might never finish.
func TestFetchResumesAtAnotherSource(t *testing.T) {
	text := Text{2, randomText(10 * maxPieceBytes)}
	a, b := &Source{}, &Source{}
	a.Add(text)
	b.Add(text)
	f := NewFetcher()
	f.Offered("a", 2)
	f.Offered("b", 2)
	for range 6 {
		address, want, _ := f.Next()
		assert.Equal(t, address, "a")
		p, err := a.Answer(want)
		assert.NilError(t, err)
		f.Received(address, p)
	}
	f.Failed("a")
	got, sent := transfer(t, f, map[string]*Source{"b": b}, Text{})
	assert.Assert(t, bytes.Equal(got.Bytes, text.Bytes))
	assert.Assert(t, sent < 5*maxPieceBytes, "%d bytes", sent)
}

// New versions appear faster than one of them is fetched. A fetch that has begun must
// be finished: otherwise a daemon on a slow link would never get any version.
func TestFrequentVersionsDoNotStarveAFetch(t *testing.T) {
	s := &Source{}
	text := randomText(8 * maxPieceBytes)
	f := NewFetcher()
	have := Text{}
	for v := uint64(1); v <= 40; v++ {
		s.Add(Text{v, append(bytes.Clone(text), byte(v))})
		f.Offered("a", v)
		f.Applied(have.Version)
		address, want, ok := f.Next()
		assert.Assert(t, ok)
		for range 3 { // three pieces between two versions
			p, err := s.Answer(want)
			assert.NilError(t, err)
			if done, complete := f.Received(address, p); complete {
				have, err = applyPatch(have, done)
				assert.NilError(t, err)
			}
			f.Applied(have.Version)
			if address, want, ok = f.Next(); !ok {
				break
			}
		}
	}
	assert.Assert(t, have.Version > 35, "at version %d of 40", have.Version)
}

// Two daemons have different texts of one version, as somebody wrote the same content
// in another order. The patch's checksum detects it, and the whole text is fetched.
func TestPatchOfAnotherTextIsRejected(t *testing.T) {
	s := &Source{}
	s.Add(Text{1, routeText(300)})
	s.Add(Text{2, routeText(301)})
	f := NewFetcher()
	f.Offered("a", 2)
	got, _ := transfer(t, f, map[string]*Source{"a": s}, Text{1, randomText(50000)})
	assert.Assert(t, bytes.Equal(got.Bytes, routeText(301)))
}

// A version can't be applied here, as a newer release wrote it. It must not be fetched
// again for each offer, but the next version must be.
func TestUnusableVersionIsNotFetchedAgain(t *testing.T) {
	f := NewFetcher()
	f.Applied(1)
	f.Offered("a", 2)
	f.Unusable(2)
	_, want, ok := f.Next()
	assert.Assert(t, ok && want.Have == 0) // the whole text, once
	f.Unusable(2)
	f.Offered("a", 2)
	_, _, ok = f.Next()
	assert.Assert(t, !ok)
	f.Offered("a", 3)
	_, want, ok = f.Next()
	assert.Assert(t, ok && want.Have == 1)
}

// Sources start, end and lag behind each other, and calls fail. A daemon that gets
// offers from all sources in the end must have the newest version, and never go back
// to an older one.
func TestAnyOrderOfEventsLeadsToTheNewestVersion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sources := map[string]*Source{"a": {}, "b": {}, "c": {}}
		names := rapid.SampledFrom([]string{"a", "b", "c"})
		f, have, newest := NewFetcher(), Text{}, uint64(0)
		texts := map[uint64][]byte{}
		step := func(fails bool) {
			f.Applied(have.Version)
			address, want, ok := f.Next()
			if !ok {
				return
			}
			p, err := sources[address].Answer(want)
			if err != nil || fails {
				f.Failed(address)
				return
			}
			done, complete := f.Received(address, p)
			if !complete {
				return
			}
			got, err := applyPatch(have, done)
			if err != nil {
				t.Fatal(err)
			}
			if got.Version <= have.Version || !bytes.Equal(got.Bytes, texts[got.Version]) {
				t.Fatalf("version %d after %d, %d bytes", got.Version, have.Version, len(got.Bytes))
			}
			have = got
		}
		t.Repeat(map[string]func(*rapid.T){
			"publish": func(t *rapid.T) {
				newest += uint64(rapid.IntRange(1, 3).Draw(t, "steps"))
				texts[newest] = randomText(rapid.IntRange(0, 3*maxPieceBytes).Draw(t, "bytes"))
				sources[names.Draw(t, "at")].Add(Text{newest, texts[newest]})
			},
			"catch up": func(t *rapid.T) {
				if newest > 0 {
					sources[names.Draw(t, "at")].Add(Text{newest, texts[newest]})
				}
			},
			"restart": func(t *rapid.T) { sources[names.Draw(t, "at")] = &Source{} },
			"hear": func(t *rapid.T) {
				f.Offered(names.Draw(t, "from"), newest) // also if the source has lost it
			},
			"step": func(t *rapid.T) { step(rapid.Bool().Draw(t, "fails")) },
		})
		for name, s := range sources {
			if newest > 0 {
				s.Add(Text{newest, texts[newest]})
				f.Offered(name, newest)
			}
		}
		for range 100 {
			step(false)
		}
		if have.Version != newest {
			t.Fatalf("at version %d of %d", have.Version, newest)
		}
	})
}

// BenchmarkPatch measures what a change by one route costs a hub, and a daemon that
// applies it.
func BenchmarkPatch(b *testing.B) {
	for _, n := range []int{60, 4250} {
		old, text := routeText(n), routeText(n+1)
		b.Run(fmt.Sprint("make-", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				_, _ = makePatch(old, text)
			}
		})
		patch, err := makePatch(old, text)
		assert.NilError(b, err)
		b.Run(fmt.Sprint("apply-", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				_, _ = Apply(old, patch)
			}
			b.ReportMetric(float64(len(patch)), "B/patch")
		})
	}
}
