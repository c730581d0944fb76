package command

import (
	"context"
	"fmt"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/wheelhoist/wheelhoist/api/client"
	v1 "github.com/wheelhoist/wheelhoist/api/v1"
)

// quarantineFlags holds the flags of the quarantine subcommands.
type quarantineFlags struct {
	conn    connection
	output  format
	gateway string
}

func quarantineCommand(std streams) *ffcli.Command {
	flags := newFlags("wheelhoist quarantine", std)
	command := &ffcli.Command{
		Name: "quarantine", ShortUsage: "wheelhoist quarantine <list|show|release> [flags]", FlagSet: flags,
		ShortHelp: "see and release work that ended the replicas it ran on",
		LongHelp:  "Work is named by a hash of its content, as \"work\" in the log lines of attempts that\nfailed. Work that ended three replicas within an hour is sent to no replica.",
		Subcommands: []*ffcli.Command{
			quarantineListCommand(std), quarantineShowCommand(std), quarantineReleaseCommand(std),
		},
	}
	command.Exec = helpExec(command)
	return command
}

// newQuarantineCommand returns a quarantine subcommand with the common flags.
func newQuarantineCommand(std streams, name, usage, help string, run func(context.Context, *quarantineFlags, []string) error) *ffcli.Command {
	flags := newFlags("wheelhoist quarantine "+name, std)
	common := &quarantineFlags{}
	common.conn.register(flags)
	registerFormat(flags, &common.output)
	flags.StringVar(&common.gateway, "gateway", "", "host:port of a gateway's metrics address, instead of -server")
	return &ffcli.Command{
		Name: name, ShortUsage: "wheelhoist quarantine " + usage, FlagSet: flags, Options: options(), ShortHelp: help,
		Exec: func(ctx context.Context, arguments []string) error { return run(ctx, common, arguments) },
	}
}

func quarantineListCommand(std streams) *ffcli.Command {
	return newQuarantineCommand(std, "list", "list [flags]", "show all work that is suspected or quarantined",
		func(ctx context.Context, common *quarantineFlags, arguments []string) error {
			if len(arguments) > 0 {
				return &usageError{"quarantine list takes no arguments"}
			}
			list, err := common.client().Suspects(ctx)
			if err != nil {
				return err
			}
			return common.output.write(std.out, list, func() table { return suspectTable(list.Items) })
		})
}

func quarantineShowCommand(std streams) *ffcli.Command {
	return newQuarantineCommand(std, "show", "show [flags] WORK", "show what counts against a work",
		func(ctx context.Context, common *quarantineFlags, arguments []string) error {
			work, err := workArgument(arguments)
			if err != nil {
				return err
			}
			suspect, err := common.client().Suspect(ctx, work)
			if err != nil {
				return err
			}
			return common.output.write(std.out, suspect, func() table { return suspectTable([]v1.Suspect{*suspect}) })
		})
}

func quarantineReleaseCommand(std streams) *ffcli.Command {
	return newQuarantineCommand(std, "release", "release [flags] WORK", "let a work run again, at all nodes",
		func(ctx context.Context, common *quarantineFlags, arguments []string) error {
			work, err := workArgument(arguments)
			if err != nil {
				return err
			}
			released, err := common.client().Release(ctx, work)
			if err != nil {
				return err
			}
			return common.output.write(std.out, released, func() table { return suspectTable([]v1.Suspect{*released}) })
		})
}

// client returns a client of the node, or of the gateway if one is set.
func (f *quarantineFlags) client() *client.Client {
	if f.gateway == "" {
		return f.conn.client()
	}
	return client.New("http://"+f.gateway, f.conn.key)
}

func workArgument(arguments []string) (string, error) {
	if len(arguments) != 1 {
		return "", &usageError{"name one WORK, by its 32 hexadecimal digits"}
	}
	return arguments[0], nil
}

func suspectTable(suspects []v1.Suspect) table {
	content := table{header: []string{"WORK", "STATE", "LAST END", "REPLICAS"}}
	for _, suspect := range suspects {
		state := "suspected"
		if suspect.Quarantined {
			state = fmt.Sprintf("quarantined for %.0f s", suspect.SecondsLeft)
		}
		if suspect.Part {
			state += ", part of prompts"
		}
		content.rows = append(content.rows, []string{
			suspect.Work, state, fmt.Sprintf("%.0f s ago", suspect.SecondsSinceEnd), strings.Join(suspect.Replicas, ","),
		})
	}
	return content
}
