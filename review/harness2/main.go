// Command harness2 plays the scripted cases of the second review against edge instances
// that run as separate processes, on loopback addresses and the real clock.
//
// It exits with 1 if the rule of the case was broken, 0 if it held, and 2 if the case could
// not run.
package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// cases are the scripted cases by name. Each returns whether the rule was broken.
var cases = map[string]func(*deployment) bool{}

// deployment is what a case runs against.
type deployment struct {
	dir     string // for temporary files
	program string // the binary of the deploy file
	host    string // prefix of loopback addresses, such as "127.43.7."
	trouble bool   // the disruption is played
}

// maxRunTime is the time after which a case is given up.
const maxRunTime = 118 * time.Second

var record struct {
	sync.Mutex
	file  *os.File
	began time.Time
}

// recordf writes a line to the record of the case.
func recordf(format string, args ...any) {
	record.Lock()
	defer record.Unlock()
	fmt.Fprintf(record.file, "%8.3f s  %s\n", time.Since(record.began).Seconds(), fmt.Sprintf(format, args...))
}

// cannotRun ends the program because the case could not run.
func cannotRun(what string, err error) {
	fmt.Fprintf(os.Stderr, "cannot run: %s: %v\n", what, err)
	os.Exit(2)
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness2 CASE PROGRAM RECORD")
		os.Exit(2)
	}
	var err error
	if record.file, err = os.Create(os.Args[3]); err != nil {
		cannotRun("create the record", err)
	}
	record.began = time.Now()
	dir, err := os.MkdirTemp("", "hyssophaven-review-")
	if err != nil {
		cannotRun("create a temporary folder", err)
	}
	pid := os.Getpid()
	d := &deployment{dir: dir, program: os.Args[2], trouble: os.Getenv("TROUBLE") != "0", host: fmt.Sprintf("127.%d.%d.", 1+pid/250%250, pid%250)}
	time.AfterFunc(maxRunTime, func() { cannotRun("end in time", fmt.Errorf("the case takes more than %v", maxRunTime)) })
	broken := cases[os.Args[1]](d)
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(dir)
	} else {
		fmt.Fprintln(os.Stderr, dir)
	}
	recordf("broken: %v", broken)
	if broken {
		os.Exit(1)
	}
}
