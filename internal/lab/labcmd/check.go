package labcmd

import (
	"context"
	"errors"
	"fmt"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/wheelhoist/wheelhoist/internal/lab/history"
)

func checkCommand(std streams) *ffcli.Command {
	return &ffcli.Command{
		Name: "check", ShortUsage: "wheelhoist-lab check HISTORY", FlagSet: newFlags("wheelhoist-lab check", std),
		ShortHelp: "check a recorded history alone; exits 1 on a violation",
		Exec: func(_ context.Context, arguments []string) error {
			if len(arguments) != 1 {
				return errors.New("check needs one HISTORY file")
			}
			events, err := history.ReadFile(arguments[0])
			if err != nil {
				return err
			}
			violations := history.Check(events)
			for _, violation := range violations {
				_, _ = fmt.Fprintln(std.out, violation)
			}
			_, _ = fmt.Fprintf(std.out, "%d events, %d violations\n", len(events), len(violations))
			if len(violations) > 0 {
				return fmt.Errorf("%w: %d", errViolations, len(violations))
			}
			return nil
		},
	}
}
