// Command harness plays the script cases of the review. It starts the project's program as
// separate processes and plays consumers, replicas and the platform around them.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	ruleHeld   = 0
	ruleBroken = 1
	notPlayed  = 2
)

// maxCaseTime ends a case that hangs.
const maxCaseTime = 110 * time.Second

// play is one play of a case.
type play struct {
	*record
	dir       string // temporary folder
	trouble   bool
	store     *store
	instances []*instance
}

var cases = map[string]func(*play) (broken bool, err error){
	"one":    playOne,
	"silent": playSilent,
	"extra":  playExtra,
	"drain":  playDrain,
	"twice":  playTwice,
}

func main() { os.Exit(playCase()) }

func playCase() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness CASE FOLDER")
		return notPlayed
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notPlayed
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notPlayed
	}
	p := &play{record: rec, dir: dir, trouble: os.Getenv("TROUBLE") != "0"}
	type outcome struct {
		broken bool
		err    error
	}
	done := make(chan outcome, 1)
	go func() {
		broken, err := cases[os.Args[1]](p)
		done <- outcome{broken, err}
	}()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	var o outcome
	select {
	case o = <-done:
	case <-time.After(maxCaseTime):
		o.err = fmt.Errorf("not over after %s", maxCaseTime)
	case <-stop:
		o.err = fmt.Errorf("stopped by a signal")
	}
	for _, i := range p.instances {
		i.kill()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(dir)
	} else {
		fmt.Println("logs:", dir)
	}
	switch {
	case o.err != nil:
		p.say("the case couldn't run: %v", o.err)
		return notPlayed
	case o.broken:
		p.say("BROKEN")
		return ruleBroken
	}
	p.say("HELD")
	return ruleHeld
}

// startInstances starts n instances in the zones of the deployment, and waits until they
// are ready.
func (p *play) startInstances(n int, storeAddress string) error {
	zones := []string{"kul-a", "kul-b", "kul-c"}
	for k := range n {
		i, err := newInstance(p.dir, k+1, zones[k%len(zones)], storeAddress)
		if err != nil {
			return err
		}
		if err := i.start(); err != nil {
			return err
		}
		p.instances = append(p.instances, i)
	}
	return waitReady(p.instances, 10*time.Second)
}
