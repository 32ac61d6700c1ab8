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

// DialTCP is a Dialer of connections to endpoints, with KeepAlive and a user timeout.
func DialTCP(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{KeepAliveConfig: KeepAlive, Control: func(_, _ string, raw syscall.RawConn) error {
		return setUserTimeout(raw, endpointUserTimeout)
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
