package template

import (
	"bytes"
	"encoding/json"
	"fmt"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/audit"
)

// Change is an operator's request to create, amend or delete a template. Plan
// returns the conditional write to make. If the store answers the write with a
// version, the change is accepted, see WriteSucceeded; after any other answer
// the caller reads the object again and calls Resolve.
type Change struct {
	Name      string
	Expected  uint64    // version that the operator saw; 0 if there was none
	Template  *Template // nil deletes
	Who       string    // from a verified credential
	Why       string
	Operation string // a UUIDv7, unique to this change and the same in all its writes
}

// Outcome is the state of a change.
type Outcome string

// The outcomes.
const (
	// Proceed: the caller must send Result.Write.
	Proceed Outcome = "proceed"
	// Accepted: the change took effect as version Result.Version.
	Accepted Outcome = "accepted"
	// Unchanged: the template is already as requested, nothing was written.
	Unchanged Outcome = "unchanged"
	// Refused: the change took no effect and none of its writes ever will.
	Refused Outcome = "refused"
	// Unknown: the change may have taken effect; the audit trail no longer
	// reaches back far enough to decide.
	Unknown Outcome = "unknown"
)

// Result is the next step of a change, or its outcome.
type Result struct {
	Outcome    Outcome
	Write      Write      // where Proceed
	Version    uint64     // where Accepted or Unchanged
	Superseded bool       // where Accepted: a later change has replaced it
	Current    uint64     // version now in the store
	Diff       []DiffLine // where Refused for the version: from the stored template to the requested one
	Problems   []Problem  // where Refused for the change itself
	Reason     string     // where Refused or Unknown
}

// Write is a conditional write of a template's object.
type Write struct {
	Name      string
	IfVersion uint64 // 0: only if the object doesn't exist
	Value     json.RawMessage
}

// Plan decides on the change, given the record as just read from the store.
func (c Change) Plan(current Record, now time.Time) Result {
	if i := current.Audit.Find(c.Operation); i >= 0 {
		return c.accepted(current, i)
	}
	if problems := c.problems(); len(problems) > 0 {
		return Result{Outcome: Refused, Current: current.Version, Problems: problems, Reason: "the change is faulty"}
	}
	if !c.expects(current) {
		return c.conflict(current)
	}
	if c.matches(current) {
		return Result{Outcome: Unchanged, Version: current.Version, Current: current.Version}
	}
	return c.write(current, now)
}

// Resolve decides on a change whose write had an ambiguous answer or failed its
// condition, given the write that was sent and the record read afterwards.
// With the outcome Proceed the same write must be sent again: the first may
// still be in transit, and as both have the same condition, at most one of them
// takes effect.
func (c Change) Resolve(sent Write, readBack Record) Result {
	if i := readBack.Audit.Find(c.Operation); i >= 0 {
		return c.accepted(readBack, i)
	}
	switch {
	case readBack.Version == sent.IfVersion:
		return Result{Outcome: Proceed, Write: sent, Current: readBack.Version}
	case readBack.Version < sent.IfVersion:
		return c.unknown(readBack, "the store answered with an older version than before")
	case !readBack.Audit.Covers(sent.IfVersion):
		return c.unknown(readBack, "the trail no longer reaches back to the version that was to be replaced")
	default:
		return c.conflict(readBack)
	}
}

// WriteSucceeded returns the result of a change whose write the store answered
// with a version.
func (c Change) WriteSucceeded(version uint64) Result {
	return Result{Outcome: Accepted, Version: version, Current: version}
}

// accepted returns the result of a change that is the i-th entry of the audit
// trail.
func (c Change) accepted(r Record, i int) Result {
	version := r.Audit.VersionAfter(i, r.Version)
	return Result{Outcome: Accepted, Version: version, Superseded: version != r.Version, Current: r.Version}
}

func (c Change) unknown(r Record, reason string) Result {
	return Result{Outcome: Unknown, Current: r.Version, Reason: reason}
}

func (c Change) conflict(r Record) Result {
	reason := fmt.Sprintf("version %d is in the store, %d was expected", r.Version, c.Expected)
	if r.Deleted && r.Version > 0 {
		reason = fmt.Sprintf("the template was deleted by version %d, %d was expected", r.Version, c.Expected)
	}
	return Result{Outcome: Refused, Current: r.Version, Diff: Diff(r.Template, c.Template), Reason: reason}
}

// problems returns the problems of the change itself.
func (c Change) problems() []Problem {
	var out []Problem
	if err := c.entry(Record{}, audit.Amended, nil, time.Time{}).Check(); err != nil {
		out = append(out, Problem{Message: err.Error()})
	}
	if c.Template == nil {
		return out
	}
	if c.Template.Name != c.Name {
		out = append(out, Problem{Path: "name", Message: fmt.Sprintf("is %q, the change is for %q", c.Template.Name, c.Name)})
	}
	return append(out, c.Template.Check()...)
}

// expects reports whether the operator saw this version of the record. A change
// that expects no template may replace a tombstone, so that the versions of the
// name keep growing.
func (c Change) expects(r Record) bool {
	return c.Expected == r.Version || (c.Expected == 0 && r.Deleted)
}

// matches reports whether the record is already as requested.
func (c Change) matches(r Record) bool {
	if c.Template == nil {
		return !r.Exists()
	}
	if !r.Exists() {
		return false
	}
	stored, err := r.Template.JSON()
	if err != nil {
		return false
	}
	requested, err := c.Template.JSON()
	return err == nil && bytes.Equal(stored, requested)
}

// write returns the conditional write of the changed record. The audit entry is
// part of the same value, because a separate write of it could be lost, or
// remain after the change was refused.
func (c Change) write(current Record, now time.Time) Result {
	next := Record{Name: c.Name, Template: c.Template, Deleted: c.Template == nil}
	action, state, err := c.actionAndState(current)
	if err == nil {
		next.Audit = current.Audit.Append(c.entry(current, action, state, now))
		var value json.RawMessage
		value, err = next.Value()
		if err == nil {
			write := Write{Name: c.Name, IfVersion: current.Version, Value: value}
			return Result{Outcome: Proceed, Write: write, Current: current.Version}
		}
	}
	problem := Problem{Message: err.Error()}
	return Result{Outcome: Refused, Current: current.Version, Problems: []Problem{problem}, Reason: "the change can't be stored"}
}

// actionAndState returns the change's audit action and the encoding of the new
// state.
func (c Change) actionAndState(current Record) (audit.Action, []byte, error) {
	if c.Template == nil {
		return audit.Deleted, nil, nil
	}
	state, err := c.Template.JSON()
	if current.Exists() {
		return audit.Amended, state, err
	}
	return audit.Created, state, err
}

func (c Change) entry(current Record, action audit.Action, state []byte, now time.Time) audit.Entry {
	return audit.Entry{
		Who:       c.Who,
		When:      now.UnixMilli(),
		Action:    action,
		From:      current.Version,
		Why:       c.Why,
		Digest:    audit.Digest(state),
		Operation: c.Operation,
	}
}
