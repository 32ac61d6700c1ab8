package node

import (
	"io"
	"testing"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"
)

// A daemon stops to hear from the hubs and turns to the store. It must not miss
// a version that a hub had and it hadn't, and needn't list what it has.
func TestWatchGoesOnFromWhereTheHubsKnewNothingNewer(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	n := New(&Settings{}, Platform{Store: newMemoryStore(), DecodeTable: decodeTable}, log)
	c := n.config
	c.heard(0, 40)
	assert.Equal(t, c.upTo(), uint64(0)) // it has none: all is listed
	assert.NilError(t, c.apply([]byte("2"), "peer"))
	c.heard(2, 50)
	assert.Equal(t, c.upTo(), uint64(50))
	c.heard(3, 60) // not yet fetched
	assert.Equal(t, c.upTo(), uint64(50))
	assert.NilError(t, c.apply([]byte("3"), "peer"))
	c.heard(3, 60)
	c.heard(3, 55) // a hub that is behind
	assert.Equal(t, c.upTo(), uint64(60))
}
