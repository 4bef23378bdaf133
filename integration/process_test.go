//go:build linux

package integration

import (
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	// TestMain builds the program under test. This import invalidates cached test
	// results when the sources of the program change.
	_ "github.com/hyssophaven/hyssophaven/cli"
	"github.com/hyssophaven/hyssophaven/internal/loopbacktest"
)

// waitTimeout ends a wait that hangs. Every awaited state is normally reached much
// earlier.
const waitTimeout = 40 * time.Second

// binaryPath is the path of the program under test, which TestMain builds.
var binaryPath string

func TestMain(m *testing.M) { os.Exit(buildAndRun(m)) }

// buildAndRun builds the program under test, runs the tests and returns the exit code.
func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "hyssophaven-integration-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	binaryPath = filepath.Join(dir, "hyssophaven")
	build := exec.Command("go", "build", "-o", binaryPath, "github.com/hyssophaven/hyssophaven/cmd/hyssophaven")
	build.Stdout, build.Stderr = os.Stderr, os.Stderr
	if err := build.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "build the program:", err)
		return 1
	}
	return m.Run()
}

// process is a run of the program under test. It is killed when its test ends.
type process struct {
	t       *testing.T
	name    string
	logFile string
	cmd     *exec.Cmd
	done    chan struct{} // closed when the process has exited
}

func startProcess(t *testing.T, dir, name string, args ...string) *process {
	t.Helper()
	log := filepath.Join(dir, name+".log")
	output, err := os.OpenFile(log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		t.Fatal(err)
	}
	p := startProcessWithOutput(t, output, name, args...)
	p.logFile = log
	return p
}

// startProcessWithOutput starts a process that writes to a file or pipe, and closes
// the test's own handle of output.
func startProcessWithOutput(t *testing.T, output *os.File, name string, args ...string) *process {
	t.Helper()
	p := &process{t: t, name: name, done: make(chan struct{})}
	p.cmd = exec.Command(binaryPath, args...)
	p.cmd.Stdout, p.cmd.Stderr = output, output
	// The kernel kills the process if the test binary exits without cleanup.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	err := p.cmd.Start()
	_ = output.Close()
	if err != nil {
		t.Fatalf("start %s: %v", name, err)
	}
	go func() {
		_ = p.cmd.Wait()
		close(p.done)
	}()
	t.Cleanup(p.cleanUp)
	return p
}

// cleanUp kills the process if it is still running, and logs the last lines of its
// output if the test failed.
func (p *process) cleanUp() {
	p.kill()
	if data, err := os.ReadFile(p.logFile); err == nil && p.t.Failed() {
		lines := strings.Split(strings.TrimSpace(string(data)), "\n")
		p.t.Logf("%s:\n%s", p.name, strings.Join(lines[max(0, len(lines)-60):], "\n"))
	}
}

// kill sends SIGKILL and waits until the process has exited.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

func (p *process) pause()     { p.signal(syscall.SIGSTOP) }
func (p *process) resume()    { p.signal(syscall.SIGCONT) }
func (p *process) terminate() { p.signal(syscall.SIGTERM) }

func (p *process) signal(s syscall.Signal) {
	if err := p.cmd.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		p.t.Errorf("signal %s: %v", p.name, err)
	}
}

func (p *process) hasEnded() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// sharedHost returns the loopback address that all processes share unless they need
// one of their own.
var sharedHost = sync.OnceValue(loopbacktest.Host)

// freeAddress returns an unused address on sharedHost.
func freeAddress(t *testing.T) string {
	t.Helper()
	return loopbacktest.Address(t, sharedHost())
}

// waitFor polls until condition returns true, and fails the test after waitTimeout.
func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(waitTimeout); !condition(); time.Sleep(25 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting for %s", what)
		}
	}
}

// waitNoError polls until check returns nil. On a timeout, it logs the last error.
func waitNoError(t *testing.T, what string, check func() error) {
	t.Helper()
	var err error
	defer func() {
		if err != nil {
			t.Logf("%s: %v", what, err)
		}
	}()
	waitFor(t, what, func() bool { err = check(); return err == nil })
}

func waitListening(t *testing.T, p *process, address string) {
	t.Helper()
	waitFor(t, p.name+" to listen", func() bool {
		if p.hasEnded() {
			t.Fatalf("%s has exited", p.name)
		}
		conn, err := net.DialTimeout("tcp", address, time.Second)
		if err == nil {
			_ = conn.Close()
		}
		return err == nil
	})
}
