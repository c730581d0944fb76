package labcmd

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"runtime/pprof"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/wheelhoist/wheelhoist/internal/lab/hollow"
)

func hollowCommand(std streams) *ffcli.Command {
	flags := newFlags("wheelhoist-lab hollow", std)
	nodes := flags.Int("nodes", 320, "number of nodes, real ones among them")
	replicas := flags.Int("replicas", 600, "number of replicas")
	duration := flags.Duration("duration", 30*time.Second, "length of the measurement")
	seed := flags.Uint64("seed", 1, "seed of all chance")
	tenants := flags.Int("tenants", 100, "number of tenants declared")
	day := flags.Bool("day", true, "replay a day's failures after the measurement")
	profilePath := flags.String("cpuprofile", "", "file for a CPU profile of the first hollow process")
	asJSON := flags.Bool("json", false, "end with one JSON line")
	return &ffcli.Command{
		Name: "hollow", ShortUsage: "wheelhoist-lab hollow [flags]", FlagSet: flags,
		ShortHelp: "run the control plane at size and measure what it costs a node",
		Exec: func(ctx context.Context, _ []string) error {
			result, err := hollow.Run(ctx, hollow.Options{
				Nodes: *nodes, Replicas: *replicas, Duration: *duration, Seed: *seed, Tenants: *tenants, Day: *day, Profile: *profilePath,
				Progress: func(format string, arguments ...any) { _, _ = fmt.Fprintf(std.err, format+"\n", arguments...) },
			})
			if err != nil {
				return err
			}
			encoder := json.NewEncoder(std.out)
			if !*asJSON {
				encoder.SetIndent("", "  ")
			}
			if err := encoder.Encode(result); err != nil {
				return err
			}
			if len(result.Violations) > 0 {
				return fmt.Errorf("%w: %d", errViolations, len(result.Violations))
			}
			return nil
		},
	}
}

// startProfile writes a CPU profile until the returned function is called.
func startProfile(path string) (func(), error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	if err := pprof.StartCPUProfile(file); err != nil {
		return nil, err
	}
	return func() {
		pprof.StopCPUProfile()
		_ = file.Close()
	}, nil
}

// hollowWorkerCommand is used by hollow itself to share processes.
func hollowWorkerCommand(std streams) *ffcli.Command {
	flags := newFlags("wheelhoist-lab hollow-worker", std)
	plan := flags.String("plan", "", "plan file")
	profilePath := flags.String("cpuprofile", "", "file for a CPU profile")
	return &ffcli.Command{
		Name: "hollow-worker", ShortUsage: "wheelhoist-lab hollow-worker --plan FILE", FlagSet: flags,
		ShortHelp: "run hollow nodes; used by hollow",
		Exec: func(ctx context.Context, _ []string) error {
			if *profilePath != "" {
				stop, err := startProfile(*profilePath)
				if err != nil {
					return err
				}
				defer stop()
			}
			return hollow.RunWorker(ctx, *plan, os.Stdin, std.out)
		},
	}
}
