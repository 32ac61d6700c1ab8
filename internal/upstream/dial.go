package upstream

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// KeepAlive detects a connection whose peer is unreachable without a reset: it sends a probe
// each second after an idle second. With a user timeout, the kernel closes the connection
// that long after the last acknowledgement, whatever the count of probes.
var KeepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 3}

// endpointReceiveBuffer bounds what the kernel holds of an answer whose caller doesn't read it, in
// bytes. Left to itself the kernel lets a buffer grow to megabytes.
const endpointReceiveBuffer = 64 << 10

// DialTCP is a Dialer of connections to endpoints, with KeepAlive, a user timeout and a bounded
// receive buffer.
func DialTCP(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{KeepAliveConfig: KeepAlive, Control: func(_, _ string, raw syscall.RawConn) error {
		if err := setUserTimeout(raw, endpointUserTimeout); err != nil {
			return err
		}
		return SetBuffers(raw, endpointReceiveBuffer, 0)
	}}
	return d.DialContext(ctx, "tcp", address)
}

// UserTimeout sets TCP_USER_TIMEOUT on a socket: the time for which sent bytes
// may stay unacknowledged. It is a Control function for net.Dialer and
// net.ListenConfig.
func UserTimeout(_, _ string, raw syscall.RawConn) error { return setUserTimeout(raw, userTimeout) }

func setUserTimeout(raw syscall.RawConn, d time.Duration) error {
	var set error
	err := raw.Control(func(fd uintptr) {
		set = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d/time.Millisecond))
	})
	if err != nil {
		return err
	}
	return set
}

// SetBuffers bounds the kernel's buffers of a socket, in bytes; 0 leaves one as it is. Connections
// that a listener accepts inherit its buffers. The kernel's defaults hold where it doesn't allow others.
func SetBuffers(raw syscall.RawConn, receive, send int) error {
	return raw.Control(func(fd uintptr) {
		if receive > 0 {
			_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receive)
		}
		if send > 0 {
			_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, send)
		}
	})
}
