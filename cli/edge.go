package cli

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/charmbracelet/log"
	"github.com/urfave/cli/v3"

	"github.com/hyssophaven/hyssophaven/edge"
	"github.com/hyssophaven/hyssophaven/logsink"
	"github.com/hyssophaven/hyssophaven/platform"
)

// logFlushTimeout limits the time to write the buffered log lines at shutdown.
const logFlushTimeout = 200 * time.Millisecond

// edgeCommandName is the name of the command that serves callers on the users'
// platform. The platform's deploy file must run the binary with it.
const edgeCommandName = "edge"

func edgeCommand() *cli.Command {
	return &cli.Command{
		Name:  edgeCommandName,
		Usage: "serve callers on the users' platform until SIGTERM, then shut down gracefully",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "node-file", Usage: "read the platform's settings from `FILE`", Sources: cli.EnvVars(platform.NodeFileVariable), Required: true},
			&cli.StringFlag{Name: "log-level", Value: "info", Usage: "debug, info, warn or error"},
		},
		Action: runEdge,
	}
}

func runEdge(ctx context.Context, c *cli.Command) error {
	// The default action of SIGHUP ends the process. The handler stays until the process
	// exits, because the signal can also come while the instance starts or stops.
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	path := c.String("node-file")
	node, err := platform.ReadNode(path)
	if err != nil {
		return err
	}
	level, err := log.ParseLevel(c.String("log-level"))
	if err != nil {
		return usageErrorf("log level %q: want debug, info, warn or error", c.String("log-level"))
	}
	sink := logsink.New(os.Stdout)
	defer sink.Close(logFlushTimeout)
	logger := log.NewWithOptions(sink, log.Options{
		ReportTimestamp: true, TimeFormat: "2006-01-02T15:04:05.000Z07:00", Level: level, Formatter: log.LogfmtFormatter,
	})
	instance, err := edge.New(node, logger)
	if err != nil {
		return err
	}
	instance.ExportDroppedLines(sink.Dropped)
	if err := instance.Start(ctx); err != nil {
		return err
	}
	for {
		select {
		case <-reload:
			rereadSettings(logger, path)
		case <-ctx.Done():
			return instance.Stop(context.WithoutCancel(ctx))
		}
	}
}

// rereadSettings reads the settings file and logs the result. It applies nothing:
// addresses and bounds are fixed when the process starts.
func rereadSettings(logger *log.Logger, path string) {
	node, err := platform.ReadNode(path)
	if err != nil {
		logger.Error("failed to read settings; current settings stay in use", "file", path, "error", err)
		return
	}
	logger.Info("settings file reread; changes take effect after a restart", "file", path, "instance", node.ID, "bounds", fmt.Sprintf("%+v", node.Bounds))
}
