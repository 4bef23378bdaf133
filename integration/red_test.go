//go:build linux

package integration

import (
	"os"
	"strings"
	"testing"
)

// skipKnownRed skips the test if KNOWN-RED.txt lists it, unless HYSSOPHAVEN_RUN_RED
// is 1. An entry starts with a line "package.TestName"; its other lines are indented.
func skipKnownRed(t *testing.T) {
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
