package cli

import (
	"context"
	"errors"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/hyssophaven/hyssophaven/edge"
	"github.com/hyssophaven/hyssophaven/finding"
	"github.com/hyssophaven/hyssophaven/platform"
	"github.com/hyssophaven/hyssophaven/settings"
	"github.com/hyssophaven/hyssophaven/table/tablecodec"
)

// errFindings makes a command exit with ExitFailure after it has printed its
// findings.
var errFindings = errors.New("findings")

func checkCommand() *cli.Command {
	return &cli.Command{
		Name:  "check",
		Usage: "check settings, tables and deploy files; exit code 1 if there is any finding",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "config", Usage: "check the settings in `FILE`"},
			&cli.StringFlag{Name: "table", Usage: "check the table in `FILE`"},
			&cli.StringFlag{Name: "node-file", Usage: "check the platform's settings of an edge instance in `FILE`"},
			&cli.StringFlag{Name: "deploy-file", Usage: "check the platform's deploy file in `FILE`"},
		},
		Action: runCheck,
	}
}

// fileChecks lists the flags of the check command that name a file, each with the
// function that checks the file.
var fileChecks = []struct {
	flag string
	run  func(file string) ([]finding.Finding, error)
}{
	{"config", checkSettings},
	{"table", checkTable},
	{"node-file", func(file string) ([]finding.Finding, error) { return platform.CheckNode(file, edge.MetricsPort) }},
	{"deploy-file", func(file string) ([]finding.Finding, error) {
		return platform.CheckDeploy(file, platform.ExpectedDeploy{Program: programName, Command: edgeCommandName, Metrics: edge.MetricsPort + edge.MetricsPath})
	}},
}

func runCheck(_ context.Context, c *cli.Command) error {
	var found []finding.Finding
	checked := false
	for _, check := range fileChecks {
		file := c.String(check.flag)
		if file == "" {
			continue
		}
		checked = true
		findings, err := check.run(file)
		if err != nil {
			return err
		}
		found = append(found, findings...)
	}
	if !checked {
		return usageErrorf("check needs --config, --table, --node-file or --deploy-file")
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

func checkSettings(file string) ([]finding.Finding, error) {
	_, err := settings.Load(file)
	if found := finding.FromError(err); found != nil {
		return found, nil
	}
	return nil, err
}

func checkTable(file string) ([]finding.Finding, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	var problems finding.List
	tablecodec.DecodeFile(file, data, &problems)
	return problems.All(), nil
}
