// Package cli is the command line of hyssophaven.
package cli

import (
	"context"
	"fmt"
	"io"
	"runtime"
	"runtime/debug"

	"github.com/urfave/cli/v3"
)

// Exit codes of the command.
const (
	ExitOK       = 0
	ExitFailure  = 1 // the command failed, or a check has findings
	ExitBadUsage = 2 // unknown command, flag or argument
)

// Run executes the command line and returns the process's exit code.
func Run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	root := &cli.Command{
		Name:      "hyssophaven",
		Usage:     "serve many language models and adapters on few accelerators",
		Writer:    stdout,
		ErrWriter: stderr,
		Commands:  []*cli.Command{versionCommand(), loadCommand()},
	}
	if err := root.Run(ctx, args); err != nil {
		fmt.Fprintln(stderr, "hyssophaven:", err)
		return ExitFailure
	}
	return ExitOK
}

func versionCommand() *cli.Command {
	return &cli.Command{
		Name:  "version",
		Usage: "print version, commit and Go version",
		Action: func(_ context.Context, c *cli.Command) error {
			version, commit := "devel", "unknown"
			if info, ok := debug.ReadBuildInfo(); ok {
				version = info.Main.Version
				for _, s := range info.Settings {
					if s.Key == "vcs.revision" {
						commit = s.Value
					}
				}
			}
			_, err := fmt.Fprintf(c.Root().Writer, "hyssophaven %s commit %s %s\n", version, commit, runtime.Version())
			return err
		},
	}
}
