package upstream

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// KeepAlive detects a connection whose peer is unreachable without a reset: it
// sends a probe each second after an idle second. With UserTimeout, the kernel
// closes the connection two seconds after the last acknowledgement.
var KeepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}

// DialTCP is a Dialer for TCP, with KeepAlive and UserTimeout.
func DialTCP(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{KeepAliveConfig: KeepAlive, Control: UserTimeout}
	return d.DialContext(ctx, "tcp", address)
}

// UserTimeout sets TCP_USER_TIMEOUT on a socket: the time for which sent bytes
// may stay unacknowledged. It is a Control function for net.Dialer and
// net.ListenConfig.
func UserTimeout(_, _ string, raw syscall.RawConn) error {
	var set error
	err := raw.Control(func(fd uintptr) {
		set = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout/time.Millisecond))
	})
	if err != nil {
		return err
	}
	return set
}
