// Package cli implements the commands of the hyssophaven program. It parses
// flags, calls the packages that do the work, prints their results and maps
// errors to exit codes.
package cli

import (
	"context"
	"errors"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"
)

// Exit codes that Run returns.
const (
	ExitOK       = 0
	ExitFailure  = 1 // the command failed, or a check has findings
	ExitBadUsage = 2 // unknown command, flag or argument
)

// usageError reports an invalid command line. Run returns ExitBadUsage for it.
type usageError struct{ message string }

func (e *usageError) Error() string { return e.message }

func usageErrorf(format string, args ...any) error {
	return &usageError{message: fmt.Sprintf(format, args...)}
}

// programName is the name of the binary. The platform's deploy file must name it as
// the program to start.
const programName = "hyssophaven"

// Run executes the command line and returns the process's exit code.
func Run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	unknownCommand := false
	root := &cli.Command{
		Name:           programName,
		Usage:          "serve many language models and adapters on few accelerators",
		Writer:         stdout,
		ErrWriter:      stderr,
		ExitErrHandler: func(context.Context, *cli.Command, error) {}, // Run prints the error
		OnUsageError: func(_ context.Context, _ *cli.Command, err error, _ bool) error {
			return &usageError{message: err.Error()}
		},
		CommandNotFound: func(_ context.Context, _ *cli.Command, name string) {
			unknownCommand = true
			fmt.Fprintf(stderr, "hyssophaven: unknown command %q; see hyssophaven --help\n", name)
		},
		Commands: []*cli.Command{
			devCommand(), edgeCommand(), explainCommand(), serveCommand(), checkCommand(), tableCommand(), statusCommand(), quarantineCommand(),
			reportCommand(), loadCommand(), compareCommand(), capacityCommand(), standinCommand(), versionCommand(),
		},
	}
	for _, c := range root.Commands {
		setUsageErrors(c, root.OnUsageError)
	}
	err := root.Run(ctx, args)
	var usage *usageError
	switch {
	case unknownCommand:
		return ExitBadUsage
	case err == nil:
		return ExitOK
	case errors.Is(err, errFindings):
		return ExitFailure
	case errors.As(err, &usage):
		fmt.Fprintln(stderr, "hyssophaven:", err)
		return ExitBadUsage
	default:
		fmt.Fprintln(stderr, "hyssophaven:", err)
		return ExitFailure
	}
}

// setUsageErrors sets the handler of usage errors on c and all its subcommands,
// which don't inherit it.
func setUsageErrors(c *cli.Command, handler cli.OnUsageErrorFunc) {
	c.OnUsageError = handler
	for _, sub := range c.Commands {
		setUsageErrors(sub, handler)
	}
}
