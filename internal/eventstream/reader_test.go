package eventstream

import (
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"gotest.tools/v3/assert"
)

// maxTestEvent bounds the events of these tests, bytes.
const maxTestEvent = 256 << 10

func readAll(src io.Reader, n Numbering) (events []string, err error) {
	r := NewReader(src, n, maxTestEvent)
	for {
		e, err := r.Next()
		if err != nil {
			return events, err
		}
		text := string(e.ID) + "=" + string(e.Data)
		if len(e.Name) > 0 {
			text = string(e.Name) + ":" + text
		}
		events = append(events, text)
	}
}

func kindOf(err error) Kind {
	var f *Fault
	if errors.As(err, &f) {
		return f.Kind
	}
	return ""
}

func TestNext(t *testing.T) {
	long := strings.Repeat("x", 3*bufferSize)
	cases := []struct {
		name, in string
		want     []string
		err      error
		kind     Kind
	}{
		{"empty", "", nil, io.EOF, ""},
		{"plain", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", []string{"1=a", "2=b"}, io.EOF, ""},
		{"crlf", "id: 1\r\ndata: a\r\n\r\n", []string{"1=a"}, io.EOF, ""},
		{"two data lines", "data: a\ndata: b\n\n", []string{"=a\nb"}, io.EOF, ""},
		{"no space, comment, other fields", ": hi\nevent: x\nretry: 3\ndata:a\n\n", []string{"x:=a"}, io.EOF, ""},
		{"no data", "id: 1\n\ndata: a\n\n", []string{"1=a"}, io.EOF, ""},
		{"name without data", "event: x\n\ndata: a\n\n", []string{"=a"}, io.EOF, ""},
		{"empty data", "data\n\ndata:\n\n", []string{"=", "="}, io.EOF, ""},
		{"comment last", "data: a\n\n: c\n\n", []string{"=a"}, io.EOF, ""},
		{"cut within a line", "data: a\n\ndata: b", []string{"=a"}, io.ErrUnexpectedEOF, ""},
		{"cut before the blank line", "data: a\n", nil, io.ErrUnexpectedEOF, ""},
		{"longer than the buffer", "data: " + long + "\n\n", []string{"=" + long}, io.EOF, ""},
		{"line too long", "data: " + strings.Repeat("x", maxTestEvent) + "\n\n", nil, nil, TooLong},
		{"event too long", strings.Repeat("data: "+long+"\n", 30) + "\n", nil, nil, TooLong},
		{"comments without an event", strings.Repeat(": c\n\n", maxTestEvent/4), nil, nil, TooLong},
		{"noise", "data: a\n\nnoise\n\ndata: b\n\n", []string{"=a"}, nil, NotAField},
		{"two ids", "id: 1\nid: 1\ndata: a\n\n", nil, nil, SeveralIDs},
		{"unreadable id", "id: 1\ndata: a\n\nid: x\ndata: b\n\n", []string{"1=a"}, nil, UnreadableID},
	}
	for _, c := range cases {
		for _, n := range []Numbering{ConsecutiveOptional, Unordered} {
			t.Run(fmt.Sprint(c.name, n), func(t *testing.T) {
				got, err := readAll(strings.NewReader(c.in), n)
				assert.DeepEqual(t, got, c.want)
				assert.Equal(t, kindOf(err), c.kind, "%v", err)
				assert.Assert(t, c.kind != "" || err == c.err, "%v", err)
			})
		}
	}
}

func TestReadersAcceptWhatTheStandardAllows(t *testing.T) {
	long := strings.Repeat("x", 3*bufferSize)
	text := ": comment\r\n\r\n" +
		"id: 1\r\nevent: accepted\r\ndata: {}\r\n\r\n" +
		"data:a\ndata: b\nretry: 9\nid\n\n" +
		"event: without-data\n\n" +
		"id: 3\ndata: " + long + "\n\n" +
		"data\n\n"
	want := []string{"accepted:1={}", "=a\nb", "3=" + long, "="}
	for _, r := range []io.Reader{strings.NewReader(text), iotest.OneByteReader(strings.NewReader(text))} {
		got, err := readAll(r, Unordered)
		assert.ErrorIs(t, err, io.EOF)
		assert.DeepEqual(t, got, want)
	}
}

// Guards against a partial token when the connection fails within an event. What
// arrived looks like a whole event except for the empty line. If it counted, the
// answer would hold a part of the token and the resume would skip the rest.
func TestReadersDropATruncatedEvent(t *testing.T) {
	for _, tail := range []string{"id: 2\ndata: par", "id: 2\ndata: part\n", "id: 2\n", "id: 2\r"} {
		for _, n := range []Numbering{ConsecutiveOptional, Unordered} {
			got, err := readAll(strings.NewReader("id: 1\ndata: whole\n\n"+tail), n)
			assert.Equal(t, err, io.ErrUnexpectedEOF)
			assert.DeepEqual(t, got, []string{"1=whole"})
		}
	}
}

func TestReadersBoundAnEvent(t *testing.T) {
	for _, start := range []string{"data: ", "x", "id: 1\n"} {
		_, err := readAll(io.MultiReader(strings.NewReader(start), endlessLine{}), Unordered)
		assert.Equal(t, kindOf(err), TooLong)
	}
}

// endlessLine is a reader of a line without an end.
type endlessLine struct{}

func (endlessLine) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = 'x'
	}
	return len(p), nil
}

// Guards against events out of order in streams whose events may lack their ids.
func TestOptionalIDsAreConsecutive(t *testing.T) {
	for _, c := range []struct {
		stream string
		valid  int
		kind   Kind
	}{
		{"id: 0\ndata: a\n\nid: 1\ndata: a\n\n", 2, ""},
		{"id: 7\ndata: a\n\ndata: a\n\nid: 9\ndata: a\n\n", 3, ""},
		{"data: a\n\nid: 9\ndata: a\n\n", 2, ""},
		{"id: 7\ndata: a\n\ndata: a\n\nid: 8\ndata: a\n\n", 2, RepeatedID},
		{"id: 7\ndata: a\n\nid: 7\ndata: a\n\n", 1, RepeatedID},
		{"id: 7\ndata: a\n\nid: 0\ndata: a\n\n", 1, EarlierID},
		{"id: 7\ndata: a\n\nid: 9\ndata: a\n\n", 1, SkippedID},
		{"id: 7\ndata: a\n\nid: \ndata: a\n\n", 1, MissingID},
		{"id: 7\ndata: a\n\nid\ndata: a\n\n", 1, MissingID},
	} {
		events, err := readAll(strings.NewReader(c.stream), ConsecutiveOptional)
		assert.Equal(t, len(events), c.valid, c.stream)
		assert.Equal(t, kindOf(err), c.kind, c.stream)
	}
}

// Guards against events that are given out after a fault, and state that a reset leaves.
func TestFaultIsFinalUntilReset(t *testing.T) {
	r := NewReader(strings.NewReader("id: 3\ndata: a\n\nid: 5\nnoise\n\nid: 4\ndata: b\n\n"), ConsecutiveOptional, 100)
	_, err := r.Next()
	assert.NilError(t, err)
	_, fault := r.Next()
	assert.Equal(t, kindOf(fault), SkippedID)
	_, again := r.Next()
	assert.Equal(t, again, fault)
	r.Reset(strings.NewReader("id: 1\ndata: c\n\n"))
	e, err := r.Next()
	assert.NilError(t, err)
	assert.Equal(t, string(e.ID)+string(e.Data), "1c")
	_, err = r.Next()
	assert.Equal(t, err, io.EOF)
}

// FuzzReader checks that the events don't depend on how the bytes arrive, that a parser gives out the same
// events, and that no input makes the reader panic, hang or use more memory than allowed.
func FuzzReader(f *testing.F) {
	f.Add([]byte("id: 0\ndata: {\"offset\":0,\"text\":\"a\"}\n\n"))
	f.Add([]byte("data: a\r\ndata: b\r\n\r\n: c\n\nid\n"))
	f.Add([]byte("data:" + strings.Repeat("y", bufferSize) + "\n\n"))
	f.Add([]byte("\r\n\n\rdata: \x00\xff\n\n"))
	f.Add([]byte("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 2\ndata: c\n\n"))
	f.Fuzz(func(t *testing.T, in []byte) {
		for _, n := range []Numbering{Consecutive, ConsecutiveOptional, Unordered} {
			whole, err := readAll(strings.NewReader(string(in)), n)
			bytewise, err2 := readAll(iotest.OneByteReader(strings.NewReader(string(in))), n)
			assert.DeepEqual(t, whole, bytewise)
			assert.Equal(t, fmt.Sprint(err), fmt.Sprint(err2))
			if n == Consecutive && len(in) <= maxTestEvent {
				assertParserAgrees(t, in, whole, err)
			}
		}
	})
}

// assertParserAgrees checks that a parser gives out what a reader reads, and ends for the same reason.
func assertParserAgrees(t *testing.T, in []byte, events []string, err error) {
	p := New("x", maxTestEvent)
	out, f := read(p, string(in), 100)
	fromOut, _ := readAll(strings.NewReader(out), Consecutive)
	assert.DeepEqual(t, fromOut, events)
	switch {
	case f != nil:
		assert.Equal(t, kindOf(err), f.Kind)
	case p.Partial():
		assert.Equal(t, err, io.ErrUnexpectedEOF)
	default:
		assert.Equal(t, err, io.EOF)
	}
}

// Guards against a fast check of plain ASCII that differs from the check of each byte.
func TestTextWithAnyByteAnywhere(t *testing.T) {
	for c := range 256 {
		for at := range 20 {
			line := []byte(strings.Repeat("a", 20))
			line[at] = byte(c)
			text := c == '\t' || c >= ' ' && c < 0x80
			assert.Equal(t, isText(line), text, "%q", line)
		}
	}
	assert.Assert(t, isText([]byte("aaaaaaaü\u2028 ~ü")))
}

func BenchmarkNext(b *testing.B) {
	var text strings.Builder
	for n := range 1000 {
		fmt.Fprintf(&text, "id: %d\ndata: {\"offset\":1234,\"text\":\" bearing\"}\n\n", 1000+n)
	}
	src := strings.NewReader(text.String())
	r := NewReader(src, ConsecutiveOptional, maxTestEvent)
	b.ReportAllocs()
	for b.Loop() {
		_, err := r.Next()
		if err == io.EOF {
			src.Reset(text.String())
			r.Reset(src)
		} else if err != nil {
			b.Fatal(err)
		}
	}
}
