package cli

import (
	"context"
	"io"
	"slices"
	"strings"

	"github.com/urfave/cli/v3"

	"github.com/hyssophaven/hyssophaven/capacity"
)

func capacityCommand() *cli.Command {
	return &cli.Command{
		Name:  "capacity",
		Usage: "measure how costs grow and work them out for the size to design for",
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "quick", Usage: "two small sizes and short runs; the figures are not usable"},
			&cli.StringSliceFlag{Name: "group", Usage: "measure only this group: " + strings.Join(capacity.GroupNames(), ", ") + "; may be repeated"},
			&cli.StringFlag{Name: "out", Usage: "write the tables to `FILE` instead of the standard output"},
		},
		Action: runCapacity,
	}
}

func runCapacity(ctx context.Context, c *cli.Command) error {
	o := capacity.Options{Quick: c.Bool("quick"), Groups: c.StringSlice("group"), Progress: c.Root().ErrWriter}
	for _, name := range o.Groups {
		if !slices.Contains(capacity.GroupNames(), name) {
			return usageErrorf("unknown group %q: want one of %s", name, strings.Join(capacity.GroupNames(), ", "))
		}
	}
	lines, err := capacity.Measure(ctx, o)
	if err != nil {
		return err
	}
	write := func(w io.Writer) error { return capacity.WriteMarkdown(w, lines) }
	if c.String("out") == "" {
		return write(c.Root().Writer)
	}
	return writeFile(c.String("out"), write)
}
