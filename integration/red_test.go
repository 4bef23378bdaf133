//go:build linux

package integration

import (
	"os"
	"strings"
	"testing"
)

// knownRed skips a test that KNOWN-RED.txt lists, unless HYSSOPHAVEN_RUN_RED=1.
// An entry begins with a line "package.TestName"; further lines are indented.
func knownRed(t *testing.T) {
	t.Helper()
	data, err := os.ReadFile("../KNOWN-RED.txt")
	if os.IsNotExist(err) || os.Getenv("HYSSOPHAVEN_RUN_RED") == "1" {
		return
	}
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(data)) {
		if strings.TrimSpace(line) == "integration."+t.Name() {
			t.Skip("listed in KNOWN-RED.txt")
		}
	}
}
