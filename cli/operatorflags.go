package cli

import (
	"github.com/urfave/cli/v3"

	"github.com/hyssophaven/hyssophaven/operator"
)

// operatorFlags are the flags of every command that talks to an instance's
// operator interface.
func operatorFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "operator", Usage: "ask the operator interface at `URL`", Sources: cli.EnvVars("HYSSOPHAVEN_OPERATOR"), Required: true},
		&cli.StringFlag{Name: "token", Usage: "operators' bearer `TOKEN`", Sources: cli.EnvVars("HYSSOPHAVEN_TOKEN"), Required: true},
	}
}

// operatorClient returns the client that the operator flags describe.
func operatorClient(c *cli.Command) *operator.Client {
	return operator.NewClient(c.String("operator"), c.String("token"), nil)
}
