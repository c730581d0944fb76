package labcmd

import "github.com/peterbourgon/ff/v3/ffcli"

func runCommand(std streams) *ffcli.Command {
	return &ffcli.Command{Name: "run", FlagSet: newFlags("run", std)}
}
func checkCommand(std streams) *ffcli.Command {
	return &ffcli.Command{Name: "check", FlagSet: newFlags("check", std)}
}
func hollowCommand(std streams) *ffcli.Command {
	return &ffcli.Command{Name: "hollow", FlagSet: newFlags("hollow", std)}
}
