package cli

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/hyssophaven/hyssophaven/load"
	"github.com/urfave/cli/v3"
)

func loadCommand() *cli.Command {
	return &cli.Command{
		Name:  "load",
		Usage: "generate open-loop load from a scenario and report what callers see",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "scenario", Required: true, Usage: "scenario `FILE` (TOML)"},
			&cli.Uint64Flag{Name: "seed", Usage: "seed instead of the scenario's"},
			&cli.StringSliceFlag{Name: "instance", Usage: "base `URL` of an instance instead of the scenario's; may be repeated"},
			&cli.StringFlag{Name: "json", Usage: "write the result as JSON to `FILE`"},
			&cli.StringFlag{Name: "svg", Usage: "write a plot as SVG to `FILE`"},
		},
		Action: runLoad,
	}
}

func runLoad(ctx context.Context, c *cli.Command) error {
	s, err := load.ReadScenario(c.String("scenario"))
	if err != nil {
		return err
	}
	if c.IsSet("seed") {
		s.Seed = c.Uint64("seed")
	}
	if urls := c.StringSlice("instance"); len(urls) > 0 {
		s.Instances = urls
	}
	result, runErr := load.Run(ctx, s, load.Options{})
	if result == nil {
		return runErr
	}
	if err := result.WriteTable(c.Root().Writer); err != nil {
		return fmt.Errorf("write table: %w", err)
	}
	if err := writeFile(c.String("json"), result.WriteJSON); err != nil {
		return err
	}
	if err := writeFile(c.String("svg"), result.WriteSVG); err != nil {
		return err
	}
	if runErr != nil {
		return fmt.Errorf("load stopped early: %w", runErr)
	}
	if n := result.WrongAnswers(); n > 0 {
		return fmt.Errorf("%d answers do not belong to their requests", n)
	}
	return nil
}

// writeFile creates the named file and calls write with it. It does nothing if
// name is empty.
func writeFile(name string, write func(io.Writer) error) error {
	if name == "" {
		return nil
	}
	f, err := os.Create(name)
	if err != nil {
		return err
	}
	if err := write(f); err != nil {
		f.Close()
		return fmt.Errorf("write %s: %w", name, err)
	}
	return f.Close()
}
