package cli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/hyssophaven/hyssophaven/finding"
	"github.com/hyssophaven/hyssophaven/operator"
	"github.com/hyssophaven/hyssophaven/table"
	"github.com/hyssophaven/hyssophaven/table/tablecodec"
)

const (
	// waitTimeout limits --wait. An edit is in force on all instances within seconds.
	waitTimeout      = 30 * time.Second
	waitPollInterval = 200 * time.Millisecond
)

func tableCommand() *cli.Command {
	return &cli.Command{
		Name:  "table",
		Usage: "read and edit the table that steers the system",
		Commands: []*cli.Command{
			tableSubcommand("list", "print all rows", "", nil, tableList),
			tableSubcommand("get", "print one row", "ROW", nil, tableGet),
			tableSubcommand("set", "set columns of a row, or make a new one", "ROW column=value ...", append(editFlags(), &cli.Uint64Flag{
				Name: "based-on", Usage: "row `VERSION` that the edit is based on; 0 for a new row; default: the version that is read now",
			}), tableSet),
			tableSubcommand("remove", "remove a row", "ROW", append(editFlags(), &cli.Uint64Flag{
				Name: "based-on", Usage: "row `VERSION` that the edit is based on; default: the version that is read now",
			}), tableRemove),
			tableSubcommand("import", "replace the whole table by the rows of a TOML file", "FILE", editFlags(), tableImport),
			tableSubcommand("export", "print the table as a TOML file", "", nil, tableExport),
			tableSubcommand("history", "print accepted edits, newest first", "", []cli.Flag{
				&cli.IntFlag{Name: "limit", Value: 20, Usage: "print at most `N` edits"},
			}, tableHistory),
		},
	}
}

func tableSubcommand(name, usage, args string, flags []cli.Flag, action cli.ActionFunc) *cli.Command {
	flags = append(flags, &cli.BoolFlag{Name: "json", Usage: "print JSON"})
	return &cli.Command{Name: name, Usage: usage, ArgsUsage: args, Flags: append(operatorFlags(), flags...), Action: action}
}

func editFlags() []cli.Flag {
	return []cli.Flag{
		&cli.BoolFlag{Name: "wait", Usage: "wait until the edit is in force on every live instance and report on how many it is"},
		&cli.StringFlag{Name: "author", Usage: "`NAME` for the history", Sources: cli.EnvVars("USER")},
	}
}

func tableList(ctx context.Context, c *cli.Command) error {
	s, err := operatorClient(c).Table(ctx)
	if err != nil {
		return err
	}
	if c.Bool("json") {
		return printEncoded(c, s, tablecodec.EncodeSnapshot)
	}
	w := tabwriter.NewWriter(c.Root().Writer, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "NAME\tKIND\tRANK\tWEIGHT\tBASE\tVERSION\tMEMORY MB\tMAX IN FLIGHT\tMAX PER SECOND\tROW VERSION\n")
	for _, r := range s.Rows() {
		fmt.Fprintf(w, "%s\t%s\t%s\t%g\t%s\t%s\t%d\t%d\t%g\t%d\n", r.Name, r.Kind, r.Rank, r.Weight, r.Base, r.Version, r.MemoryMB, r.Limits.InFlight, r.Limits.PerSecond, r.RowVersion)
	}
	fmt.Fprintf(w, "revision %d\n", s.Revision)
	return w.Flush()
}

func tableGet(ctx context.Context, c *cli.Command) error {
	row, err := readRow(ctx, c)
	if err != nil {
		return err
	}
	if c.Bool("json") {
		return printEncoded(c, row, tablecodec.EncodeRow)
	}
	data, err := tablecodec.EncodeFile([]table.Row{row})
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(c.Root().Writer, "# row version %d\n%s", row.RowVersion, data)
	return err
}

func readRow(ctx context.Context, c *cli.Command) (table.Row, error) {
	name := c.Args().First()
	if name == "" {
		return table.Row{}, usageErrorf("the name of a row is missing")
	}
	s, err := operatorClient(c).Table(ctx)
	if err != nil {
		return table.Row{}, err
	}
	row, ok := s.Row(name)
	if !ok {
		return table.Row{Name: name}, fmt.Errorf("row %q does not exist; see hyssophaven table list", name)
	}
	return row, nil
}

func tableSet(ctx context.Context, c *cli.Command) error {
	if c.Args().Len() < 2 {
		return usageErrorf("set needs the name of a row and at least one column=value")
	}
	row, err := readRow(ctx, c)
	if err != nil && row.Name == "" {
		return err
	}
	if row.RowVersion == 0 {
		row.Weight = 1
	}
	for _, arg := range c.Args().Slice()[1:] {
		column, value, ok := strings.Cut(arg, "=")
		if !ok {
			return usageErrorf("%q is not of the form column=value", arg)
		}
		if row, err = tablecodec.SetColumn(row, column, value); err != nil {
			return usageErrorf("%v", err)
		}
	}
	return sendEdit(ctx, c, []table.Change{{Row: row, BaseVersion: baseVersion(c, row)}})
}

func tableRemove(ctx context.Context, c *cli.Command) error {
	row, err := readRow(ctx, c)
	if err != nil {
		return err
	}
	return sendEdit(ctx, c, []table.Change{{Row: row, Remove: true, BaseVersion: baseVersion(c, row)}})
}

// baseVersion returns the row version that an edit is based on: the value of
// --based-on or, without it, the version of row.
func baseVersion(c *cli.Command, row table.Row) uint64 {
	if c.IsSet("based-on") {
		return c.Uint64("based-on")
	}
	return row.RowVersion
}

// tableImport replaces the table with the rows of a file. Each change is based on
// the row version read before, so a concurrent edit by another operator makes the
// import fail.
func tableImport(ctx context.Context, c *cli.Command) error {
	file := c.Args().First()
	if file == "" {
		return usageErrorf("the name of a file is missing")
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	var problems finding.List
	rows := tablecodec.DecodeFile(file, data, &problems)
	if err := problems.Err(); err != nil {
		return err
	}
	before, err := operatorClient(c).Table(ctx)
	if err != nil {
		return err
	}
	return sendEdit(ctx, c, importChanges(before, rows))
}

func importChanges(before *table.Snapshot, rows []table.Row) []table.Change {
	var changes []table.Change
	keep := make(map[string]bool)
	for _, r := range rows {
		old, _ := before.Row(r.Name)
		keep[r.Name] = true
		changes = append(changes, table.Change{Row: r, BaseVersion: old.RowVersion})
	}
	for _, r := range before.Rows() {
		if !keep[r.Name] {
			changes = append(changes, table.Change{Row: r, Remove: true, BaseVersion: r.RowVersion})
		}
	}
	return changes
}

func tableExport(ctx context.Context, c *cli.Command) error {
	s, err := operatorClient(c).Table(ctx)
	if err != nil {
		return err
	}
	if c.Bool("json") {
		return printEncoded(c, s, tablecodec.EncodeSnapshot)
	}
	data, err := tablecodec.EncodeFile(s.Rows())
	if err != nil {
		return err
	}
	_, err = c.Root().Writer.Write(data)
	return err
}

func tableHistory(ctx context.Context, c *cli.Command) error {
	entries, err := operatorClient(c).History(ctx, c.Int("limit"))
	if err != nil {
		return err
	}
	if c.Bool("json") {
		return printJSON(c.Root().Writer, entries)
	}
	w := tabwriter.NewWriter(c.Root().Writer, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "REVISION\tAT\tAUTHOR\tSET\tREMOVED\n")
	for _, e := range entries {
		fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%s\n", e.Revision, e.At.Format(time.RFC3339), e.Author, summarize(e.Set), summarize(e.Removed))
	}
	return w.Flush()
}

// summarize returns up to three of the names, followed by the number of those left
// out.
func summarize(rows []string) string {
	const maxNames = 3
	if len(rows) <= maxNames {
		return strings.Join(rows, ", ")
	}
	return fmt.Sprintf("%s and %d more", strings.Join(rows[:maxNames], ", "), len(rows)-maxNames)
}

// editResult is the JSON output of commands that edit the table.
type editResult struct {
	Revision uint64                     `json:"revision"`
	Progress *operator.RevisionProgress `json:"in_force,omitempty"`
}

func sendEdit(ctx context.Context, c *cli.Command, changes []table.Change) error {
	client := operatorClient(c)
	revision, err := client.Edit(ctx, table.Edit{Author: c.String("author"), Changes: changes})
	if err != nil {
		return err
	}
	result := editResult{Revision: revision}
	var waitErr error
	if c.Bool("wait") {
		ctx, cancel := context.WithTimeout(ctx, waitTimeout)
		defer cancel()
		progress, err := client.WaitInForce(ctx, revision, waitPollInterval)
		result.Progress, waitErr = &progress, err
	}
	if c.Bool("json") {
		return errors.Join(printJSON(c.Root().Writer, result), waitErr)
	}
	text := fmt.Sprintf("accepted as revision %d", revision)
	if p := result.Progress; p != nil {
		text += fmt.Sprintf(", in force on %d of %d live instances", p.InForce, p.Live)
		if len(p.Missing) > 0 {
			text += "; not yet on " + strings.Join(p.Missing, ", ")
		}
	}
	_, err = fmt.Fprintln(c.Root().Writer, text)
	return errors.Join(err, waitErr)
}

func printEncoded[T any](c *cli.Command, value T, encode func(T) ([]byte, error)) error {
	data, err := encode(value)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(c.Root().Writer, string(data))
	return err
}

func printJSON(w io.Writer, value any) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(value)
}
