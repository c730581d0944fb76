package labcmd

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/wheelhoist/wheelhoist/internal/lab/experiment"
	"github.com/wheelhoist/wheelhoist/internal/lab/profile"
	"github.com/wheelhoist/wheelhoist/internal/lab/report"
)

func runCommand(std streams) *ffcli.Command {
	flags := newFlags("wheelhoist-lab run", std)
	name := flags.String("scenario", "", "scenario, see --list; faults join with +, as in batch-kill-node+store-down")
	list := flags.Bool("list", false, "name the scenarios, one a line")
	seed := flags.Uint64("seed", 1, "seed of all chance")
	duration := flags.Duration("duration", 20*time.Second, "length of the load")
	nodes := flags.Int("nodes", 0, "number of nodes, 0 for the scenario's own")
	profileName := flags.String("profile", "urnik", "deployment: urnik or kalendarik")
	out := flags.String("out", "", "directory for history, report and raw table")
	asJSON := flags.Bool("json", false, "end with one JSON line")
	return &ffcli.Command{
		Name: "run", ShortUsage: "wheelhoist-lab run --scenario NAME [flags]", FlagSet: flags,
		ShortHelp: "run one experiment and check its history; exits 1 on a violation",
		Exec: func(ctx context.Context, _ []string) error {
			if *list {
				return listScenarios(std.out)
			}
			scenario, err := experiment.Find(*name)
			if err != nil {
				return err
			}
			prof, err := profile.Find(*profileName)
			if err != nil {
				return err
			}
			result, err := experiment.Execute(ctx, scenario, experiment.Options{
				Profile: prof, Seed: *seed, Duration: *duration, Nodes: *nodes,
				Progress: func(format string, arguments ...any) { _, _ = fmt.Fprintf(std.err, format+"\n", arguments...) },
			})
			if err != nil {
				return err
			}
			if *out != "" {
				if err := report.Write(*out, result); err != nil {
					return err
				}
			}
			return writeResult(std.out, result, *asJSON)
		},
	}
}

func listScenarios(out io.Writer) error {
	for _, scenario := range experiment.All() {
		if _, err := fmt.Fprintln(out, scenario.Name); err != nil {
			return err
		}
	}
	return nil
}

// writeResult prints the result. It returns errViolations if there are violations.
func writeResult(out io.Writer, result *experiment.Result, asJSON bool) error {
	if asJSON {
		if err := json.NewEncoder(out).Encode(result); err != nil {
			return err
		}
	} else if err := report.Text(out, result); err != nil {
		return err
	}
	if len(result.Violations) > 0 {
		return fmt.Errorf("%w: %d", errViolations, len(result.Violations))
	}
	return nil
}
