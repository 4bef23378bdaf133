// Command hyssophaven serves many language models and adapters on few
// accelerators. See the README for its subcommands.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/hyssophaven/hyssophaven/cli"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	os.Exit(cli.Run(ctx, os.Args, os.Stdout, os.Stderr))
}
