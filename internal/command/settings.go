package command

import (
	"context"
	"fmt"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/wheelhoist/wheelhoist/internal/settings"
)

func settingsCommand(std streams) *ffcli.Command {
	command := &ffcli.Command{
		Name: "settings", ShortUsage: "wheelhoist settings check FILE", FlagSet: newFlags("wheelhoist settings", std),
		ShortHelp: "work with settings files", Subcommands: []*ffcli.Command{settingsCheck(std)},
	}
	command.Exec = helpExec(command)
	return command
}

func settingsCheck(std streams) *ffcli.Command {
	return &ffcli.Command{
		Name: "check", ShortUsage: "wheelhoist settings check FILE", FlagSet: newFlags("wheelhoist settings check", std),
		ShortHelp: "report everything wrong with a settings file, with its place",
		Exec: func(_ context.Context, arguments []string) error {
			if len(arguments) != 1 {
				return &usageError{"check needs one FILE"}
			}
			if _, err := settings.Load(arguments[0], nil); err != nil {
				return err
			}
			_, err := fmt.Fprintln(std.out, arguments[0]+": ok")
			return err
		},
	}
}
