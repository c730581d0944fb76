package command

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/peterbourgon/ff/v3/ffcli"

	v1 "github.com/wheelhoist/wheelhoist/api/v1"
)

func watchCommand(std streams) *ffcli.Command {
	flags := newFlags("wheelhoist watch", std)
	var conn connection
	conn.register(flags)
	after := flags.Uint64("from", 0, "resource version to start after")
	return &ffcli.Command{
		Name: "watch", ShortUsage: "wheelhoist watch [flags] [KIND]", FlagSet: flags, Options: options(),
		ShortHelp: "print changes as JSON lines, as they come into force",
		Exec: func(ctx context.Context, arguments []string) error {
			var kind v1.Kind
			if len(arguments) > 0 {
				var err error
				if kind, err = kindArgument(arguments); err != nil {
					return err
				}
			}
			encoder := json.NewEncoder(std.out)
			err := conn.client().Watch(ctx, kind, *after, func(event v1.Event) error {
				return encoder.Encode(event)
			})
			if errors.Is(ctx.Err(), context.Canceled) {
				return nil
			}
			return err
		},
	}
}
