package eventstream

import (
	"bytes"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// newParser returns a parser of streams with a field that the standard doesn't name.
func newParser(after string, max int) *Parser {
	p := New(after, max)
	p.AllowFields([]string{"x-data-version"})
	return p
}

// read adds a stream in parts of some bytes and returns what it gives out.
func read(p *Parser, stream string, size int) (out string, f *Fault) {
	for len(stream) > 0 && f == nil {
		n := min(size, len(stream))
		var whole []byte
		whole, f = p.Add([]byte(stream[:n]))
		out += string(whole)
		p.Consume(len(whole))
		stream = stream[n:]
	}
	return out, f
}

func TestEventsAreSplitAtTheirEnds(t *testing.T) {
	p := New("", 0)
	out, f := read(p, "id: 1\nda", 100)
	assert.Assert(t, out == "" && f == nil && p.Partial())
	out, f = read(p, "ta: a\n\nid: 2\ndata: b\n\nid: 3\n", 100)
	assert.Assert(t, f == nil)
	assert.Equal(t, out, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n")
	assert.Equal(t, p.Last(), "2")
	assert.Equal(t, p.Count(), 2)
	assert.Assert(t, p.Partial())
	p.Restart()
	out, f = read(p, "id: 3\ndata: c\n\n", 100)
	assert.Assert(t, f == nil)
	assert.Equal(t, out, "id: 3\ndata: c\n\n")
	assert.Equal(t, p.Last(), "3")
	assert.Assert(t, !p.Partial())
}

// Guards against valid streams that count as invalid.
func TestValidStreamsPass(t *testing.T) {
	for _, c := range []struct{ after, stream string }{
		{"", ""},
		{"", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"},
		{"", "id:1\ndata:a\n\n"},
		{"", "id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n"},
		{"", "x-data-version: 7\nid: 1\ndata: a\n\n"},
		{"", "data: a\nevent: token\nid: 1\n\n"},
		{"", ": comment\n\nid: 1\n: another\ndata: a\n\n: last\n\n"},
		{"", "retry: 100\n\nid: 1\ndata: a\ndata: b\ndata\n\n\n\n"},
		{"", "id: 1\ndata\n\n"},
		{"", "id: 1\ndata: ü\u2028\ta\n\n"},
		{"", "id: 1\ndata: {\"text\":\"\x7f\"}\n\n"},
		{"0", "id: 1\ndata: a\n\n"},
		{"12", "id: 13\ndata: a\n\n"},
		{"x", "id: 7\ndata: a\n\nid: 8\ndata: b\n\n"},
		{"12", ""},
	} {
		for size := 1; size <= len(c.stream); size++ {
			out, f := read(newParser(c.after, 0), c.stream, size)
			assert.Assert(t, f == nil, "%q: %v", c.stream, f)
			assert.Equal(t, out, c.stream)
		}
	}
}

// Guards against bytes that are given out though they can't follow.
func TestFaultsEndAStream(t *testing.T) {
	long := strings.Repeat("x", 200)
	for _, c := range []struct {
		kind          Kind
		after, stream string // the events before the mark are given out
	}{
		{MissingID, "", "id: 1\ndata: a\n\n|id: \ndata: a\n\n"},
		{MissingID, "", "id: 1\ndata: a\n\n|id\ndata: a\n\n"},
		{MissingID, "", "id: 1\ndata: a\n\n|data: a\n\n"},
		{MissingID, "", "|x-data-version: 7\n\n"},
		{MissingID, "x", "|data: a\n\n"},
		{MissingData, "", "id: 1\ndata: a\n\n|id: 2\n\nid: 3\ndata: c\n\n"},
		{MissingData, "", "|id: 1\r\nevent: x\r\n\r\n"},
		{MissingData, "", "|x-data-version: 7\nid: 1\n\n"},
		{MissingData, "x", "|id: 7\n\n"},
		{SeveralIDs, "", "|id: 1\nid: 1\n\n"},
		{UnreadableID, "", "|id: a\n\n"},
		{UnreadableID, "", "|id: -1\n\n"},
		{UnreadableID, "", "|id: +1\n\n"},
		{UnreadableID, "", "|id: 01\n\n"},
		{UnreadableID, "", "|id: 1 \n\n"},
		{UnreadableID, "", "|id: 18446744073709551616\n\n"},
		{RepeatedID, "", "id: 1\ndata: a\n\n|id: 1\n\n"},
		{RepeatedID, "12", "|id: 12\n\n"},
		{EarlierID, "12", "|id: 1\n\n"},
		{SkippedID, "", "|id: 2\n\n"},
		{SkippedID, "", "id: 1\ndata: a\n\n|id: 3\n\n"},
		{NotAField, "", "id: 1\ndata: a\n\n|noise\n\n"},
		{NotAField, "", "|HTTP/1.1 200 OK\r\n\r\nid: 1\n\n"},
		{NotAField, "", "|Content-Type: text/event-stream\n\n"},
		{NotAField, "", "|id: 1\nda ta: x\n\n"},
		{NotAField, "", "|id: 1\nx-other: 1\ndata: a\n\n"},
		{NotAField, "", "|id: 1\nx-data-version\ndata: a\n\n"},
		{NotAField, "", "|id: 1\ndaid: 1\ndata: a\n\n"},
		{NotText, "", "|id: 1\ndata: \x00\n\n"},
		{NotText, "", "|id: 1\ndata: a\rid: 2\n\n"},
		{NotText, "", "|id: 1\ndata: \xff\n\n"},
		{NotText, "", "|: \xff\n\n"},
		{TooLong, "", "id: 1\ndata: a\n\n|id: 2\ndata: " + long},
		{TooLong, "", "id: 1\ndata: a\n\n|id: 2\n" + strings.Repeat("data: a\n", 30)},
	} {
		stream := strings.Replace(c.stream, "|", "", 1)
		valid, _, _ := strings.Cut(c.stream, "|")
		for size := 1; size <= len(stream); size++ {
			p := newParser(c.after, 100)
			out, f := read(p, stream, size)
			assert.Assert(t, f != nil, "%q", stream)
			assert.Equal(t, f.Kind, c.kind, "%q", stream)
			assert.Equal(t, out, valid)
			assert.Equal(t, f.After, p.Last())
			whole, again := p.Add([]byte("id: 2\n\n"))
			assert.Assert(t, len(whole) == 0 && again == f)
		}
	}
}

// However a stream is split into reads, what is given out is the same prefix of it, which ends with a
// whole event and has each id once.
func FuzzParser(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\nid: 2\ndata\n\n"), "", uint8(3))
	f.Add([]byte("x-data-version: 2\nid: 8\ndata: \n\n\n\n"), "7", uint8(1))
	f.Add([]byte("id: 1\r\ndata\r\n\r\n: c\n\nid: 2\nid: 3\n\n"), "", uint8(0))
	f.Add([]byte("id: 9\ndata\n\nid: 10\n\nnoise"), "x", uint8(5))
	f.Fuzz(func(t *testing.T, stream []byte, after string, size uint8) {
		const max = 1000
		p := newParser(after, max)
		out, fault := read(p, string(stream), int(size)+1)
		assert.Assert(t, bytes.HasPrefix(stream, []byte(out)))
		assert.Assert(t, out == "" || strings.HasSuffix(out, "\n"))
		assert.Assert(t, fault != nil || len(out)+p.Len() == len(stream))
		assert.Assert(t, p.Size() <= 4*(max+256))
		if whole := newParser(after, max); len(stream) <= max {
			expected, _ := read(whole, string(stream), len(stream)+1)
			assert.Equal(t, out, expected)
		}
		again, fault := read(newParser(after, 0), out, 1)
		assert.Assert(t, fault == nil && again == out)
	})
}

func BenchmarkParser(b *testing.B) {
	p := New("x", 1<<20)
	event := []byte("id: 1234567\ndata: 22.5b.3.2c651b7f828af0b4.umuxudktlpztykvrggubkxjuuaylajytord\n\n")
	b.ReportAllocs()
	for b.Loop() {
		p.anyStart()
		whole, _ := p.Add(event)
		p.Consume(len(whole))
	}
}
