package daemon

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/ledger"
	"github.com/cyclamenbeam/cyclamenbeam/internal/outside"
	"github.com/cyclamenbeam/cyclamenbeam/internal/outside/budget"
	"github.com/cyclamenbeam/cyclamenbeam/internal/outside/outsidetest"
	"github.com/cyclamenbeam/cyclamenbeam/internal/request"
	"github.com/cyclamenbeam/cyclamenbeam/internal/standin/objectstore"
)

// testLedger is a daemon's ledger duty with a store behind a handler. It writes
// all shards itself.
func testLedger(t *testing.T, self fleet.DaemonID, store http.Handler) *ledgerDuty {
	t.Helper()
	clients, err := outside.New(outside.Options{
		Objects:   "http://objects.test",
		Budget:    budget.Config{FleetSize: 1, Fleet: budget.Rates{1e6, 1e6, 1e6, 1e6, 1e6}},
		Transport: outsidetest.Serve(t, store).Transport(t),
	})
	assert.NilError(t, err)
	log := logrus.New()
	log.SetOutput(io.Discard)
	d := newLedgerDuty(clients.Objects, log.WithField("part", "ledger"))
	d.self = self
	d.writer = func(int) (peerInfo, bool) { return peerInfo{}, false }
	d.daemon = func(fleet.DaemonID) (peerInfo, bool) { return peerInfo{}, false }
	d.settleAt = func(context.Context, peerInfo, int, ledger.Intent, *ledger.Outcome) error {
		return errors.New("not reached")
	}
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(func() {
		cancel()
		<-d.done
		clients.Close()
	})
	d.start(ctx)
	return d
}

// answersLate holds each of the store's answers back, after its effect.
func answersLate(store http.Handler, delay time.Duration) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		answer := httptest.NewRecorder()
		store.ServeHTTP(answer, r)
		time.Sleep(delay)
		w.WriteHeader(answer.Code)
		_, _ = w.Write(answer.Body.Bytes())
	})
}

// testRef returns a request whose key was made now. The package that makes
// UUIDs never goes back in time, as a test's own clock does.
func testRef() request.Ref {
	id := uuid.Must(uuid.NewV7())
	millis := time.Now().UnixMilli()
	for i := range 6 {
		id[i] = byte(millis >> (8 * (5 - i)))
	}
	return request.Ref{Workspace: "w", ID: fleet.RequestID(id.String())}
}

var testDigest = request.Digest{1, 2, 3}

// Guards against a slow writer that frees the key of an order which another daemon has run.
func TestLateWriterDoesNotFreeWhatRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := objectstore.New(objectstore.Options{}).Handler()
		writer := testLedger(t, "writer", answersLate(store, intentTimeout*6/10))
		asker := testLedger(t, "asker", store)
		asker.writer = func(int) (peerInfo, bool) { return peerInfo{Daemon: "writer"}, true }
		asker.forward = func(_ context.Context, _ peerInfo, shard int, in ledger.Intent) (ledger.Action, error) {
			go writer.record(writer.ctx, shard, in)
			return nil, errors.New("connection cut")
		}
		ref := testRef()
		first := asker.Intend(t.Context(), ref, "asker/1", testDigest)
		assert.Assert(t, first.Granted, "%+v", first)
		time.Sleep(10 * intentTimeout)
		second := writer.Intend(t.Context(), ref, "writer/1", testDigest)
		assert.Assert(t, second.Existing != nil, "a second run was granted: %+v", second)
		time.Sleep(10 * intentTimeout) // calls that are still under way end
	})
}

// A daemon writes an order's wish for another, which dispatches it and stores
// the outcome. A repeat that asks the writer must get the outcome all the same,
// and must not be taken for another order under the key.
func TestRepeatGetsTheOutcomeFromWhoDispatched(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := objectstore.New(objectstore.Options{}).Handler()
		writer := testLedger(t, "writer", store)
		holder := testLedger(t, "holder", store)
		holder.writer = func(int) (peerInfo, bool) { return peerInfo{Daemon: "writer"}, true }
		holder.forward = func(ctx context.Context, _ peerInfo, shard int, in ledger.Intent) (ledger.Action, error) {
			return writer.record(ctx, shard, in), nil
		}
		writer.daemon = func(id fleet.DaemonID) (peerInfo, bool) { return peerInfo{Daemon: id}, id == "holder" }
		writer.forward = func(ctx context.Context, _ peerInfo, shard int, in ledger.Intent) (ledger.Action, error) {
			return holder.record(ctx, shard, in), nil
		}
		ref := testRef()
		first := holder.Intend(t.Context(), ref, "holder/1", testDigest)
		assert.Assert(t, first.Granted, "%+v", first)
		holder.Settle(ref, first.Owner, testDigest, ledger.Outcome{Status: http.StatusOK})
		time.Sleep(time.Second)
		for _, d := range []*ledgerDuty{writer, holder} {
			repeat := d.Intend(t.Context(), ref, string(d.self)+"/2", testDigest)
			assert.Assert(t, repeat.Existing != nil, "%s: %+v", d.self, repeat)
			assert.Assert(t, repeat.Existing.Outcome != nil, "%s does not know the outcome", d.self)
		}
		other := writer.Intend(t.Context(), ref, "writer/3", request.Digest{9})
		assert.Assert(t, other.Refused != nil, "%+v", other)
	})
}

// A shard's writer is stopped: it neither answers nor refuses. An order must be
// recorded without it while its caller still waits.
func TestStoppedWriterIsNotWaitedFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		asker := testLedger(t, "asker", objectstore.New(objectstore.Options{}).Handler())
		asker.writer = func(int) (peerInfo, bool) { return peerInfo{Daemon: "stopped"}, true }
		asker.forward = func(ctx context.Context, _ peerInfo, _ int, _ ledger.Intent) (ledger.Action, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		in := asker.Intend(t.Context(), testRef(), "asker/1", testDigest)
		assert.Assert(t, in.Granted, "%+v", in)
	})
}

// A shard's writer is stopped, and the daemon that asked goes on with the next
// in rank, so that the wishes of a whole fleet still go together. The writer
// then wakes up, refuses the wish that it had as late and frees its key; the
// next order under the key must not run as well.
func TestStandbyRecordsForAStoppedWriter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := objectstore.New(objectstore.Options{})
		writer := testLedger(t, "writer", answersLate(store.Handler(), intentTimeout*6/10))
		standby := testLedger(t, "standby", store.Handler())
		asker := testLedger(t, "asker", answersLate(store.Handler(), 2*intentTimeout))
		asker.writer = func(int) (peerInfo, bool) { return peerInfo{Daemon: "writer"}, true }
		asker.standby = func(int) (peerInfo, bool) { return peerInfo{Daemon: "standby"}, true }
		asker.forward = func(ctx context.Context, p peerInfo, shard int, in ledger.Intent) (ledger.Action, error) {
			if p.Daemon == "standby" {
				return standby.record(ctx, shard, in), nil
			}
			go writer.record(writer.ctx, shard, in)
			<-ctx.Done()
			return nil, ctx.Err()
		}
		ref := testRef()
		first := asker.Intend(t.Context(), ref, "asker/1", testDigest)
		assert.Assert(t, first.Granted, "%+v", first)
		time.Sleep(10 * intentTimeout)
		second := writer.Intend(t.Context(), ref, "writer/1", testDigest)
		assert.Assert(t, second.Existing != nil, "a second run was granted: %+v", second)
		time.Sleep(10 * intentTimeout) // calls that are still under way end
	})
}

// Guards against a second order under a key that is granted after writer and standby didn't answer.
func TestOrderRunsOnceWhereWriterAndStandbyStop(t *testing.T) {
	for _, tenths := range []time.Duration{0, 1, 3, 6} {
		synctest.Test(t, func(t *testing.T) { stopWriterAndStandby(t, tenths, "writer", "standby") })
		synctest.Test(t, func(t *testing.T) { stopWriterAndStandby(t, tenths, "standby") })
	}
}

func stopWriterAndStandby(t *testing.T, tenths time.Duration, takers ...fleet.DaemonID) {
	store := objectstore.New(objectstore.Options{}).Handler()
	asker := testLedger(t, "asker", store)
	asker.writer = func(int) (peerInfo, bool) { return peerInfo{Daemon: "writer"}, true }
	asker.standby = func(int) (peerInfo, bool) { return peerInfo{Daemon: "standby"}, true }
	late := make(map[fleet.DaemonID]*ledgerDuty)
	for _, id := range takers {
		late[id] = testLedger(t, id, answersLate(store, intentTimeout*tenths/10))
	}
	asker.forward = func(ctx context.Context, p peerInfo, shard int, in ledger.Intent) (ledger.Action, error) {
		if d, ok := late[p.Daemon]; ok {
			go d.record(d.ctx, shard, in)
		}
		<-ctx.Done()
		return nil, ctx.Err()
	}
	ref := testRef()
	granted := asker.Intend(t.Context(), ref, "asker/1", testDigest).Granted
	for _, d := range []*ledgerDuty{late["standby"], asker} {
		time.Sleep(10 * intentTimeout)
		again := d.Intend(t.Context(), ref, string(d.self)+"/2", testDigest).Granted
		assert.Assert(t, !granted || !again, "%s: a second run was granted", d.self)
		granted = granted || again
	}
	assert.Assert(t, granted, "the key can't be used though nothing ran")
	time.Sleep(10 * intentTimeout)
}
