package node

import (
	"errors"
	"net/http"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a listed version that is trusted on connections to a run which isn't listed yet.
func TestConnectionsAfterARefusalAreNotTrusted(t *testing.T) {
	f := newFleet(t, 1)
	f.awaitReady()
	n := f.nodes[0]
	assert.Equal(t, sendRequest(n).status, http.StatusOK)
	all, _ := n.endpoints.list()
	address := all[0].Address
	trusted := func(n *Node) bool { return n.origins.TrustedUntil(address).After(time.Now()) }
	f.until("the list is complete", trusted)

	n.origins.dialled(address, &dialError{syscall.ECONNREFUSED})
	refused := time.Now()
	n.origins.dialled(address, nil)
	assert.Assert(t, !n.origins.TrustedUntil(address).After(refused))
	n.origins.dialled("elsewhere:1", errors.New("no route"))
	assert.Assert(t, n.origins.TrustedUntil("elsewhere:1").After(time.Now()))
	f.until("a run would have been listed", trusted)
}

// dialError wraps an error as the standard library does.
type dialError struct{ err error }

func (e *dialError) Error() string { return "dial: " + e.err.Error() }
func (e *dialError) Unwrap() error { return e.err }
