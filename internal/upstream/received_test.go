package upstream

import (
	"net"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against wall clock times, with which a step of the clock makes a live
// connection appear silent, or a silent one live.
func TestReceiveTimeIsMonotonic(t *testing.T) {
	client, server := net.Pipe()
	defer server.Close()
	c := newConn(NewPool(1, nil), nil, "a", client)
	defer c.close()
	go func() { _, _ = server.Write([]byte("x")) }()
	_, err := c.Read(make([]byte, 1))
	assert.NilError(t, err)
	received := c.lastReceived()
	assert.Assert(t, received.String() != received.Round(0).String(), "%v has no monotonic reading", received)
}
