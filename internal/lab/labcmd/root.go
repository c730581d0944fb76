// Package labcmd implements the command line of the lab, with one file per subcommand.
package labcmd

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/wheelhoist/wheelhoist/internal/command"
)

// errViolations is returned by commands that found violations of invariants.
var errViolations = errors.New("invariants violated")

// streams contains the output streams of a command.
type streams struct {
	out, err io.Writer
}

// Main runs the command line and returns the exit code. Its "node" command is that of wheelhoist,
// because the lab runs nodes as processes of its own executable.
func Main(arguments []string) int {
	if len(arguments) > 0 && arguments[0] == "node" {
		return command.Main(arguments)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	std := streams{out: os.Stdout, err: os.Stderr}
	root := newRoot(std)
	err := root.Parse(arguments)
	if errors.Is(err, flag.ErrHelp) {
		// Requested with --help; the usage has been printed.
		return command.ExitOK
	}
	if err == nil {
		err = root.Run(ctx)
	}
	switch {
	case err == nil:
		return command.ExitOK
	case errors.Is(err, flag.ErrHelp):
		return command.ExitUsage
	default:
		_, _ = fmt.Fprintln(std.err, "wheelhoist-lab:", err)
		return command.ExitFailed
	}
}

func newRoot(std streams) *ffcli.Command {
	flags := newFlags("wheelhoist-lab", std)
	root := &ffcli.Command{
		Name: "wheelhoist-lab", ShortUsage: "wheelhoist-lab <command> [flags]", FlagSet: flags,
		ShortHelp: "stand-ins, load, faults and checks; never needed in production",
		Subcommands: []*ffcli.Command{
			demoCommand(std), siteCommand(std), runCommand(std), checkCommand(std), soakCommand(std),
		},
	}
	root.Exec = func(context.Context, []string) error {
		_, _ = fmt.Fprintln(std.err, ffcli.DefaultUsageFunc(root))
		return flag.ErrHelp
	}
	return root
}

func newFlags(name string, std streams) *flag.FlagSet {
	flags := flag.NewFlagSet(name, flag.ContinueOnError)
	flags.SetOutput(std.err)
	return flags
}
