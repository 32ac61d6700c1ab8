package daemon

import (
	"errors"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cyclamenbeam/cyclamenbeam/internal/operator"
	"github.com/cyclamenbeam/cyclamenbeam/internal/template"
)

// The store is away and operators ask again about their changes. Those that
// may have been written must not be called refused; those of which nothing was
// written must be; and the memory of them must not grow for ever.
func TestChangesAskedAgainWithoutTheStore(t *testing.T) {
	p := newPastChanges()
	away := errors.New("away")
	for operation, r := range map[string]operator.ChangeResult{
		"accepted": {Outcome: template.Accepted, Version: 7},
		"unknown":  {Outcome: template.Unknown},
	} {
		assert.DeepEqual(t, p.keep(operation, r), r)
		assert.DeepEqual(t, p.unread(operation, away), r)
	}
	p.keep("refused", operator.ChangeResult{Outcome: template.Refused, Current: 3})
	for _, operation := range []string{"refused", "new"} {
		assert.Equal(t, p.unread(operation, away).Outcome, template.Refused, operation)
	}
	for i := range 2 * pastChangesKept {
		p.keep(fmt.Sprint(i), operator.ChangeResult{Outcome: template.Unknown})
	}
	assert.Equal(t, len(p.known), pastChangesKept)
	assert.Equal(t, len(p.oldest), pastChangesKept)
	assert.Equal(t, p.unread("unknown", away).Outcome, template.Refused)
}
