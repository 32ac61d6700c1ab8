package upstream

import (
	"net"
	"testing"

	"gotest.tools/v3/assert"
)

// A step of the time of day makes a live connection look silent, or a silent one alive.
func TestReceiveTimeIsMonotonic(t *testing.T) {
	near, far := net.Pipe()
	defer far.Close()
	c := newConn(NewPool(1, nil), nil, "a", near)
	defer c.close()
	go func() { _, _ = far.Write([]byte("x")) }()
	_, err := c.Read(make([]byte, 1))
	assert.NilError(t, err)
	heard := c.lastReceived()
	assert.Assert(t, heard.String() != heard.Round(0).String(), "%v has no monotonic reading", heard)
}
