package cli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

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
		Usage: "check settings, tables, deploy files and configs; exit code 1 if there is any finding",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "config", Usage: "check the settings in `FILE`"},
			&cli.StringFlag{Name: "table", Usage: "check the table in `FILE`"},
			&cli.StringFlag{Name: "node-file", Usage: "check the platform's settings of an edge instance in `FILE`"},
			&cli.StringFlag{Name: "deploy-file", Usage: "check the platform's deploy file in `FILE`"},
			&cli.StringFlag{Name: "platform-config", Usage: "check the platform's config of routes, services and customers in `FILE`"},
			&cli.StringFlag{Name: "in-force", Usage: "print how the platform's config differs from the one in force in `FILE`"},
			&cli.BoolFlag{Name: "json", Usage: "print findings and differences as one JSON object"},
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

// checkResult holds what the check command prints. Differences is nil if no config in force
// was named.
type checkResult struct {
	Findings    []finding.Finding
	Differences []string
}

func runCheck(_ context.Context, c *cli.Command) error {
	var result checkResult
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
		result.Findings = append(result.Findings, findings...)
	}
	inForce := c.String("in-force")
	if file := c.String("platform-config"); file != "" {
		checked = true
		findings, differences, err := platform.CheckConfig(file, inForce)
		if err != nil {
			return err
		}
		result.Findings, result.Differences = append(result.Findings, findings...), differences
	} else if inForce != "" {
		return usageErrorf("--in-force needs --platform-config")
	}
	if !checked {
		return usageErrorf("check needs --config, --table, --node-file, --deploy-file or --platform-config")
	}
	write := result.writeText
	if c.Bool("json") {
		write = result.writeJSON
	}
	if err := write(c.Root().Writer); err != nil {
		return err
	}
	if len(result.Findings) > 0 {
		return errFindings
	}
	return nil
}

// writeText writes one finding per line and then one difference per line.
func (r *checkResult) writeText(w io.Writer) error {
	var b strings.Builder
	for _, f := range r.Findings {
		fmt.Fprintln(&b, f)
	}
	if len(r.Findings) == 0 {
		fmt.Fprintln(&b, "no findings")
	}
	for _, line := range r.Differences {
		fmt.Fprintln(&b, line)
	}
	if r.Differences != nil && len(r.Differences) == 0 {
		fmt.Fprintln(&b, "no differences")
	}
	_, err := io.WriteString(w, b.String())
	return err
}

// findingRecord is the JSON form of a finding.
type findingRecord struct {
	File    string `json:"file"`
	Line    int    `json:"line"`
	Column  int    `json:"column"`
	Key     string `json:"key"`
	Message string `json:"message"`
}

// writeJSON writes one object with both lists, which can be empty.
func (r *checkResult) writeJSON(w io.Writer) error {
	out := struct {
		Findings    []findingRecord `json:"findings"`
		Differences []string        `json:"differences"`
	}{[]findingRecord{}, append([]string{}, r.Differences...)}
	for _, f := range r.Findings {
		out.Findings = append(out.Findings, findingRecord(f))
	}
	encoder := json.NewEncoder(w)
	encoder.SetEscapeHTML(false)
	encoder.SetIndent("", "  ")
	return encoder.Encode(out)
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
