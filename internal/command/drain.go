package command

import (
	"context"
	"fmt"

	"github.com/peterbourgon/ff/v3/ffcli"
)

func drainCommand(std streams) *ffcli.Command {
	flags := newFlags("wheelhoist drain", std)
	var conn connection
	conn.register(flags)
	return &ffcli.Command{
		Name: "drain", ShortUsage: "wheelhoist drain --server URL", FlagSet: flags, Options: options(),
		ShortHelp: "stop a node as planned; its open answers end in full",
		Exec: func(ctx context.Context, _ []string) error {
			if err := conn.client().Drain(ctx); err != nil {
				return err
			}
			_, err := fmt.Fprintln(std.out, "draining")
			return err
		},
	}
}
