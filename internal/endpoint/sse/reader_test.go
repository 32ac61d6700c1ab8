package sse

import (
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"gotest.tools/v3/assert"
)

func readAll(src io.Reader) (events []string, err error) {
	r := NewReader(src)
	for {
		e, err := r.Next()
		if err != nil {
			return events, err
		}
		events = append(events, string(e.ID)+"="+string(e.Data))
	}
}

func TestNext(t *testing.T) {
	long := strings.Repeat("x", 3*bufferSize)
	cases := []struct {
		name, in string
		want     []string
		err      error
	}{
		{"empty", "", nil, io.EOF},
		{"plain", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", []string{"1=a", "2=b"}, io.EOF},
		{"crlf", "id: 1\r\ndata: a\r\n\r\n", []string{"1=a"}, io.EOF},
		{"two data lines", "data: a\ndata: b\n\n", []string{"=a\nb"}, io.EOF},
		{"no space, comment, other fields", ": hi\nevent: x\nretry: 3\ndata:a\n\n", []string{"=a"}, io.EOF},
		{"no data", "id: 1\n\ndata: a\n\n", []string{"1=a"}, io.EOF},
		{"empty data", "data\n\ndata:\n\n", []string{"=", "="}, io.EOF},
		{"cut within a line", "data: a\n\ndata: b", []string{"=a"}, io.ErrUnexpectedEOF},
		{"cut before the blank line", "data: a\n", nil, io.ErrUnexpectedEOF},
		{"longer than the buffer", "data: " + long + "\n\n", []string{"=" + long}, io.EOF},
		{"line too long", "data: " + strings.Repeat("x", MaxEvent) + "\n\n", nil, ErrTooLong},
		{"event too long", strings.Repeat("data: "+long+"\n", 30) + "\n", nil, ErrTooLong},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got, err := readAll(strings.NewReader(c.in))
			assert.DeepEqual(t, got, c.want)
			assert.Equal(t, err, c.err)
		})
	}
}

// FuzzReader checks that the events don't depend on how the bytes arrive, and that
// no input makes the reader panic, hang or use more memory than allowed.
func FuzzReader(f *testing.F) {
	f.Add([]byte("id: 0\ndata: {\"offset\":0,\"text\":\"a\"}\n\n"))
	f.Add([]byte("data: a\r\ndata: b\r\n\r\n: c\n\nid\n"))
	f.Add([]byte("data:" + strings.Repeat("y", bufferSize) + "\n\n"))
	f.Add([]byte("\r\n\n\rdata: \x00\xff\n\n"))
	f.Fuzz(func(t *testing.T, in []byte) {
		whole, err := readAll(strings.NewReader(string(in)))
		bytewise, err2 := readAll(iotest.OneByteReader(strings.NewReader(string(in))))
		assert.DeepEqual(t, whole, bytewise)
		assert.Equal(t, err, err2)
	})
}

// repeatingReader returns the same text over and over.
type repeatingReader struct {
	text string
	at   int
}

func (r *repeatingReader) Read(p []byte) (int, error) {
	n := copy(p, r.text[r.at:])
	r.at = (r.at + n) % len(r.text)
	return n, nil
}

func BenchmarkNext(b *testing.B) {
	r := NewReader(&repeatingReader{text: "id: 1234\ndata: {\"offset\":1234,\"text\":\" bearing\"}\n\n"})
	b.ReportAllocs()
	for b.Loop() {
		if _, err := r.Next(); err != nil {
			b.Fatal(err)
		}
	}
}
