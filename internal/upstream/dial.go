package upstream

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// KeepAlive finds out a connection that went silent without a reset: a probe
// each second after a second of silence; with UserTimeout the connection ends
// two seconds after the last byte that was acknowledged.
var KeepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}

// DialTCP is the Dialer over TCP.
func DialTCP(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{KeepAliveConfig: KeepAlive, Control: UserTimeout}
	return d.DialContext(ctx, "tcp", address)
}

// UserTimeout bounds the time for which sent bytes may go unacknowledged on a
// socket. It is a net.Dialer's or net.ListenConfig's Control.
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
