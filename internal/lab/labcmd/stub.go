package labcmd

import "github.com/peterbourgon/ff/v3/ffcli"

func hollowCommand(std streams) *ffcli.Command {
	return &ffcli.Command{Name: "hollow", FlagSet: newFlags("hollow", std)}
}
