package cli

import (
	"context"
	"errors"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/hyssophaven/hyssophaven/finding"
	"github.com/hyssophaven/hyssophaven/platform"
	"github.com/hyssophaven/hyssophaven/settings"
	"github.com/hyssophaven/hyssophaven/table/tablecodec"
)

// errFindings ends a command whose findings have been printed already.
var errFindings = errors.New("findings")

func checkCommand() *cli.Command {
	return &cli.Command{
		Name:  "check",
		Usage: "check settings and tables; exit code 1 if there is any finding",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "config", Usage: "check the settings in `FILE`"},
			&cli.StringFlag{Name: "table", Usage: "check the table in `FILE`"},
			&cli.StringFlag{Name: "node-file", Usage: "check the platform's settings of an edge instance in `FILE`"},
		},
		Action: runCheck,
	}
}

func runCheck(_ context.Context, c *cli.Command) error {
	if !c.IsSet("config") && !c.IsSet("table") && !c.IsSet("node-file") {
		return usageErrorf("check needs --config, --table or --node-file")
	}
	var found []finding.Finding
	if file := c.String("config"); file != "" {
		_, err := settings.Load(file)
		if err != nil && finding.Of(err) == nil {
			return err
		}
		found = append(found, finding.Of(err)...)
	}
	if file := c.String("node-file"); file != "" {
		_, err := platform.ReadNode(file)
		if err != nil && finding.Of(err) == nil {
			return err
		}
		found = append(found, finding.Of(err)...)
	}
	if file := c.String("table"); file != "" {
		data, err := os.ReadFile(file)
		if err != nil {
			return err
		}
		var problems finding.List
		tablecodec.DecodeFile(file, data, &problems)
		found = append(found, problems.All()...)
	}
	for _, f := range found {
		if _, err := fmt.Fprintln(c.Root().Writer, f); err != nil {
			return err
		}
	}
	if len(found) > 0 {
		return errFindings
	}
	_, err := fmt.Fprintln(c.Root().Writer, "no findings")
	return err
}
