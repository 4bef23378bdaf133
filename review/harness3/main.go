// Command harness3 runs the scripted cases of the third independent review. It starts the
// project's own program (target/hyssophaven edge) as separate processes on loopback
// addresses and plays the store, the replicas and the clients itself. It needs nothing but
// the standard library.
//
//	harness3 CASE PROGRAM RECORD
//
// PROGRAM is the path of the hyssophaven binary and RECORD the file to write. The
// environment variable TROUBLE=0 leaves the disruption out. The exit status is 1 if the rule
// was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// Exit statuses of a case.
const (
	held      = 0
	broken    = 1
	cannotRun = 2
)

// maxTime limits a case. The processes are ended after it.
const maxTime = 110 * time.Second

// testCase is one scripted case. It returns an exit status.
type testCase func(w *world) int

var cases = map[string]testCase{}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness3 CASE PROGRAM RECORD")
		os.Exit(cannotRun)
	}
	record, err := newRecorder(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(cannotRun)
	}
	w, err := newWorld(os.Args[2], record, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(cannotRun)
	}
	var once sync.Once
	exit := func(status int) {
		once.Do(func() {
			w.close()
			record.add("result: %s", map[int]string{held: "the rule held", broken: "the rule was broken", cannotRun: "the case could not run"}[status])
			record.close()
			os.Exit(status)
		})
	}
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	go func() {
		select {
		case <-interrupted:
		case <-time.After(maxTime):
			record.add("the time of the case is over")
		}
		exit(cannotRun)
	}()
	exit(cases[os.Args[1]](w))
}

// recorder writes the record of a case: what was sent, answered and run.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecorder(path string) (*recorder, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{file: f, start: time.Now()}, nil
}

func (r *recorder) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

func (r *recorder) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.file.Close()
}
