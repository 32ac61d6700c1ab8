package request

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against an answer with missing, repeated or foreign tokens. Pieces arrive
// out of order, twice, and from an abandoned attempt, because a connection may
// still deliver after it has been replaced. Only the next piece of the newest
// attempt may be appended.
func TestAssemblyAppendsEachTokenOnce(t *testing.T) {
	var a Assembly
	assert.Equal(t, a.Add(1, 0, "a"), Appended)
	assert.Equal(t, a.Add(1, 0, "a"), Duplicate)
	assert.Equal(t, a.Add(1, 2, "c"), Gap)
	a.Begin(2)
	assert.Equal(t, a.Add(1, 1, "x"), Stale)
	assert.Equal(t, a.Add(2, 0, "z"), Diverged)
	assert.Equal(t, a.Add(2, 1, "b"), Appended)
	assert.Equal(t, a.Done(2, 3), Gap)
	assert.Equal(t, a.Done(1, 2), Stale)
	assert.Equal(t, a.Done(2, 1), Diverged)
	assert.Equal(t, a.Done(2, 2), Complete)
	assert.Equal(t, a.Add(2, 2, "c"), Diverged)
	assert.Equal(t, a.Text(), "ab")
	assert.DeepEqual(t, a.Tokens(1), []string{"b"})
	assert.Equal(t, len(a.Tokens(5)), 0)
}

func TestAssemblyBoundsAnswer(t *testing.T) {
	var a Assembly
	big := strings.Repeat("x", MaxAnswerBytes)
	assert.Equal(t, a.Add(1, 0, big), Appended)
	assert.Equal(t, a.Add(1, 1, "y"), Overflow)
}

// Each pair of input bytes is an attempt number and an offset, where 255 is the end
// of the answer. Odd attempts send the correct tokens. Even ones send garbage, but
// are replaced before their pieces arrive, as a Lifecycle does.
func FuzzAssembly(f *testing.F) {
	f.Add([]byte{1, 0, 1, 1, 1, 2})
	f.Add([]byte{1, 0, 3, 5, 2, 1, 3, 1, 1, 1, 3, 255})
	f.Add([]byte{5, 0, 4, 0, 5, 0, 5, 1, 5, 255})
	f.Fuzz(func(t *testing.T, ops []byte) {
		const length = 40
		want := func(i int) string { return fmt.Sprint(i, ".") }
		var a Assembly
		a.Begin(1)
		for ; len(ops) >= 2; ops = ops[2:] {
			attempt, offset := uint32(ops[0]%8), int(ops[1]%(length+1))
			if attempt%2 == 0 {
				a.Begin(attempt + 1)
				before := a.Len()
				assert.Equal(t, a.Add(attempt, offset, "garbage"), Stale)
				assert.Equal(t, a.Len(), before)
				continue
			}
			if ops[1] == 255 {
				done := a.Done(attempt, length)
				assert.Equal(t, done == Complete, a.Len() == length && attempt == a.Attempt())
				continue
			}
			before := a.Len()
			r := a.Add(attempt, offset, want(offset))
			assert.Equal(t, r == Appended, a.Len() == before+1)
		}
		for i, token := range a.From(0) {
			assert.Equal(t, token, want(i))
		}
	})
}

// Adds one token to an answer of 4,096 tokens.
func BenchmarkAssemblyAdd(b *testing.B) {
	b.ReportAllocs()
	var a *Assembly
	offset := 4096
	for b.Loop() {
		if offset == 4096 {
			a, offset = new(Assembly), 0
		}
		a.Add(1, offset, " token")
		offset++
	}
}
