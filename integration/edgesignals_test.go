//go:build linux

package integration

import (
	"net/http"
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/matryer/is"

	"github.com/hyssophaven/hyssophaven/internal/loopbacktest"
	"github.com/hyssophaven/hyssophaven/platform"
	"github.com/hyssophaven/hyssophaven/platform/platformtest"
)

// Guards against an instance that SIGHUP ends while it starts. A pipe in place of the
// settings file holds the start.
func TestReloadDuringStartDoesNotEndInstance(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := startEdgeFleet(t, 0)
	host := loopbacktest.Host()
	settings := platformtest.NodeSettings{
		Name: "edge-0", Zone: "z1", Host: host, Callers: loopbacktest.Address(t, host), Readiness: loopbacktest.Address(t, host), Store: f.Store.Address(),
	}
	file, pipe := filepath.Join(f.dir, "settings.json"), filepath.Join(f.dir, "pipe")
	is.NoErr(settings.WriteFile(file))
	content, err := os.ReadFile(file)
	is.NoErr(err)
	is.NoErr(syscall.Mkfifo(pipe, 0o600))
	p := startProcess(t, f.dir, settings.Name, "edge", "--node-file", pipe)
	var writer *os.File
	waitFor(t, "the process to open the pipe", func() bool {
		writer, err = os.OpenFile(pipe, os.O_WRONLY|syscall.O_NONBLOCK, 0) // fails without a reader
		return err == nil
	})
	p.signal(syscall.SIGHUP)
	_, writeErr := writer.Write(content)
	is.NoErr(os.Rename(file, pipe)) // the reload reads the settings again
	is.NoErr(writer.Close())
	waitFor(t, "the instance to be ready or to end", func() bool {
		status, _ := f.caller.Get("http://" + settings.Readiness + platform.ReadinessPath)
		return status == http.StatusOK || p.hasEnded()
	})
	is.True(!p.hasEnded())
	is.NoErr(writeErr)
}
