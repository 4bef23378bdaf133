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

	// The program under test is built when the tests run. This makes its sources
	// part of what the test cache depends on.
	_ "github.com/hyssophaven/hyssophaven/cli"
	"github.com/hyssophaven/hyssophaven/internal/loopbacktest"
)

// patience only stops a hang; every awaited state is reached much earlier.
const patience = 40 * time.Second

// binary is the program under test, built once per run.
var binary string

func TestMain(m *testing.M) { os.Exit(run(m)) }

func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "hyssophaven-integration-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	binary = filepath.Join(dir, "hyssophaven")
	build := exec.Command("go", "build", "-o", binary, "github.com/hyssophaven/hyssophaven/cmd/hyssophaven")
	build.Stdout, build.Stderr = os.Stderr, os.Stderr
	if err := build.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "build the program:", err)
		return 1
	}
	return m.Run()
}

// process is one running program. It is killed at the end of its test.
type process struct {
	t    *testing.T
	name string
	log  string
	cmd  *exec.Cmd
	done chan struct{} // closed when the process has ended
}

func startProcess(t *testing.T, dir, name string, args ...string) *process {
	t.Helper()
	log := filepath.Join(dir, name+".log")
	output, err := os.OpenFile(log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		t.Fatal(err)
	}
	p := startProcessTo(t, output, name, args...)
	p.log = log
	return p
}

// startProcessTo starts a process whose output goes to a file or pipe, which it
// closes on this side.
func startProcessTo(t *testing.T, output *os.File, name string, args ...string) *process {
	t.Helper()
	p := &process{t: t, name: name, done: make(chan struct{})}
	p.cmd = exec.Command(binary, args...)
	p.cmd.Stdout, p.cmd.Stderr = output, output
	// The kernel ends the process if the test binary dies without cleaning up.
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
	t.Cleanup(p.end)
	return p
}

// end kills the process if it still runs, and shows the end of its log if the
// test failed.
func (p *process) end() {
	p.kill()
	if data, err := os.ReadFile(p.log); err == nil && p.t.Failed() {
		lines := strings.Split(strings.TrimSpace(string(data)), "\n")
		p.t.Logf("%s:\n%s", p.name, strings.Join(lines[max(0, len(lines)-60):], "\n"))
	}
}

// kill stops the process hard.
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

func (p *process) ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// processHost is the loopback address of the processes that need none of their own.
var processHost = sync.OnceValue(loopbacktest.Host)

// freeAddress returns an unused loopback address.
func freeAddress(t *testing.T) string {
	t.Helper()
	return loopbacktest.Address(t, processHost())
}

// waitFor polls until done reports true.
func waitFor(t *testing.T, what string, done func() bool) {
	t.Helper()
	for deadline := time.Now().Add(patience); !done(); time.Sleep(25 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("waited in vain for %s", what)
		}
	}
}

// waitNil polls until check returns nil.
func waitNil(t *testing.T, what string, check func() error) {
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
		if p.ended() {
			t.Fatalf("%s has ended", p.name)
		}
		conn, err := net.DialTimeout("tcp", address, time.Second)
		if err == nil {
			_ = conn.Close()
		}
		return err == nil
	})
}
