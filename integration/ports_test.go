package integration

import (
	"math/rand/v2"
	"net"
	"path/filepath"
	"strconv"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cyclamenbeam/cyclamenbeam/internal/deployment"
	"github.com/cyclamenbeam/cyclamenbeam/internal/settings"
)

// reservation keeps ports for processes that are still to be started.
//
// The kernel may assign a port of a deployment's settings to another test before the deployment's
// process listens on it, which then fails with "address already in use". A socket that is bound
// and doesn't listen keeps the kernel from choosing the port, and lets a listener that asks
// for it have it.
type reservation struct{ sockets []int }

// reserve takes all addresses, or none and an error.
func reserve(addresses []string) (*reservation, error) {
	r := &reservation{}
	for _, a := range addresses {
		if err := r.add(a); err != nil {
			r.release()
			return nil, err
		}
	}
	return r, nil
}

// add binds a socket that shares its port only once it has it: two tests must
// not get the same one.
func (r *reservation) add(address string) error {
	at, err := net.ResolveTCPAddr("tcp4", address)
	if err != nil {
		return err
	}
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		return err
	}
	r.sockets = append(r.sockets, fd)
	syscall.CloseOnExec(fd)
	to := &syscall.SockaddrInet4{Port: at.Port}
	copy(to.Addr[:], at.IP.To4())
	if err := syscall.Bind(fd, to); err != nil {
		return err
	}
	return syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1)
}

func (r *reservation) release() {
	for _, fd := range r.sockets {
		_ = syscall.Close(fd)
	}
}

// reserveTries bounds the tries to get ports while other tests do the same.
const reserveTries = 50

// lay makes a layout whose ports are kept for the test.
func lay(t *testing.T, o deployment.Options) *deployment.Layout {
	t.Helper()
	var err error
	for range reserveTries {
		var layout *deployment.Layout
		layout, err = deployment.Make(o)
		assert.NilError(t, err)
		var r *reservation
		if r, err = reserve(addressesOf(layout)); err == nil {
			t.Cleanup(r.release)
			return layout
		}
	}
	t.Fatalf("no layout with free ports: %v", err)
	return nil
}

// Consecutive ports come from below those that the kernel chooses from.
const (
	lowestPort  = 20_000
	highestPort = 32_000
)

// reserveRow takes n consecutive ports and returns the first.
func reserveRow(n int) (first int, r *reservation, err error) {
	for range reserveTries {
		first = lowestPort + rand.IntN(highestPort-lowestPort-n)
		addresses := make([]string, n)
		for i := range addresses {
			addresses[i] = net.JoinHostPort("127.0.0.1", strconv.Itoa(first+i))
		}
		if r, err = reserve(addresses); err == nil {
			return first, r, nil
		}
	}
	return 0, nil, err
}

// addressesOf returns all addresses that a layout's processes listen on.
func addressesOf(l *deployment.Layout) []string {
	out := []string{l.Standin.Platform}
	for _, e := range l.Standin.Engines {
		out = append(out, e.Address)
	}
	for _, s := range l.Standin.Services {
		out = append(out, s.Address)
	}
	for _, e := range l.Entries {
		out = append(out, e.Listen.Callers, e.Listen.Operators, e.Listen.Peers)
	}
	return out
}

// reserveWritten takes the ports of a deployment that was written to dir.
func reserveWritten(dir string) (*reservation, error) {
	var l deployment.Layout
	var err error
	if l.Standin, err = deployment.ReadStandin(filepath.Join(dir, "standin.yaml")); err != nil {
		return nil, err
	}
	entries, err := filepath.Glob(filepath.Join(dir, "entry-*.yaml"))
	if err != nil {
		return nil, err
	}
	for _, path := range entries {
		s, err := settings.Read(path)
		if err != nil {
			return nil, err
		}
		l.Entries = append(l.Entries, s)
	}
	return reserve(addressesOf(&l))
}

// Guards against a reservation that keeps its owner from listening, or lets another one reserve the port.
func TestReservedPortCanBeListenedOn(t *testing.T) {
	l := lay(t, options())
	for _, a := range addressesOf(l) {
		listener, err := net.Listen("tcp", a)
		assert.NilError(t, err)
		assert.NilError(t, listener.Close())
		_, err = reserve([]string{a})
		assert.Assert(t, err != nil)
	}
}
