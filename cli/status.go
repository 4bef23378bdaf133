package cli

import (
	"context"
	"fmt"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/hyssophaven/hyssophaven/operator"
)

func statusCommand() *cli.Command {
	return &cli.Command{
		Name:   "status",
		Usage:  "print instances, endpoints and what they hold, leases, queues and quarantine",
		Flags:  append(operatorFlags(), &cli.BoolFlag{Name: "json", Usage: "print JSON"}),
		Action: runStatus,
	}
}

func runStatus(ctx context.Context, c *cli.Command) error {
	s, err := operatorClient(c).Status(ctx)
	if err != nil {
		return err
	}
	if c.Bool("json") {
		return printJSON(c.Root().Writer, s)
	}
	w := tabwriter.NewWriter(c.Root().Writer, 0, 0, 2, ' ', 0)
	printInstances(w, s)
	printEndpoints(w, s)
	printQueues(w, s)
	return w.Flush()
}

func printInstances(w *tabwriter.Writer, s operator.Status) {
	state := "ready"
	if !s.Ready {
		state = "not ready: " + s.NotReadyReason
	}
	fmt.Fprintf(w, "%s in %s, %s, table revision %d confirmed %.1f s ago\n\n", s.Instance, s.DataCentre, state, s.TableRevision, s.TableAgeSeconds)
	fmt.Fprintf(w, "INSTANCE\tDATA CENTRE\tSTATE\tREVISION\tHEARTBEAT AGE\tOPERATORS\n")
	for _, i := range s.Instances {
		state := i.State
		if i.Leaving {
			state += ", leaving"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%.1f s\t%s\n", i.ID, i.DataCentre, state, i.TableRevision, i.HeartbeatAgeSeconds, i.OperatorAddress)
	}
}

func printEndpoints(w *tabwriter.Writer, s operator.Status) {
	fmt.Fprintf(w, "\nENDPOINT\tDATA CENTRE\tOWNER\tMEMORY MB\tRUNNING\tWAITING\tSLOTS\tMARKS\tHOLDS\n")
	for _, e := range s.Endpoints {
		var marks []string
		if e.Leaving {
			marks = append(marks, "leaving")
		}
		if e.ReservedForTrial {
			marks = append(marks, "trial")
		}
		memory := ""
		if e.MemoryMB > 0 {
			memory = fmt.Sprintf("%d of %d", e.CountedMB, e.MemoryMB)
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%d\t%d\t%s\t%s\n", e.ID, e.DataCentre, e.Owner, memory, e.Running, e.Waiting, e.Slots, strings.Join(marks, ", "), formatResidents(e.Residents))
	}
}

// formatResidents returns the names of the residents, grouped by state.
func formatResidents(residents []operator.Resident) string {
	byState := make(map[string][]string)
	var states []string
	for _, r := range residents {
		if byState[r.State] == nil {
			states = append(states, r.State)
		}
		byState[r.State] = append(byState[r.State], r.Name)
	}
	var parts []string
	for _, state := range states {
		parts = append(parts, state+": "+summarize(byState[state]))
	}
	return strings.Join(parts, "; ")
}

func printQueues(w *tabwriter.Writer, s operator.Status) {
	fmt.Fprintf(w, "\nLEASE\tEPOCH\tEXPIRES IN\tOPEN ORDERS\n")
	for _, l := range s.Leases {
		fmt.Fprintf(w, "%s\t%d\t%.1f s\t%d\n", l.Shard, l.Epoch, l.ExpiresInSeconds, l.OpenOrders)
	}
	fmt.Fprintf(w, "\nROW\tRANK\tQUEUED\tIN FLIGHT\tARRIVALS PER SECOND\n")
	for _, q := range s.Queues {
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%.2f\n", q.Row, q.Rank, q.Queued, q.InFlight, q.ArrivalsPerSecond)
	}
	if len(s.Quarantine) > 0 {
		fmt.Fprintf(w, "\nFINGERPRINT\tSTATE\tENDPOINTS LOST\tUNTIL\n")
		for _, q := range s.Quarantine {
			until := ""
			if q.Until != nil {
				until = q.Until.Format(time.RFC3339)
			}
			fmt.Fprintf(w, "%s\t%s\t%d\t%s\n", q.Fingerprint, q.State, q.EndpointsLost, until)
		}
	}
	for _, f := range s.Findings {
		fmt.Fprintf(w, "\nfinding: %s\n", f)
	}
}

func quarantineCommand() *cli.Command {
	return &cli.Command{
		Name:  "quarantine",
		Usage: "manage requests that crash endpoints",
		Commands: []*cli.Command{{
			Name: "lift", Usage: "end the quarantine of a fingerprint", ArgsUsage: "FINGERPRINT",
			Flags: operatorFlags(),
			Action: func(ctx context.Context, c *cli.Command) error {
				if c.Args().Len() != 1 {
					return usageErrorf("lift needs one fingerprint, as printed by hyssophaven status")
				}
				return operatorClient(c).LiftQuarantine(ctx, c.Args().First())
			},
		}},
	}
}
