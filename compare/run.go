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

// Policy holds the names of an admission policy and a placement policy, as in the
// settings.
type Policy struct {
	Admission string
	Placement string
}

// String returns both names, separated by a slash.
func (p Policy) String() string { return p.Admission + "/" + p.Placement }

// Policies returns hyssophaven's default policy, followed by the baselines.
func Policies() []Policy {
	return []Policy{{"rank", "adaptive"}, {"rank", "greedy"}, {"round-robin", "static"}, {"least-loaded", "static"}}
}

// Options selects the runs of a measurement.
type Options struct {
	Deployment        dev.Deployment
	Cases             []Case
	Policies          []Policy
	Seeds             []uint64
	Instances         int
	MaxConcurrentRuns int // limit of deployments that run concurrently; 0 means 1
	Progress          io.Writer
}

// Run is one measured run of a case, with its result.
type Run struct {
	Case         Case
	Policy       Policy
	Seed         uint64
	Result       *load.Result
	PlannedMoves int64 // additions and removals on replicas that were planned while the load ran
	// RecoveryTime is the time from eventStart to the end of the last second in
	// which less than 99% of the urgent requests were attained. It is negative if
	// they were below 99% in the last second of the run.
	RecoveryTime time.Duration
	Err          error
}

// Measure runs every case under every policy with every seed. The error of a
// failed run is in Run.Err.
func Measure(ctx context.Context, o Options) []Run {
	var runs []Run
	for _, c := range o.Cases {
		for _, seed := range o.Seeds {
			for _, p := range o.Policies {
				runs = append(runs, Run{Case: c, Policy: p, Seed: seed})
			}
		}
	}
	semaphore := make(chan struct{}, max(1, o.MaxConcurrentRuns))
	var wg sync.WaitGroup
	for i := range runs {
		semaphore <- struct{}{}
		wg.Go(func() {
			defer func() { <-semaphore }()
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
		ConfigureEngine: configureEngine, ConfigureSettings: r.applyPolicy,
	})
	if err != nil {
		return err
	}
	defer func() { _ = d.Stop(context.WithoutCancel(ctx)) }()
	if err := d.WaitRoutable(ctx); err != nil {
		return err
	}
	var urls []string
	for _, i := range d.Instances {
		urls = append(urls, "http://"+i.Self().CallerAddress)
	}
	before := plannedMoves(d)
	if r.Case.dataCentreLoss {
		timer := time.AfterFunc(eventStart, func() { stopDataCentre(d) })
		defer timer.Stop()
	}
	r.Result, err = load.Run(ctx, newScenario(r.Case, o.Deployment, r.Seed, urls), load.Options{Check: newAnswerCheck(o.Deployment)})
	r.PlannedMoves = plannedMoves(d) - before
	if err != nil {
		return err
	}
	r.RecoveryTime = recoveryTime(r.Result)
	return nil
}

func (r *Run) applyPolicy(s *settings.Settings) {
	s.Admission.Policy, s.Admission.Placement = r.Policy.Admission, r.Policy.Placement
}

// plannedMoves returns the number of additions and removals on replicas that all
// instances have planned.
func plannedMoves(d *dev.Running) int64 {
	var n int64
	for _, i := range d.Instances {
		changes, _ := i.Vars().Get("changes").(*expvar.Map)
		if v, ok := changes.Get("move planned").(*expvar.Int); ok {
			n += v.Value()
		}
	}
	return n
}

// stopDataCentre stops all engines in the deployment's last data centre and
// removes them from the platform's list.
func stopDataCentre(d *dev.Running) {
	centres := d.Options.Deployment.DataCentres
	stopped := centres[len(centres)-1]
	for n, e := range d.Engines {
		if centres[n%len(centres)] == stopped {
			e.Close()
			d.Platform.RemoveEndpoint(fleet.EndpointID(d.EngineID(n)))
		}
	}
}

// recoveryTime computes Run.RecoveryTime. It also returns -1 if the result has no
// urgent requests.
func recoveryTime(r *load.Result) time.Duration {
	for _, rank := range r.Ranks {
		if rank.Rank != fleet.Urgent.String() {
			continue
		}
		last := int(eventStart / time.Second)
		for n, s := range rank.Seconds {
			if n >= last && float64(s.Attained) < 0.99*float64(s.Sent) {
				last = n + 1
			}
		}
		if last >= len(rank.Seconds) {
			return -1
		}
		return time.Duration(last)*time.Second - eventStart
	}
	return -1
}

func (r *Run) summary() string {
	if r.Err != nil {
		return "failed: " + r.Err.Error()
	}
	text := fmt.Sprintf("%d moves", r.PlannedMoves)
	for _, rank := range r.Result.Ranks {
		text += fmt.Sprintf(", %s %.1f%% of %d %v p99 %.0f ms", rank.Rank, 100*rank.Attainment, rank.Sent, rank.Codes, rank.FirstToken.P99)
	}
	return text
}
