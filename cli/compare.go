package cli

import (
	"context"
	"io"
	"strings"

	"github.com/urfave/cli/v3"

	"github.com/hyssophaven/hyssophaven/compare"
	"github.com/hyssophaven/hyssophaven/dev"
)

func compareCommand() *cli.Command {
	return &cli.Command{
		Name:  "compare",
		Usage: "measure policies against each other on development deployments",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "deployment", Value: "ladang-petik", Usage: "sample deployment: ladang-petik or tsagaan-nuur"},
			&cli.StringSliceFlag{Name: "case", Usage: "measure only this case; may be repeated"},
			&cli.StringSliceFlag{Name: "policy", Usage: "measure only this policy, such as rank/adaptive; may be repeated"},
			&cli.IntFlag{Name: "seeds", Value: 5, Usage: "number of seeds, from 1"},
			&cli.IntFlag{Name: "instances", Value: 6, Usage: "entry instances"},
			&cli.IntFlag{Name: "parallel", Value: 1, Usage: "deployments that run at a time"},
			&cli.StringFlag{Name: "out", Usage: "write the tables to `FILE` instead of the standard output"},
		},
		Action: runCompare,
	}
}

func runCompare(ctx context.Context, c *cli.Command) error {
	d, ok := dev.Deployments()[c.String("deployment")]
	if !ok {
		return usageErrorf("unknown deployment %q: want ladang-petik or tsagaan-nuur", c.String("deployment"))
	}
	o := compare.Options{Deployment: d, Instances: c.Int("instances"), MaxConcurrentRuns: c.Int("parallel"), Progress: c.Root().ErrWriter}
	for n := range c.Int("seeds") {
		o.Seeds = append(o.Seeds, uint64(n+1))
	}
	var err error
	if o.Cases, err = selectByName(compare.Cases(), c.StringSlice("case"), func(c compare.Case) string { return c.Name }); err != nil {
		return err
	}
	if o.Policies, err = selectByName(compare.Policies(), c.StringSlice("policy"), compare.Policy.String); err != nil {
		return err
	}
	runs := compare.Measure(ctx, o)
	write := func(w io.Writer) error { return compare.WriteMarkdown(w, o, runs) }
	if c.String("out") == "" {
		return write(c.Root().Writer)
	}
	return writeFile(c.String("out"), write)
}

// selectByName returns the items with the given names, or all items if names is
// empty. It returns a usage error for an unknown name.
func selectByName[T any](items []T, names []string, name func(T) string) ([]T, error) {
	if len(names) == 0 {
		return items, nil
	}
	var out []T
	for _, n := range names {
		found := false
		for _, it := range items {
			if name(it) == n {
				out = append(out, it)
				found = true
			}
		}
		if !found {
			known := make([]string, len(items))
			for i, it := range items {
				known[i] = name(it)
			}
			return nil, usageErrorf("unknown name %q: want one of %s", n, strings.Join(known, ", "))
		}
	}
	return out, nil
}
