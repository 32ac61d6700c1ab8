package template

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestSixDaemonsWatch(t *testing.T) {
	d := newDaemons(340, false)
	watching := 0
	for _, id := range d.ids {
		if IsWatcher(id, d.ids) {
			watching++
		}
	}
	assert.Equal(t, watching, Watchers)
	assert.Assert(t, IsWatcher("alone", nil))
}
