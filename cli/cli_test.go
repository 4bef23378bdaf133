package cli

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/hyssophaven/hyssophaven/platform/platformtest"
)

func run(t *testing.T, args ...string) (code int, stdout, stderr string) {
	t.Helper()
	var out, errs bytes.Buffer
	code = Run(t.Context(), append([]string{"hyssophaven"}, args...), &out, &errs)
	return code, out.String(), errs.String()
}

// Guards against command lines that exit with the wrong code.
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
		{[]string{"check", "--in-force", "old.json"}, ExitBadUsage},
		{[]string{"serve", "--config", "missing.toml"}, ExitFailure},
		{[]string{"dev", "--deployment", "nowhere"}, ExitFailure},
	} {
		code, _, _ := run(t, c.args...)
		is.Equal(code, c.want) // exit code
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

const nodeSettings = `{
  "node-name": "n", "ip": "10.0.0.1", "zone": "z",
  "listen": {"front": "10.0.0.1:8000", "ready": "nowhere"},
  "inner-ports": [7380, 7395],
  "limits": {"memory-mb": 284},
  "platform": {"address": "10.0.0.9:80"},
  "bounds": {
    "grace-s": 8, "lease-ms": 100, "budget-ratio": 0.2,
    "budget-window-s": 10, "ceiling-window-s": 5
  }
}`

// Guards against findings in the platform's settings that lack their line
// number, and against unattainable bounds that pass the check.
func TestCheckNodeFile(t *testing.T) {
	is := is.New(t)
	file := filepath.Join(t.TempDir(), "node.json")
	is.NoErr(os.WriteFile(file, []byte(nodeSettings), 0o600))
	code, out, _ := run(t, "check", "--node-file", file)
	is.Equal(code, ExitFailure)
	is.True(strings.Contains(out, file+":3:"))
	is.True(strings.Contains(out, "listen.ready"))
	is.NoErr(os.WriteFile(file, []byte(strings.Replace(nodeSettings, "nowhere", "10.0.0.1:8001", 1)), 0o600))
	code, out, _ = run(t, "check", "--node-file", file)
	is.Equal(code, ExitFailure)
	is.True(strings.Contains(out, file+":8:"))
	is.True(strings.Contains(out, "bounds.lease-ms: is 100ms"))
	is.NoErr(os.WriteFile(file, []byte("{\n\"ip\": 5}"), 0o600))
	_, out, _ = run(t, "check", "--node-file", file)
	is.True(strings.Contains(out, file+":2:"))
}

// Guards against findings about the config that the tests of instances use, against
// differences that count as findings, and against output that is not one JSON object.
func TestCheckPlatformConfig(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	write := func(name string, config []byte) string {
		path := filepath.Join(dir, name)
		is.NoErr(os.WriteFile(path, config, 0o600))
		return path
	}
	old, next := write("old.json", platformtest.Config(1, "")), write("new.json", platformtest.Config(2, ""))
	code, out, _ := run(t, "check", "--platform-config", next, "--in-force", old)
	is.Equal(code, ExitOK)
	is.Equal(out, "no findings\nversion changed from 1 to 2\n")
	code, out, _ = run(t, "check", "--platform-config", old, "--in-force", next, "--json")
	is.Equal(code, ExitFailure)
	var result struct {
		Findings    []findingRecord
		Differences []string
	}
	is.NoErr(json.Unmarshal([]byte(out), &result))
	is.Equal(result.Differences, []string{"version changed from 2 to 1"})
	is.Equal(len(result.Findings), 1)
	is.Equal(result.Findings[0].Key, "version")
	is.Equal(result.Findings[0].Line, 1)
}

// Guards against deploy files that pass the check although they start another
// program or name a metrics address that the processes don't serve.
func TestCheckDeployFile(t *testing.T) {
	is := is.New(t)
	const shipped = "../deploy/system.toml"
	code, out, _ := run(t, "check", "--deploy-file", shipped)
	is.Equal(out, "no findings\n")
	is.Equal(code, ExitOK)
	good, err := os.ReadFile(shipped)
	is.NoErr(err)
	file := filepath.Join(t.TempDir(), "system.toml")
	for old, new := range map[string]string{
		"9464/metrics": "9465/metrics", "hyssophaven edge": "hyssophaven serve", "target/hyssophaven": "bin/hyssophaven",
		"share = 1.0": "share = 2.0", `serves = ["edge"]`: `serves = ["callers"]`, "-o target/": "-o bin/", "[roles.edge]": "[role]", "on = ": "class = ",
	} {
		is.NoErr(os.WriteFile(file, []byte(strings.Replace(string(good), old, new, 1)), 0o600))
		code, out, _ := run(t, "check", "--deploy-file", file)
		is.Equal(code, ExitFailure)
		is.True(strings.HasPrefix(out, file+":")) // position of the finding
	}
}
