package upstream

import (
	"net"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"
)

// minLostProbes is how many keep-alive probes may be lost while an endpoint is silent for a
// second or two, before its connections are closed.
const minLostProbes = 2

// Guards against a TCP_USER_TIMEOUT that closes a connection after a single lost probe.
func TestConnectionSurvivesLostKeepAliveProbes(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	nc, err := DialTCP(t.Context(), l.Addr().String())
	assert.NilError(t, err)
	defer nc.Close()
	option := func(name int) (value int) {
		raw, err := nc.(syscall.Conn).SyscallConn()
		assert.NilError(t, err)
		assert.NilError(t, raw.Control(func(fd uintptr) { value, err = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, name) }))
		assert.NilError(t, err)
		return value
	}
	idle, interval := time.Duration(option(unix.TCP_KEEPIDLE))*time.Second, time.Duration(option(unix.TCP_KEEPINTVL))*time.Second
	closes := time.Duration(option(unix.TCP_USER_TIMEOUT)) * time.Millisecond
	if closes == 0 {
		closes = idle + time.Duration(option(unix.TCP_KEEPCNT))*interval
	}
	lost := int((closes - idle) / interval) // probes at idle, idle+interval, ... before it closes
	assert.Assert(t, lost > minLostProbes, "%d probes before the connection is closed", lost)
}
