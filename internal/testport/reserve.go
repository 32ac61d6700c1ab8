// Package testport reserves ports for tests.
package testport

import (
	"net"
	"strconv"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"
)

// Reserve returns an address, host:port, whose port is free for TCP and UDP. Until the test
// ends, a socket that is bound and doesn't listen keeps the port from others.
func Reserve(t testing.TB) string {
	t.Helper()
	for {
		address := bind(t)
		p, err := net.ListenPacket("udp", address)
		if err == nil {
			assert.NilError(t, p.Close())
			return address
		}
	}
}

// bind binds a socket and returns its address.
func bind(t testing.TB) string {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	assert.NilError(t, err)
	syscall.CloseOnExec(fd)
	t.Cleanup(func() { _ = syscall.Close(fd) })
	assert.NilError(t, syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	assert.NilError(t, syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1)) // for the listener
	bound, err := syscall.Getsockname(fd)
	assert.NilError(t, err)
	return net.JoinHostPort("127.0.0.1", strconv.Itoa(bound.(*syscall.SockaddrInet4).Port))
}
