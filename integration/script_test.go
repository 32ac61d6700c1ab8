package integration

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"syscall"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/cyclamenbeam/cyclamenbeam/internal/deployment"
)

// TestScripts runs the scenarios. Beside testscript's own commands they have:
//
//	start NAME ARG...   run the product and wait until it is ready. Its addresses
//	                    are in $entry1, $operator1, $engine1, $service1, $platform
//	                    and so on, numbered over all processes of the scenario
//	terminate NAME      send SIGTERM; the exit status must be 0
//	signal NAME SIGNAL  send KILL, STOP or CONT
//	exits N CMD ARG...  run a command whose exit status must be N
//	reserve DIR         keep the ports of a deployment that was written to DIR
//	newkey VAR          set a variable to a new idempotency key
//	http, chat, begin, finish, order, executions: see their own comments
func TestScripts(t *testing.T) {
	t.Parallel()
	testscript.Run(t, testscript.Params{
		Dir:                 "../testdata/script",
		RequireExplicitExec: true,
		RequireUniqueNames:  true,
		Setup:               setUpScript,
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"start":      command(startProcess),
			"terminate":  command(terminate),
			"signal":     command(signalProcess),
			"exits":      command(exits),
			"reserve":    command(reservePorts),
			"newkey":     command(newKeyIn),
			"http":       command(doHTTP),
			"chat":       command(doChat),
			"begin":      command(beginStream),
			"finish":     command(finishStream),
			"order":      command(doOrder),
			"executions": command(checkExecutions),
		},
	})
}

// script is the state of one scenario.
type script struct {
	processes map[string]*process
	streams   map[string]*streams
	ports     []*reservation
	count     map[deployment.Role]int // addresses so far
}

type scriptKey struct{}

func setUpScript(env *testscript.Env) error {
	s := &script{processes: make(map[string]*process), streams: make(map[string]*streams), count: make(map[deployment.Role]int)}
	env.Values[scriptKey{}] = s
	env.Setenv("CYCLAMENBEAM_TOKEN", deployment.DevOperatorToken)
	env.Setenv("token", deployment.DevToken)
	env.Setenv("GORACE", os.Getenv("GORACE"))
	env.Defer(func() {
		for _, p := range s.processes {
			p.end()
		}
		for _, r := range s.ports {
			r.release()
		}
	})
	return nil
}

// command adapts a scenario's command; an error of it ends the scenario.
func command(f func(ts *testscript.TestScript, s *script, args []string) error) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, neg bool, args []string) {
		if neg {
			ts.Fatalf("this command can't be negated")
		}
		if err := f(ts, ts.Value(scriptKey{}).(*script), args); err != nil {
			ts.Fatalf("%v", err)
		}
	}
}

// need returns an error unless there are at least n arguments.
func need(args []string, n int, usage string) error {
	if len(args) < n {
		return fmt.Errorf("usage: %s", usage)
	}
	return nil
}

// devPorts is more than any scenario's dev listens on.
const devPorts = 32

func startProcess(ts *testscript.TestScript, s *script, args []string) error {
	if err := need(args, 2, "start NAME ARG..."); err != nil {
		return err
	}
	name, args := args[0], args[1:]
	if args[0] == "dev" {
		first, ports, err := reserveRow(devPorts)
		if err != nil {
			return err
		}
		s.ports = append(s.ports, ports)
		args = append(args, "--port", strconv.Itoa(first))
	}
	p, err := launch(name, ts.MkAbs("."), os.Environ(), args...)
	if err != nil {
		return err
	}
	s.processes[name] = p
	if !p.waitReady() {
		return fmt.Errorf("%s is not ready; log:\n%s", name, p.tail())
	}
	for _, l := range p.lines {
		if l.Address == "" {
			continue
		}
		s.count[l.Role]++
		name := string(l.Role) + strconv.Itoa(s.count[l.Role])
		if l.Role == deployment.RolePlatform {
			name = string(l.Role)
		}
		ts.Setenv(name, l.Address)
	}
	return nil
}

func (s *script) process(name string) (*process, error) {
	p, ok := s.processes[name]
	if !ok {
		return nil, fmt.Errorf("no process is called %s", name)
	}
	return p, nil
}

func terminate(_ *testscript.TestScript, s *script, args []string) error {
	if err := need(args, 1, "terminate NAME"); err != nil {
		return err
	}
	p, err := s.process(args[0])
	if err != nil {
		return err
	}
	if err := p.signal(syscall.SIGTERM); err != nil {
		return err
	}
	if status := p.wait(); status != 0 {
		return fmt.Errorf("exit status %d; log:\n%s", status, p.tail())
	}
	return nil
}

var signals = map[string]syscall.Signal{"KILL": syscall.SIGKILL, "STOP": syscall.SIGSTOP, "CONT": syscall.SIGCONT, "TERM": syscall.SIGTERM}

func signalProcess(_ *testscript.TestScript, s *script, args []string) error {
	if err := need(args, 2, "signal NAME SIGNAL"); err != nil {
		return err
	}
	p, err := s.process(args[0])
	if err != nil {
		return err
	}
	number, ok := signals[args[1]]
	if !ok {
		return fmt.Errorf("unknown signal %s", args[1])
	}
	return p.signal(number)
}

func exits(ts *testscript.TestScript, _ *script, args []string) error {
	if err := need(args, 2, "exits STATUS COMMAND ARG..."); err != nil {
		return err
	}
	err := ts.Exec(args[1], args[2:]...)
	status := 0
	var exit *exec.ExitError
	switch {
	case errors.As(err, &exit):
		status = exit.ExitCode()
	case err != nil:
		return err
	}
	if want, _ := strconv.Atoi(args[0]); status != want {
		return fmt.Errorf("exit status %d, want %s, of %s", status, args[0], strings.Join(args[1:], " "))
	}
	return nil
}

func reservePorts(ts *testscript.TestScript, s *script, args []string) error {
	if err := need(args, 1, "reserve DIR"); err != nil {
		return err
	}
	r, err := reserveWritten(ts.MkAbs(args[0]))
	if err != nil {
		return err
	}
	s.ports = append(s.ports, r)
	return nil
}

func newKeyIn(ts *testscript.TestScript, _ *script, args []string) error {
	if err := need(args, 1, "newkey VARIABLE"); err != nil {
		return err
	}
	ts.Setenv(args[0], newKey())
	return nil
}
