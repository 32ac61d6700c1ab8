package verdict

import (
	"fmt"
	"io"
	"testing"

	"gotest.tools/v3/assert"
)

func TestOfIsCautiousWithoutProof(t *testing.T) {
	assert.Equal(t, Of(io.EOF), MayHaveRun)
	wrapped := fmt.Errorf("dispatch: %w", Wrap(NotRun, io.EOF))
	assert.Equal(t, Of(wrapped), NotRun)
	assert.ErrorIs(t, wrapped, io.EOF)
	assert.NilError(t, Wrap(NotRun, nil))
}

func TestTextRoundTrip(t *testing.T) {
	for _, v := range []Verdict{MayHaveRun, NotRun, Ran} {
		text, err := v.MarshalText()
		assert.NilError(t, err)
		var got Verdict
		assert.NilError(t, got.UnmarshalText(text))
		assert.Equal(t, got, v)
	}
	var v Verdict
	assert.ErrorContains(t, v.UnmarshalText([]byte("maybe")), "unknown verdict")
}
