package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/charmbracelet/log"
	"github.com/urfave/cli/v3"

	"github.com/hyssophaven/hyssophaven/daemon"
	"github.com/hyssophaven/hyssophaven/dev"
	"github.com/hyssophaven/hyssophaven/settings"
)

func newLogger(w io.Writer, level string) *log.Logger {
	l := log.NewWithOptions(w, log.Options{ReportTimestamp: true, TimeFormat: time.RFC3339})
	if parsed, err := log.ParseLevel(level); err == nil {
		l.SetLevel(parsed)
	}
	return l
}

func configFlag() cli.Flag {
	return &cli.StringFlag{Name: "config", Usage: "read settings from `FILE`", Required: true}
}

func serveCommand() *cli.Command {
	return &cli.Command{
		Name:  "serve",
		Usage: "serve as one entry instance until SIGTERM, then shut down gracefully",
		Flags: []cli.Flag{configFlag()},
		Action: func(ctx context.Context, c *cli.Command) error {
			s, err := settings.Load(c.String("config"))
			if err != nil {
				return err
			}
			instance, err := daemon.New(s, newLogger(os.Stderr, s.Log.Level).With("instance", s.Instance.ID))
			if err != nil {
				return err
			}
			if err := instance.Start(ctx); err != nil {
				return err
			}
			<-ctx.Done()
			return instance.Stop(context.WithoutCancel(ctx))
		},
	}
}

func devCommand() *cli.Command {
	return &cli.Command{
		Name:  "dev",
		Usage: "run a whole small deployment on loopback until SIGINT or SIGTERM",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "deployment", Value: "ladang-petik", Usage: "sample deployment: ladang-petik or tsagaan-nuur"},
			&cli.StringFlag{Name: "listen", Value: "127.0.0.1:8080", Usage: "callers' `ADDRESS` of the first instance; the others get free ports"},
			&cli.IntFlag{Name: "instances", Value: 3, Usage: "number of entry instances"},
			&cli.StringFlag{Name: "log-level", Value: "warn", Usage: "debug, info, warn or error"},
			&cli.StringFlag{Name: "policy", Value: "rank", Usage: "admission policy: rank, round-robin or least-loaded"},
			&cli.StringFlag{Name: "placement", Value: "adaptive", Usage: "placement: adaptive, static or greedy"},
		},
		Action: runDev,
	}
}

func runDev(ctx context.Context, c *cli.Command) error {
	d, ok := dev.Deployments()[c.String("deployment")]
	if !ok {
		return fmt.Errorf("unknown deployment %q: want ladang-petik or tsagaan-nuur", c.String("deployment"))
	}
	r, err := dev.Start(ctx, dev.Options{
		Deployment: d, Instances: c.Int("instances"), Listen: c.String("listen"),
		Log: newLogger(c.Root().ErrWriter, c.String("log-level")),
		ConfigureSettings: func(s *settings.Settings) {
			s.Admission.Policy, s.Admission.Placement = c.String("policy"), c.String("placement")
		},
	})
	if err != nil {
		return err
	}
	if err := printDeployment(c.Root().Writer, r); err != nil {
		return err
	}
	// Loading the first models takes seconds. A signal ends the wait.
	if r.WaitFirstRoutable(ctx) == nil {
		err = printExample(c.Root().Writer, r)
	}
	<-ctx.Done()
	return errors.Join(err, r.Stop(context.WithoutCancel(ctx)))
}

func printDeployment(w io.Writer, r *dev.Running) error {
	d := r.Options.Deployment
	_, err := fmt.Fprintf(w, "%s: %d entry instances, %d model replicas, %d models, %d adapters, %d %s replicas\n\n",
		d.Name, len(r.Instances), d.Replicas, d.Models, d.Adapters, d.ServiceEndpoints, d.ServicePool)
	if err != nil {
		return err
	}
	for _, i := range r.Instances {
		self := i.Self()
		if _, err := fmt.Fprintf(w, "  %-24s callers http://%s  operators http://%s\n", self.ID, self.CallerAddress, self.OperatorAddress); err != nil {
			return err
		}
	}
	_, err = fmt.Fprintf(w, "\noperator token: %s\n", r.OperatorToken)
	return err
}

func printExample(w io.Writer, r *dev.Running) error {
	first := r.Instances[0].Self()
	_, err := fmt.Fprintf(w, `
try:
  curl -s http://%s/v1/chat/completions -H 'Content-Type: application/json' \
    -d '{"model":"%s","messages":[{"role":"user","content":"Is Saturday free?"}],"max_tokens":16}'
  hyssophaven status --operator http://%s --token %s

SIGINT or SIGTERM stops the deployment.
`, first.CallerAddress, r.Options.Deployment.Work[0].Name, first.OperatorAddress, r.OperatorToken)
	return err
}
