package command

import (
	"context"
	"fmt"

	"github.com/peterbourgon/ff/v3/ffcli"

	v1 "github.com/wheelhoist/wheelhoist/api/v1"
)

func getCommand(std streams) *ffcli.Command {
	flags := newFlags("wheelhoist get", std)
	var conn connection
	conn.register(flags)
	var output format
	registerFormat(flags, &output)
	return &ffcli.Command{
		Name: "get", ShortUsage: "wheelhoist get [flags] KIND [NAME]", FlagSet: flags, Options: options(),
		ShortHelp: "show resources and where they are in force",
		Exec: func(ctx context.Context, arguments []string) error {
			kind, err := kindArgument(arguments)
			if err != nil {
				return err
			}
			if len(arguments) == 1 {
				list, err := conn.client().List(ctx, kind)
				if err != nil {
					return err
				}
				return output.write(std.out, list, func() table { return resourceTable(list.Items) })
			}
			resource, err := conn.client().Get(ctx, kind, arguments[1])
			if err != nil {
				return err
			}
			return output.write(std.out, resource, func() table { return resourceTable([]v1.Resource{*resource}) })
		},
	}
}

// kindArgument parses the KIND argument, the first.
func kindArgument(arguments []string) (v1.Kind, error) {
	if len(arguments) == 0 {
		return "", &usageError{fmt.Sprintf("KIND is missing, one of %v", v1.Kinds)}
	}
	kind := v1.Kind(arguments[0])
	if !kind.Known() {
		return "", &usageError{fmt.Sprintf("unknown kind %q, one of %v", kind, v1.Kinds)}
	}
	return kind, nil
}
