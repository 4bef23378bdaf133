package cli

import (
	"github.com/urfave/cli/v3"

	"github.com/hyssophaven/hyssophaven/operator"
)

// operatorFlags returns the flags of commands that call the operators' interface
// of an instance.
func operatorFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "operator", Usage: "base `URL` of the operator interface of any instance, such as http://10.0.0.5:8081", Required: true, Sources: cli.EnvVars("HYSSOPHAVEN_OPERATOR")},
		&cli.StringFlag{Name: "token", Usage: "operators' bearer `TOKEN`", Required: true, Sources: cli.EnvVars("HYSSOPHAVEN_TOKEN")},
	}
}

func operatorClient(c *cli.Command) *operator.Client {
	return operator.NewClient(c.String("operator"), c.String("token"), nil)
}
