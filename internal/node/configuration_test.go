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

// Hubs become unreachable and the daemon watches the store instead. It must not miss
// a version that a hub had and it hadn't, and must not list what it already has.
func TestWatchResumesFromTheHubsRevision(t *testing.T) {
	c := newIdleConfiguration()
	c.noteHubRevision(0, 40)
	assert.Equal(t, c.upTo(), uint64(0)) // no version yet: everything is listed
	assert.NilError(t, c.apply([]byte("2"), "peer"))
	c.noteHubRevision(2, 50)
	assert.Equal(t, c.upTo(), uint64(50))
	c.noteHubRevision(3, 60) // not yet fetched
	assert.Equal(t, c.upTo(), uint64(50))
	assert.NilError(t, c.apply([]byte("3"), "peer"))
	c.noteHubRevision(3, 60)
	c.noteHubRevision(3, 55) // from a hub that is behind
	assert.Equal(t, c.upTo(), uint64(60))
}

// A hub of an earlier release has a new version that can't be fetched from it. Its
// reports are fresh, so that the store isn't watched: the daemon must read the store
// itself, or callers are routed by the old version indefinitely.
func TestVersionThatCannotBeFetchedIsReadFromTheStore(t *testing.T) {
	c := newIdleConfiguration()
	start := time.Now()
	assert.NilError(t, c.apply([]byte("2"), "store"))
	c.noteVersion(start, 2, "a")
	assert.Assert(t, !c.lags(start.Add(time.Hour))) // version 2 is in force
	c.noteVersion(start, 3, "a")
	c.noteVersion(start.Add(maxLag), 4, "b") // a newer version doesn't reset the time
	assert.Assert(t, !c.lags(start.Add(maxLag)))
	assert.Assert(t, c.lags(start.Add(maxLag+1)))
	assert.NilError(t, c.apply([]byte("4"), "store"))
	assert.Assert(t, !c.lags(start.Add(time.Hour)))
	c.noteVersion(start.Add(time.Hour), 5, "a") // a version after the lag starts a new time
	assert.Assert(t, !c.lags(start.Add(time.Hour+maxLag)))
}
