package cli

import (
	"context"
	"fmt"
	"runtime"
	"runtime/debug"

	"github.com/urfave/cli/v3"
)

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
