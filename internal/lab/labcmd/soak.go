package labcmd

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/wheelhoist/wheelhoist/internal/lab/soak"
)

// soakReadyTimeout limits the time until all nodes of a soak serve.
const soakReadyTimeout = 2 * time.Minute

// Bounds of the flags of a soak. Each node is a separate process, so maxSoakNodes also bounds the
// memory that a run uses.
const (
	minSoakNodes   = 3
	maxSoakNodes   = 40
	maxSoakServers = 64
	maxSoakSlots   = 64
	maxSoakRegions = 2
	minSoakRegions = 1
)

// boundedFlag is the value of an integer flag with its bounds, which are inclusive.
type boundedFlag struct {
	name                string
	value, lower, upper int
}

func (b boundedFlag) check() error {
	if b.value < b.lower || b.value > b.upper {
		return fmt.Errorf("%w: --%s is %d, it may be %d to %d", errOutOfBounds, b.name, b.value, b.lower, b.upper)
	}
	return nil
}

// errOutOfBounds is returned for a flag whose value is out of bounds.
var errOutOfBounds = errors.New("out of bounds")

func soakCommand(std streams) *ffcli.Command {
	flags := newFlags("wheelhoist-lab soak", std)
	seed := flags.Uint64("seed", 1, "seed of the plan of faults")
	duration := flags.Duration("for", time.Minute, "time with faults")
	nodes := flags.Int("nodes", 4, fmt.Sprintf("number of gateway processes, %d to %d", minSoakNodes, maxSoakNodes))
	regions := flags.Int("regions", 1, "regions of the three zones, 1 or 2")
	servers := flags.Int("servers", soak.DefaultServers, fmt.Sprintf("number of stand-in servers, %d to %d", soak.MinServers, maxSoakServers))
	slots := flags.Int("slots", soak.DefaultSlots, fmt.Sprintf("slots of each server, 1 to %d", maxSoakSlots))
	firstPlanOnly := flags.Bool("first-plan-only", false,
		"leave out the second plan of faults: silent connections, servers that start again, rows of other writers, changes in series")
	overcommit := flags.Bool("overcommit", false,
		"servers run all that comes, beyond their slots, and tell the same load always; otherwise they keep to their slots")
	relayFrom := flags.Int("relay-from", 0, "number of nodes above which nodes follow relays in place of the store; 0 means the default of the settings")
	return &ffcli.Command{
		Name: "soak", ShortUsage: "wheelhoist-lab soak [flags]", FlagSet: flags,
		ShortHelp: "real gateway processes under faults from outside; exits 1 on a broken promise",
		Exec: func(ctx context.Context, _ []string) error {
			for _, bounds := range []boundedFlag{
				{"nodes", *nodes, minSoakNodes, maxSoakNodes}, {"regions", *regions, minSoakRegions, maxSoakRegions},
				{"servers", *servers, soak.MinServers, maxSoakServers}, {"slots", *slots, 1, maxSoakSlots},
			} {
				if err := bounds.check(); err != nil {
					return err
				}
			}
			report, err := soak.Run(ctx, soak.Options{
				Seed: *seed, Duration: *duration, Nodes: *nodes, Regions: *regions, ReadyTimeout: soakReadyTimeout,
				Servers: *servers, Slots: *slots, FirstPlanOnly: *firstPlanOnly, Overcommit: *overcommit, RelayFrom: *relayFrom,
				Progress: func(format string, arguments ...any) { _, _ = fmt.Fprintf(std.err, format+"\n", arguments...) },
			})
			if err != nil {
				return err
			}
			for _, violation := range report.Violations {
				_, _ = fmt.Fprintln(std.out, "broken:", violation)
			}
			_, _ = fmt.Fprintf(std.out, "longest wait of an item beside a free slot in calm without a break: %v\n", report.LongestCalmWait)
			if without := soak.WithoutOccasion(report.Occasions); len(without) > 0 {
				_, _ = fmt.Fprintln(std.out, "promises without an occasion:", without)
			}
			_, _ = fmt.Fprintf(std.out, "seed %d: %d faults, %d of %d requests whole, %d beyond limits, %d jobs, %d results, %d runs, %d evacuations, %d zones lost, %d sends to cold replicas, %d replicas ended by %d harmful requests, %d silences, %d replicas started again, %d foreign rows, %d updates of servers, %d streams continued elsewhere, %d times a late or slow store, %d pauses of replicas, %d disrupted answers, %d late ones to requests that run once, %d refusals of replicas, %d cuts beside long texts, %d jobs refused each time, %d promises checked, %d broken\n",
				report.Seed, report.Faults, report.Whole, report.Requests, report.Limited, report.Jobs, report.Items, report.Runs,
				report.Evacuations, report.Losses, report.ColdSends, report.HarmfulCrashes, report.HarmfulRequests,
				report.Silences, report.ServerStarts, report.ForeignRows, report.ServerUpdates, report.Continued, report.StoreDelays, report.Pauses,
				report.Disrupted, report.LateToOnce, report.Refusals, report.LongCuts, report.RefusedJobs,
				len(soak.Promises()), len(report.Violations))
			if len(report.Violations) > 0 {
				_, _ = fmt.Fprintln(std.out, "logs of the nodes:", report.Logs)
				return fmt.Errorf("%w: %d", errViolations, len(report.Violations))
			}
			return nil
		},
	}
}
