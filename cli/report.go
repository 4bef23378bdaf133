package cli

import (
	"context"
	"errors"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/hyssophaven/hyssophaven/burn/burncodec"
	"github.com/hyssophaven/hyssophaven/burnpage"
)

func reportCommand() *cli.Command {
	return &cli.Command{
		Name:     "report",
		Usage:    "show reports on the fleet",
		Commands: []*cli.Command{reportBurnCommand()},
	}
}

func reportBurnCommand() *cli.Command {
	return &cli.Command{
		Name:  "burn",
		Usage: "show how fast each rank and row spends its error budget",
		Flags: append(operatorFlags(),
			&cli.BoolFlag{Name: "json", Usage: "print the report as JSON"},
			&cli.StringFlag{Name: "html", Usage: "write the report as one page with plots to `FILE`"},
		),
		Action: reportBurn,
	}
}

func reportBurn(ctx context.Context, c *cli.Command) error {
	data, err := operatorClient(c).BurnReportJSON(ctx)
	if err != nil {
		return err
	}
	report, err := burncodec.DecodeReport(data)
	if err != nil {
		return err
	}
	if path := c.String("html"); path != "" {
		if err := writeHTMLReport(path, report); err != nil {
			return err
		}
	}
	switch {
	case c.Bool("json"):
		_, err = fmt.Fprintf(c.Root().Writer, "%s\n", data)
		return err
	case c.String("html") != "":
		return nil
	default:
		return burnpage.WriteText(c.Root().Writer, report)
	}
}

func writeHTMLReport(path string, report burncodec.Report) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	return errors.Join(burnpage.WriteHTML(f, report), f.Close())
}
