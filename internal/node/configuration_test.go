package node

import (
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"
)

// newIdleConfiguration returns the configuration of a daemon that isn't started.
func newIdleConfiguration() *configuration {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return New(&Settings{}, Platform{Store: newMemoryStore(), DecodeTable: decodeTable}, log).config
}

// A daemon stops to hear from the hubs and turns to the store. It must not miss
// a version that a hub had and it hadn't, and needn't list what it has.
func TestWatchResumesFromTheHubsRevision(t *testing.T) {
	c := newIdleConfiguration()
	c.noteHubRevision(0, 40)
	assert.Equal(t, c.upTo(), uint64(0)) // it has none: all is listed
	assert.NilError(t, c.apply([]byte("2"), "peer"))
	c.noteHubRevision(2, 50)
	assert.Equal(t, c.upTo(), uint64(50))
	c.noteHubRevision(3, 60) // not yet fetched
	assert.Equal(t, c.upTo(), uint64(50))
	assert.NilError(t, c.apply([]byte("3"), "peer"))
	c.noteHubRevision(3, 60)
	c.noteHubRevision(3, 55) // a hub that is behind
	assert.Equal(t, c.upTo(), uint64(60))
}

// A hub of an earlier release has a new version and can't be fetched from. Its
// word is fresh all the while, so that the store isn't watched: the daemon must
// look there itself, or callers are routed by the old version for good.
func TestVersionThatCannotBeFetchedIsReadFromTheStore(t *testing.T) {
	c := newIdleConfiguration()
	start := time.Now()
	assert.NilError(t, c.apply([]byte("2"), "store"))
	c.noteVersion(start, 2, "a")
	assert.Assert(t, !c.lags(start.Add(time.Hour))) // it has it
	c.noteVersion(start, 3, "a")
	c.noteVersion(start.Add(maxLag), 4, "b") // newer ones don't put it off
	assert.Assert(t, !c.lags(start.Add(maxLag)))
	assert.Assert(t, c.lags(start.Add(maxLag+1)))
	assert.NilError(t, c.apply([]byte("4"), "store"))
	assert.Assert(t, !c.lags(start.Add(time.Hour)))
	c.noteVersion(start.Add(time.Hour), 5, "a") // a new one has its own time
	assert.Assert(t, !c.lags(start.Add(time.Hour+maxLag)))
}
