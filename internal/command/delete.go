package command

import (
	"context"

	"github.com/peterbourgon/ff/v3/ffcli"

	v1 "github.com/wheelhoist/wheelhoist/api/v1"
)

func deleteCommand(std streams) *ffcli.Command {
	flags := newFlags("wheelhoist delete", std)
	var conn connection
	conn.register(flags)
	var output format
	registerFormat(flags, &output)
	return &ffcli.Command{
		Name: "delete", ShortUsage: "wheelhoist delete [flags] KIND NAME", FlagSet: flags, Options: options(),
		ShortHelp: "remove a resource; a batch job is cancelled",
		Exec: func(ctx context.Context, arguments []string) error {
			kind, err := kindArgument(arguments)
			if err != nil {
				return err
			}
			if len(arguments) != 2 {
				return &usageError{"delete needs KIND and NAME"}
			}
			resource, err := conn.client().Delete(ctx, kind, arguments[1])
			if err != nil {
				return err
			}
			return output.write(std.out, resource, func() table { return resourceTable([]v1.Resource{*resource}) })
		},
	}
}
