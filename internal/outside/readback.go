package outside

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/objectapi"
	"github.com/cyclamenbeam/cyclamenbeam/internal/outside/budget"
	"github.com/cyclamenbeam/cyclamenbeam/internal/pause"
	"github.com/cyclamenbeam/cyclamenbeam/internal/verdict"
)

// WriteState is the outcome of a write.
type WriteState uint8

// The states of a write.
const (
	// WriteUnknown: it may have taken effect, and reading back didn't show it.
	WriteUnknown WriteState = iota
	// WriteAccepted: it took effect.
	WriteAccepted
	// WriteRefused: the condition didn't hold, and the object shows no effect of it.
	WriteRefused
	// WriteNotSent: it certainly had no effect, for another reason than its
	// condition.
	WriteNotSent
)

// String returns the state's name in logs.
func (s WriteState) String() string {
	switch s {
	case WriteAccepted:
		return "accepted"
	case WriteRefused:
		return "refused"
	case WriteNotSent:
		return "not-sent"
	default:
		return "unknown"
	}
}

// WriteResult is a write's state, and the object at that moment: the written
// one when accepted, the current one when refused.
type WriteResult struct {
	State  WriteState
	Object objectapi.Object
	Err    error // of WriteUnknown and WriteNotSent
}

const (
	// maxRounds bounds the attempts to read a write back, to some eight seconds where the
	// context sets no deadline.
	maxRounds = 10
	// firstRound and longestRound bound the waits between them.
	firstRound   = 50 * time.Millisecond
	longestRound = 2 * time.Second
)

// CreateOrReadBack creates an object, and reads it back when the answer is lost. mine reports
// whether an object is of this write, by something in the value that no other write has.
func (o Objects) CreateOrReadBack(ctx context.Context, kind, name string, value json.RawMessage, mine func(objectapi.Object) bool) WriteResult {
	w := readBack{objects: o, kind: kind, name: name, mine: mine}
	w.send = func(ctx context.Context) (objectapi.Object, error) {
		return o.Create(ctx, kind, name, value)
	}
	return w.run(ctx)
}

// UpdateOrReadBack updates an object, and reads it back when the answer is lost. mine must
// recognise the write in later versions of the object too, by a history in the value; otherwise
// a write that took effect and was then overwritten counts as refused.
func (o Objects) UpdateOrReadBack(ctx context.Context, kind, name string, value json.RawMessage, ifVersion uint64, mine func(objectapi.Object) bool) WriteResult {
	w := readBack{objects: o, kind: kind, name: name, ifVersion: ifVersion, mine: mine}
	w.send = func(ctx context.Context) (objectapi.Object, error) {
		return o.Update(ctx, kind, name, value, ifVersion)
	}
	return w.run(ctx)
}

// readBack resolves one conditional write.
//
// The answer of a write may be lost although it took effect, or the write may be in flight when
// the object is read back, and take effect later. An accepted change would be reported as
// refused, or the reverse. Reading back decides once the version has passed that of the
// condition, since versions never decrease. Until then the same conditional write is sent
// again: whichever copy arrives first takes effect, and the other one fails its condition.
type readBack struct {
	objects   Objects
	kind      string
	name      string
	ifVersion uint64 // 0 for a create
	mine      func(objectapi.Object) bool
	send      func(context.Context) (objectapi.Object, error)
}

func (w readBack) run(ctx context.Context) WriteResult {
	result, open := w.attempt(ctx, false)
	backoff := budget.Backoff{First: firstRound, Longest: longestRound}
	for round := 1; open && round < maxRounds; round++ {
		if !pause.For(ctx, w.objects.caller.gate.nextWait(&backoff)) {
			return result
		}
		current, state := w.look(ctx)
		switch state {
		case lookMoved:
			return w.judge(current)
		case lookUnmoved:
			result, open = w.attempt(ctx, true)
		}
	}
	return result
}

// attempt sends the write once, and reports whether its state is still open.
// After an earlier ambiguous attempt no failure proves that nothing happened.
func (w readBack) attempt(ctx context.Context, sentBefore bool) (WriteResult, bool) {
	object, err := w.send(ctx)
	var conflict *Conflict
	switch {
	case err == nil:
		return WriteResult{State: WriteAccepted, Object: object}, false
	case errors.As(err, &conflict):
		return w.judge(conflict.Current), false
	case NoEffect(err) && !sentBefore:
		return WriteResult{State: WriteNotSent, Err: err}, false
	case NoEffect(err):
		err = ambiguous(err)
	}
	return WriteResult{State: WriteUnknown, Err: verdict.Wrap(verdict.MayHaveRun, err)}, true
}

// lookState is the result of reading back.
type lookState uint8

const (
	lookFailed  lookState = iota
	lookUnmoved           // the condition still holds
	lookMoved             // the condition will never hold again
)

// look reads the object back.
func (w readBack) look(ctx context.Context) (objectapi.Object, lookState) {
	current, err := w.objects.Get(ctx, w.kind, w.name)
	var notFound *NotFound
	switch {
	case errors.As(err, &notFound):
		current = objectapi.Object{Kind: w.kind, Name: w.name}
	case err != nil:
		return current, lookFailed
	}
	if current.Version == w.ifVersion {
		return current, lookUnmoved
	}
	return current, lookMoved
}

// judge compares the stored object with this write.
func (w readBack) judge(current objectapi.Object) WriteResult {
	if current.Version != 0 && w.mine(current) {
		return WriteResult{State: WriteAccepted, Object: current}
	}
	return WriteResult{State: WriteRefused, Object: current}
}
