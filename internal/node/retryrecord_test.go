package node

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/cyclamenbeam/cyclamenbeam/internal/objects"
)

// newRetryNode returns a daemon of one instance that isn't started.
func newRetryNode(store *memoryStore, first bool) *Node {
	s := &Settings{}
	s.Daemon.Instance, s.Daemon.FirstStart = "i", first
	s.Bounds.RetryWindowSeconds, s.Bounds.RetryRatio, s.Bounds.RetrySlack = 10, 0.2, 50
	log := logrus.New()
	log.SetLevel(logrus.ErrorLevel)
	return New(s, Platform{Store: store}, log)
}

// restores reports whether the next daemon of the instance knows what was sent before.
func restores(t *testing.T, store *memoryStore) bool {
	n := newRetryNode(store, false)
	n.restoreRetries(t.Context())
	_, known := n.state.CloseRetries(time.Now())
	return known
}

// Guards against a record that the next daemon doesn't find, or that two daemons use.
func TestRetryRecordIsTakenOnce(t *testing.T) {
	store := newMemoryStore()
	assert.Assert(t, !restores(t, store), "nothing stored yet")
	newRetryNode(store, true).leaveRetryRecord(t.Context())
	assert.Assert(t, restores(t, store))
	assert.Assert(t, !restores(t, store), "taken")
}

// Guards against a record that hides what a later daemon has sent.
func TestRetryRecordThatMayNotBeTheLastIsNotUsed(t *testing.T) {
	for name, spoil := range map[string]func(*memoryStore){
		"store restored from a copy": func(s *memoryStore) { s.restore(s.snapshot()) },
		"store away":                 func(s *memoryStore) { s.setDown(true) },
		"not a record":               func(s *memoryStore) { put(s, `"x"`) },
		"before the machine started": func(s *memoryStore) {
			change(s, func(r *retryRecord) { r.Steady += time.Hour })
		},
		"long ago": func(s *memoryStore) {
			change(s, func(r *retryRecord) { r.Steady, r.At = r.Steady-time.Hour, r.At.Add(-time.Hour) })
		},
		"another window": func(s *memoryStore) {
			change(s, func(r *retryRecord) { r.Window = time.Minute })
		},
	} {
		store := newMemoryStore()
		newRetryNode(store, true).leaveRetryRecord(t.Context())
		spoil(store)
		assert.Assert(t, !restores(t, store), name)
	}
}

func put(s *memoryStore, text string) {
	_, _ = s.put(retryKind, "i", json.RawMessage(text), func(objects.Object, bool) bool { return true })
}

func change(s *memoryStore, f func(r *retryRecord)) {
	var r retryRecord
	_ = json.Unmarshal(s.objects[retryKind]["i"].Spec, &r)
	f(&r)
	text, _ := json.Marshal(r)
	put(s, string(text))
}

// Guards against records of instances that are gone, which would be kept forever.
func TestOldRetryRecordsAreRemoved(t *testing.T) {
	store := newMemoryStore()
	n := newRetryNode(store, true)
	n.leaveRetryRecord(t.Context())
	n.sweepRetryRecords(t.Context())
	assert.Equal(t, len(store.objects[retryKind]), 1, "a new one")
	change(store, func(r *retryRecord) { r.At = r.At.Add(-2 * recordLifetime) })
	n.sweepRetryRecords(t.Context())
	assert.Equal(t, len(store.objects[retryKind]), 0)
}
