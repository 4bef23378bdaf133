package cli

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

func run(t *testing.T, args ...string) (code int, stdout, stderr string) {
	t.Helper()
	var out, errs bytes.Buffer
	code = Run(t.Context(), append([]string{"hyssophaven"}, args...), &out, &errs)
	return code, out.String(), errs.String()
}

// Guards against wrong uses of the command line that exit with success.
func TestExitCodes(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct {
		args []string
		want int
	}{
		{[]string{"version"}, ExitOK},
		{[]string{"frobnicate"}, ExitBadUsage},
		{[]string{"version", "--frobnicate"}, ExitBadUsage},
		{[]string{"check"}, ExitBadUsage},
		{[]string{"serve", "--config", "missing.toml"}, ExitFailure},
		{[]string{"dev", "--deployment", "nowhere"}, ExitFailure},
	} {
		code, _, _ := run(t, c.args...)
		is.Equal(code, c.want) // of the command's arguments
	}
}

// Guards against a check that prints only the findings of the first file.
func TestCheckPrintsFindingsOfBothFiles(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	config, table := filepath.Join(dir, "s.toml"), filepath.Join(dir, "t.toml")
	is.NoErr(os.WriteFile(config, []byte("[instance]\nid = 5\n"), 0o600))
	is.NoErr(os.WriteFile(table, []byte("[[row]]\nname = \"m\"\nkind = \"model\"\nweight = -1\n"), 0o600))
	code, out, _ := run(t, "check", "--config", config, "--table", table)
	is.Equal(code, ExitFailure)
	is.True(strings.Contains(out, config+":2:1: instance.id"))
	is.True(strings.Contains(out, table+":4:1: row.weight"))
}
