package labcmd

import (
	"context"
	"fmt"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/wheelhoist/wheelhoist/internal/lab/soak"
)

// soakReady is how long the nodes of a soak may take to serve: a thousand times what
// they take on an idle machine (0.1 s), and an end for runs that nobody looks at.
const soakReady = 2 * time.Minute

// leastSoakNodes and mostSoakNodes bound the nodes of a soak, each a process of some 25 MB.
const (
	leastSoakNodes = 3
	mostSoakNodes  = 100
)

func soakCommand(std streams) *ffcli.Command {
	flags := newFlags("wheelhoist-lab soak", std)
	seed := flags.Uint64("seed", 1, "seed of the plan of faults")
	length := flags.Duration("for", time.Minute, "time with faults")
	nodes := flags.Int("nodes", 4, "number of gateway processes, 3 to 7")
	regions := flags.Int("regions", 1, "regions of the three zones, 1 or 2")
	return &ffcli.Command{
		Name: "soak", ShortUsage: "wheelhoist-lab soak [flags]", FlagSet: flags,
		ShortHelp: "real gateway processes under faults from outside; exits 1 on a broken promise",
		Exec: func(ctx context.Context, _ []string) error {
			report, err := soak.Run(ctx, soak.Options{
				Seed: *seed, For: *length, Nodes: min(max(*nodes, leastSoakNodes), mostSoakNodes), Regions: *regions, Ready: soakReady,
				Progress: func(format string, arguments ...any) { _, _ = fmt.Fprintf(std.err, format+"\n", arguments...) },
			})
			if err != nil {
				return err
			}
			for _, one := range report.Broken {
				_, _ = fmt.Fprintln(std.out, "broken:", one)
			}
			_, _ = fmt.Fprintf(std.out, "seed %d: %d faults, %d of %d requests whole, %d beyond limits, %d jobs, %d results, %d runs, %d evacuations, %d zones lost, %d sends to cold replicas, %d replicas ended by %d harmful requests, %d promises checked, %d broken\n",
				report.Seed, report.Faults, report.Whole, report.Requests, report.Limited, report.Jobs, report.Items, report.Runs,
				report.Evacuations, report.Losses, report.ColdSends, report.HarmEnds, report.HarmSends,
				len(soak.Promises()), len(report.Broken))
			if len(report.Broken) > 0 {
				_, _ = fmt.Fprintln(std.out, "logs of the nodes:", report.Logs)
				return fmt.Errorf("%w: %d", errViolations, len(report.Broken))
			}
			return nil
		},
	}
}
