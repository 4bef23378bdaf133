package cli

import (
	"context"
	"fmt"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/hyssophaven/hyssophaven/backing/backinghttp"
	"github.com/hyssophaven/hyssophaven/standin"
	standinengine "github.com/hyssophaven/hyssophaven/standin/engine"
	standinplatform "github.com/hyssophaven/hyssophaven/standin/platform"
	standinservice "github.com/hyssophaven/hyssophaven/standin/service"
)

func standinCommand() *cli.Command {
	return &cli.Command{
		Name:     "standin",
		Usage:    "serve a stand-in of an outside system for tests",
		Commands: []*cli.Command{standinPlatformCommand(), standinEngineCommand(), standinServiceCommand()},
	}
}

func listenFlag() cli.Flag {
	return &cli.StringFlag{Name: "listen", Value: "127.0.0.1:0", Usage: "serve on `HOST:PORT`; port 0 picks a free port"}
}

func idFlag(id string) cli.Flag {
	return &cli.StringFlag{Name: "id", Value: id, Usage: "name of the replica"}
}

func seedFlag() cli.Flag {
	return &cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of faults that happen by chance"}
}

func tokenFlag() cli.Flag {
	return &cli.StringFlag{Name: "bearer-token", Usage: "require this bearer token of callers", Sources: cli.EnvVars("HYSSOPHAVEN_STANDIN_TOKEN")}
}

func durationFlag(name string, value time.Duration, usage string) cli.Flag {
	return &cli.DurationFlag{Name: name, Value: value, Usage: usage}
}

func intFlag(name string, value int, usage string) cli.Flag {
	return &cli.IntFlag{Name: name, Value: value, Usage: usage}
}

// serveStandin serves backend until ctx ends and prints its address.
func serveStandin(ctx context.Context, c *cli.Command, backend standin.Backend) error {
	return standin.Serve(ctx, "standin/"+c.Name, backend, c.String("listen"), func(address string) error {
		_, err := fmt.Fprintf(c.Root().Writer, "%s listening on %s\n", c.Name, address)
		return err
	})
}

func standinPlatformCommand() *cli.Command {
	return &cli.Command{
		Name:  "platform",
		Usage: "table service, object store, instance list and weight store, in memory",
		Flags: []cli.Flag{
			listenFlag(), seedFlag(), tokenFlag(),
			durationFlag("list-lag", 2*time.Second, "age of what the instance list shows"),
			&cli.FloatFlag{Name: "loads-per-second", Value: 1.5, Usage: "model loads that may start per second; 0 means no limit"},
			intFlag("loads", 10, "model loads in transit at full speed; 0 means no limit"),
			intFlag("adapter-loads", 90, "adapter loads in transit at full speed; 0 means no limit"),
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			return serveStandin(ctx, c, standinplatform.New(standinplatform.Config{
				ListLag: c.Duration("list-lag"),
				Weights: standinplatform.WeightConfig{
					ModelLoadsPerSecond: c.Float("loads-per-second"), ModelLoadsAtFullSpeed: c.Int("loads"), AdapterLoadsAtFullSpeed: c.Int("adapter-loads"),
				},
				BearerToken: c.String("bearer-token"),
				Seed:        c.Uint64("seed"),
			}))
		},
	}
}

func standinEngineFlags() []cli.Flag {
	return []cli.Flag{
		listenFlag(), idFlag("engine-1"), seedFlag(), tokenFlag(),
		&cli.StringFlag{Name: "weights", Usage: "load from the weight store of the platform at `HOST:PORT`"},
		&cli.StringFlag{Name: "weights-token", Usage: "bearer token for the weight store", Sources: cli.EnvVars("HYSSOPHAVEN_WEIGHTS_TOKEN")},
		intFlag("memory-mb", 80_000, "accelerator memory"),
		intFlag("slots", 16, "sequences that run at once"),
		intFlag("max-waiting", 1024, "requests that may wait for a slot"),
		durationFlag("decode-step", 5*time.Millisecond, "fixed time of a step"),
		durationFlag("decode-per-sequence", 200*time.Microsecond, "time of a step per running sequence"),
		durationFlag("prefill-per-token", 20*time.Microsecond, "time per prompt token"),
		intFlag("cache-prefixes", 256, "prompt prefixes in the cache"),
		durationFlag("cache-event-delay", time.Second, "how late cache events are published"),
		&cli.FloatFlag{Name: "cache-event-loss", Value: 0.05, Usage: "chance that a cache event is not published"},
		durationFlag("report-every", 500*time.Millisecond, "interval between load reports"),
		durationFlag("report-lag", time.Second, "age at which a load report is published"),
		durationFlag("model-load-time", time.Second, "load of a model at full speed"),
		durationFlag("adapter-load-time", 5*time.Millisecond, "load of an adapter at full speed"),
		durationFlag("unload-time", 100*time.Millisecond, "time that memory is held after the last request"),
		&cli.BoolFlag{Name: "checks-tokens", Usage: "refuse orders with an old fencing token"},
		&cli.BoolFlag{Name: "cuts-on-unload", Usage: "cut the requests of an unloaded entry"},
		&cli.BoolFlag{Name: "refuses-overcommit", Usage: "refuse loads that do not fit into memory"},
		&cli.BoolFlag{Name: "pauses-lower-ranks", Usage: "pause requests of lower ranks for waiting ones"},
		&cli.StringFlag{Name: "poison", Usage: "crash when a prompt contains `TEXT`"},
		durationFlag("restart-delay", time.Second, "time between a crash and the next boot"),
	}
}

func standinEngineCommand() *cli.Command {
	return &cli.Command{
		Name:  "engine",
		Usage: "a model engine that generates repeatable text",
		Flags: standinEngineFlags(),
		Action: func(ctx context.Context, c *cli.Command) error {
			config := standinEngineConfig(c)
			if address := c.String("weights"); address != "" {
				client := backinghttp.NewClient(address, backinghttp.Options{BearerToken: c.String("weights-token")})
				defer client.Close()
				config.Weights = client.Weights()
			}
			return serveStandin(ctx, c, standinengine.New(config))
		},
	}
}

func standinEngineConfig(c *cli.Command) standinengine.Config {
	return standinengine.Config{
		ID:                 c.String("id"),
		MemoryMB:           c.Int("memory-mb"),
		Slots:              c.Int("slots"),
		MaxWaiting:         c.Int("max-waiting"),
		DecodeStep:         c.Duration("decode-step"),
		DecodePerSequence:  c.Duration("decode-per-sequence"),
		PrefillPerToken:    c.Duration("prefill-per-token"),
		CachePrefixes:      c.Int("cache-prefixes"),
		CacheEventDelay:    c.Duration("cache-event-delay"),
		CacheEventLoss:     c.Float("cache-event-loss"),
		ReportInterval:     c.Duration("report-every"),
		ReportLag:          c.Duration("report-lag"),
		ModelLoadTime:      c.Duration("model-load-time"),
		AdapterLoadTime:    c.Duration("adapter-load-time"),
		UnloadTime:         c.Duration("unload-time"),
		ChecksTokens:       c.Bool("checks-tokens"),
		AbortsOnUnload:     c.Bool("cuts-on-unload"),
		RefusesOvercommit:  c.Bool("refuses-overcommit"),
		PreemptsLowerRanks: c.Bool("pauses-lower-ranks"),
		PoisonText:         c.String("poison"),
		RestartDelay:       c.Duration("restart-delay"),
		BearerToken:        c.String("bearer-token"),
		Seed:               c.Uint64("seed"),
	}
}

func standinServiceCommand() *cli.Command {
	return &cli.Command{
		Name:  "service",
		Usage: "a booking service whose POST calls are not idempotent",
		Flags: []cli.Flag{
			listenFlag(), idFlag("booking-1"),
			durationFlag("work", 5*time.Millisecond, "time of one call"),
			intFlag("slots", 64, "calls that run at once"),
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			return serveStandin(ctx, c, standinservice.New(standinservice.Config{
				ID: c.String("id"), CallTime: c.Duration("work"), Slots: c.Int("slots"),
			}))
		},
	}
}
