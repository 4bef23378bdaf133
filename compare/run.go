package compare

import (
	"context"
	"expvar"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/hyssophaven/hyssophaven/dev"
	"github.com/hyssophaven/hyssophaven/fleet"
	"github.com/hyssophaven/hyssophaven/load"
	"github.com/hyssophaven/hyssophaven/settings"
)

// Policy is one way of admission and placement, as named in the settings.
type Policy struct {
	Admission string
	Placement string
}

// String returns both names.
func (p Policy) String() string { return p.Admission + "/" + p.Placement }

// Policies returns hyssophaven's own policy and the baselines.
func Policies() []Policy {
	return []Policy{{"rank", "adaptive"}, {"rank", "greedy"}, {"round-robin", "static"}, {"least-loaded", "static"}}
}

// Options select what is measured.
type Options struct {
	Deployment dev.Deployment
	Cases      []Case
	Policies   []Policy
	Seeds      []uint64
	Instances  int
	Parallel   int // deployments at a time
	Progress   io.Writer
}

// Run is one measured run.
type Run struct {
	Case   Case
	Policy Policy
	Seed   uint64
	Result *load.Result
	Moves  int64 // planned while the load ran
	// Recovered is the time from the event to the first second after which at
	// least 99% of the urgent requests were attained to the end; negative if never.
	Recovered time.Duration
	Err       error
}

// Measure runs every case under every policy with every seed. Runs that fail
// carry their error.
func Measure(ctx context.Context, o Options) []Run {
	var runs []Run
	for _, c := range o.Cases {
		for _, seed := range o.Seeds {
			for _, p := range o.Policies {
				runs = append(runs, Run{Case: c, Policy: p, Seed: seed})
			}
		}
	}
	places := make(chan struct{}, max(1, o.Parallel))
	var wg sync.WaitGroup
	for i := range runs {
		places <- struct{}{}
		wg.Go(func() {
			defer func() { <-places }()
			runs[i].Err = runs[i].measure(ctx, o)
			fmt.Fprintf(o.Progress, "%s, %s, seed %d: %s\n", runs[i].Case.Name, runs[i].Policy, runs[i].Seed, runs[i].summary())
		})
	}
	wg.Wait()
	return runs
}

func (r *Run) measure(ctx context.Context, o Options) error {
	d, err := dev.Start(ctx, dev.Options{
		Deployment: o.Deployment, Instances: o.Instances, Log: log.New(io.Discard),
		Engine: engineConfig, Settings: r.settings,
	})
	if err != nil {
		return err
	}
	defer func() { _ = d.Stop(context.WithoutCancel(ctx)) }()
	if err := d.WaitReachable(ctx); err != nil {
		return err
	}
	var urls []string
	for _, i := range d.Instances {
		urls = append(urls, "http://"+i.Self().CallerAddress)
	}
	before := moves(d)
	if r.Case.lose {
		timer := time.AfterFunc(eventAt, func() { loseDataCentre(d) })
		defer timer.Stop()
	}
	r.Result, err = load.Run(ctx, scenario(r.Case, o.Deployment, r.Seed, urls), load.Options{Check: answerCheck(o.Deployment)})
	r.Moves = moves(d) - before
	if err != nil {
		return err
	}
	r.Recovered = recovery(r.Result)
	return nil
}

func (r *Run) settings(s *settings.Settings) {
	s.Admission.Policy, s.Admission.Placement = r.Policy.Admission, r.Policy.Placement
}

// moves returns the moves that all instances have planned so far.
func moves(d *dev.Running) int64 {
	var n int64
	for _, i := range d.Instances {
		changes, _ := i.Vars().Get("changes").(*expvar.Map)
		if v, ok := changes.Get("move planned").(*expvar.Int); ok {
			n += v.Value()
		}
	}
	return n
}

// loseDataCentre ends all engines of the deployment's last data centre and
// takes them off the platform's list.
func loseDataCentre(d *dev.Running) {
	centres := d.Options.Deployment.DataCentres
	lost := centres[len(centres)-1]
	for n, e := range d.Engines {
		if centres[n%len(centres)] == lost {
			e.Close()
			d.Platform.RemoveEndpoint(fleet.EndpointID(d.EngineID(n)))
		}
	}
}

// recovery looks for the last second after the event in which less than 99% of
// the urgent requests were attained.
func recovery(r *load.Result) time.Duration {
	for _, rank := range r.Ranks {
		if rank.Rank != fleet.Urgent.String() {
			continue
		}
		last := int(eventAt / time.Second)
		for n, s := range rank.Seconds {
			if n >= last && float64(s.Attained) < 0.99*float64(s.Sent) {
				last = n + 1
			}
		}
		if last >= len(rank.Seconds) {
			return -1
		}
		return time.Duration(last)*time.Second - eventAt
	}
	return -1
}

func (r *Run) summary() string {
	if r.Err != nil {
		return "failed: " + r.Err.Error()
	}
	text := fmt.Sprintf("%d moves", r.Moves)
	for _, rank := range r.Result.Ranks {
		text += fmt.Sprintf(", %s %.1f%% of %d %v p99 %.0f ms", rank.Rank, 100*rank.Attainment, rank.Sent, rank.Codes, rank.FirstToken.P99)
	}
	return text
}
