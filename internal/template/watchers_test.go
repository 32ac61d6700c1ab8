package template

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestSixDaemonsWatch(t *testing.T) {
	d := newDaemons(340, false)
	watching := 0
	for _, id := range d.ids {
		if Watches(id, d.ids) {
			watching++
		}
	}
	assert.Equal(t, watching, Watchers)
	assert.Assert(t, Watches("alone", nil))
}
