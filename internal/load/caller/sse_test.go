package caller

import (
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"gotest.tools/v3/assert"
)

// seen is one decoded event with its fields as strings.
type seen struct{ id, name, data string }

func decodeAll(t *testing.T, r io.Reader) ([]seen, error) {
	t.Helper()
	d := newDecoder(r)
	var all []seen
	for {
		ev, err := d.next()
		if err != nil {
			return all, err
		}
		all = append(all, seen{string(ev.id), string(ev.name), string(ev.data)})
	}
}

func TestDecoderAcceptsWhatTheStandardAllows(t *testing.T) {
	long := strings.Repeat("x", 3*readBuffer)
	text := ": comment\r\n\r\n" +
		"id: 1\r\nevent: accepted\r\ndata: {}\r\n\r\n" +
		"data:a\ndata: b\nretry: 9\nid\n\n" +
		"event: without-data\n\n" +
		"id: 3\ndata: " + long + "\n\n" +
		"data\n\n"
	want := []seen{{"1", "accepted", "{}"}, {"", "", "a\nb"}, {"3", "", long}, {"", "", ""}}
	for _, r := range []io.Reader{strings.NewReader(text), iotest.OneByteReader(strings.NewReader(text))} {
		got, err := decodeAll(t, r)
		assert.ErrorIs(t, err, io.EOF)
		assert.DeepEqual(t, got, want, cmpSeen)
	}
}

// Guards against a partial token when the connection fails within an event. What
// arrived looks like a whole event except for the empty line. If it counted, the
// answer would hold a part of the token and the resume would skip the rest.
func TestDecoderDropsATruncatedEvent(t *testing.T) {
	for _, tail := range []string{"id: 2\ndata: par", "id: 2\ndata: part\n", "id: 2\n"} {
		got, err := decodeAll(t, strings.NewReader("id: 1\ndata: whole\n\n"+tail))
		assert.ErrorIs(t, err, io.EOF)
		assert.DeepEqual(t, got, []seen{{"1", "", "whole"}}, cmpSeen)
	}
}

func TestDecoderBoundsAnEvent(t *testing.T) {
	_, err := decodeAll(t, io.MultiReader(strings.NewReader("data: "), endlessLine{}))
	assert.ErrorContains(t, err, "above")
}

// endlessLine is a reader of a line without an end.
type endlessLine struct{}

func (endlessLine) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = 'x'
	}
	return len(p), nil
}
