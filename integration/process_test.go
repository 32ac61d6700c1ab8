package integration

import (
	"bufio"
	"encoding/json"
	"io"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cyclamenbeam/cyclamenbeam/internal/deployment"
)

const (
	// startTimeout bounds the start of a process on a busy machine.
	startTimeout = 30 * time.Second
	// stopTimeout bounds the end of a process that was asked to stop.
	stopTimeout = 60 * time.Second
	// logTail is how much of a failed test's logs is shown, bytes a process.
	logTail = 8 << 10
)

// readyLine is one line of a process's standard output.
type readyLine struct {
	Role    deployment.Role `json:"role"`
	Address string          `json:"address"`
}

// process is one running process of the product.
type process struct {
	name   string
	cmd    *exec.Cmd
	guard  io.Closer // its standard input
	log    *os.File  // its standard error
	stdout string    // valid once ready or done is closed
	lines  []readyLine
	ready  chan struct{}
	done   chan struct{} // closed when it has ended
}

// launch starts the product. The process is killed at the end of the test
// where it still runs.
func launch(name, dir string, env []string, args ...string) (*process, error) {
	log, err := os.CreateTemp(dir, name+"-*.log")
	if err != nil {
		return nil, err
	}
	p := &process{name: name, log: log, ready: make(chan struct{}), done: make(chan struct{})}
	p.cmd = exec.Command(binary, args...)
	p.cmd.Dir = dir
	p.cmd.Env = append(env, guardVariable+"=1")
	p.cmd.Stderr = log
	if p.guard, err = p.cmd.StdinPipe(); err != nil {
		return nil, err
	}
	stdout, err := p.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	go p.follow(stdout)
	return p, nil
}

// follow reads the ready lines and waits for the end.
func (p *process) follow(stdout io.Reader) {
	lines := bufio.NewScanner(stdout)
	for ready := false; lines.Scan(); {
		var l readyLine
		if ready || json.Unmarshal(lines.Bytes(), &l) != nil {
			continue
		}
		p.stdout += lines.Text() + "\n"
		p.lines = append(p.lines, l)
		if ready = l.Role == deployment.RoleReady; ready {
			close(p.ready)
		}
	}
	_ = p.cmd.Wait()
	close(p.done)
}

// waitReady waits for the last ready line and reports whether it came.
func (p *process) waitReady() bool {
	select {
	case <-p.ready:
		return true
	case <-p.done:
	case <-time.After(startTimeout):
	}
	return false
}

// addresses returns where the process listens in a role.
func (p *process) addresses(r deployment.Role) []string {
	var out []string
	for _, l := range p.lines {
		if l.Role == r {
			out = append(out, l.Address)
		}
	}
	return out
}

func (p *process) signal(s syscall.Signal) error { return p.cmd.Process.Signal(s) }

// wait returns the exit status, and -1 for a process that a signal ended or
// that has not ended in time.
func (p *process) wait() int {
	select {
	case <-p.done:
		return p.cmd.ProcessState.ExitCode()
	case <-time.After(stopTimeout):
		return -1
	}
}

// end kills the process where it still runs.
func (p *process) end() {
	_ = p.cmd.Process.Kill()
	<-p.done
	_ = p.log.Close()
}

// tail returns the end of the process's log.
func (p *process) tail() string {
	text, err := os.ReadFile(p.log.Name())
	if err != nil {
		return err.Error()
	}
	if len(text) > logTail {
		text = text[len(text)-logTail:]
	}
	return strings.TrimSpace(string(text))
}

// start launches a process for a test and waits until it is ready.
func start(t *testing.T, name, dir string, args ...string) *process {
	t.Helper()
	p, err := launch(name, dir, os.Environ(), args...)
	assert.NilError(t, err)
	t.Cleanup(func() {
		p.end()
		if t.Failed() {
			t.Logf("log of %s:\n%s", p.name, p.tail())
		}
	})
	assert.Assert(t, p.waitReady(), "%s is not ready; log:\n%s", name, p.tail())
	return p
}

// send signals a process of the test.
func (p *process) send(t *testing.T, s syscall.Signal) {
	t.Helper()
	assert.NilError(t, p.signal(s), "%s to %s", s, p.name)
}

// stopped sends SIGTERM and checks the exit status.
func (p *process) stop(t *testing.T) {
	t.Helper()
	p.send(t, syscall.SIGTERM)
	assert.Equal(t, p.wait(), 0, "exit status of %s", p.name)
}
