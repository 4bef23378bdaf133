package cli

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against running an invalid scenario, and against findings that are not
// printed.
func TestLoadReportsFindings(t *testing.T) {
	is := is.New(t)
	file := filepath.Join(t.TempDir(), "s.toml")
	is.NoErr(os.WriteFile(file, []byte("seed = 1\nduration = \"1s\"\nunknown = 2\n"), 0o600))
	var stdout, stderr bytes.Buffer
	is.Equal(Run(t.Context(), []string{"hyssophaven", "load", "--scenario", file}, &stdout, &stderr), ExitFailure)
	is.True(strings.Contains(stderr.String(), file+":3:1: unknown: unknown key"))
	is.True(strings.Contains(stderr.String(), "instances"))
	is.Equal(stdout.Len(), 0)
}
