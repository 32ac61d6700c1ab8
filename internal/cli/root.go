// Package cli implements the commands of the binary.
package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
	"github.com/zeebo/errs"
)

// Error is the class of errors of this package.
var Error = errs.Class("command")

// The exit statuses.
const (
	exitOK      = 0
	exitFailed  = 1 // refused, or failed
	exitUsage   = 2
	exitUnknown = 3 // a change may or may not have taken effect
)

// exitError is an error with the process's exit status.
type exitError struct {
	status int
	err    error
}

func (e *exitError) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *exitError) Unwrap() error { return e.err }

// unknownOutcome marks an error after which a change may have taken effect.
func unknownOutcome(err error) error { return &exitError{status: exitUnknown, err: err} }

// app holds the output streams that the commands share.
type app struct {
	stdout io.Writer
	stderr io.Writer
}

// Execute runs the command line and returns the process's exit status.
//
// The signals stay handled until the process ends: without the handler, a
// repeated signal just before the exit would kill the process and turn a clean
// stop into a failure.
func Execute(args []string, stdout, stderr io.Writer) int {
	ctx, _ := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	root := newRoot(&app{stdout: stdout, stderr: stderr})
	root.SetArgs(args)
	root.SetOut(stdout)
	root.SetErr(stderr)
	err := root.ExecuteContext(ctx)
	if err == nil {
		return exitOK
	}
	fmt.Fprintln(stderr, "error:", err)
	var exit *exitError
	if errors.As(err, &exit) {
		return exit.status
	}
	return exitUsage
}

func newRoot(a *app) *cobra.Command {
	root := &cobra.Command{
		Use:           "cyclamenbeam",
		Short:         "Serve models and plain services on reclaimable instances",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(
		newDev(a),
		newServe(a),
		newStandin(a),
		newCheck(a),
		newTemplate(a),
		newWorkspace(a),
		newEndpoint(a),
		newEntries(a),
		newAudit(a),
		newLoad(a),
		newReport(a),
		newExplain(a),
		newRollouts(a),
		newVersion(a),
	)
	return root
}

// group makes cmd a command that only groups subcommands. Without its RunE,
// cobra would answer a mistyped subcommand with the help text and exit status 0.
func group(cmd *cobra.Command, subcommands ...*cobra.Command) *cobra.Command {
	cmd.AddCommand(subcommands...)
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		if len(args) > 0 {
			return Error.New("unknown command %q for %q", args[0], cmd.CommandPath())
		}
		return Error.New("%q needs a command; see %s --help", cmd.CommandPath(), cmd.CommandPath())
	}
	return cmd
}

// withExitStatus wraps a command's function so that its errors have the exit
// status exitFailed, unless they carry another. Cobra's own errors, of arguments
// and flags, have exitUsage.
func withExitStatus(f func(cmd *cobra.Command, args []string) error) func(*cobra.Command, []string) error {
	return func(cmd *cobra.Command, args []string) error {
		err := f(cmd, args)
		var exit *exitError
		if err == nil || errors.As(err, &exit) {
			return err
		}
		return &exitError{status: exitFailed, err: err}
	}
}
