// Package command implements the wheelhoist command line, with one file for each subcommand.
package command

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/wheelhoist/wheelhoist/api/client"
	"github.com/wheelhoist/wheelhoist/internal/findings"
)

// Exit codes.
const (
	ExitOK = 0
	// ExitFailed means that the command failed.
	ExitFailed = 1
	// ExitUsage means that the command line is invalid.
	ExitUsage = 2
	// ExitInvalid means that an input file has findings.
	ExitInvalid = 3
	// ExitPending means that a change is committed but not yet in force on all nodes.
	ExitPending = 4
	// ExitConflict means that a resource has changed since it was read.
	ExitConflict = 5
)

// EnvPrefix is the prefix of the environment variables that set flags.
const EnvPrefix = "WHEELHOIST"

// usageError reports an invalid command line.
type usageError struct{ message string }

func (e *usageError) Error() string { return e.message }

// exitError is an exit code without a message, for results that are already printed.
type exitError struct{ code int }

func (e *exitError) Error() string { return fmt.Sprintf("exit code %d", e.code) }

// streams are the standard streams of a command.
type streams struct {
	in       io.Reader
	out, err io.Writer
}

// connection holds the flags of the commands that call a node.
type connection struct {
	server string
	key    string
}

func (c *connection) register(flags *flag.FlagSet) {
	flags.StringVar(&c.server, "server", "http://127.0.0.1:8080", "base URL of any node")
	flags.StringVar(&c.key, "key", "", "key of the operator or tenant")
}

func (c *connection) client() *client.Client { return client.New(c.server, c.key) }

// Main runs the command line and returns the exit code.
func Main(arguments []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return Run(ctx, arguments, streams{in: os.Stdin, out: os.Stdout, err: os.Stderr})
}

// Run runs the command line with the given streams.
func Run(ctx context.Context, arguments []string, std streams) int {
	root := newRoot(std)
	err := root.Parse(arguments)
	if errors.Is(err, flag.ErrHelp) {
		// Parse has printed the help requested by --help.
		return ExitOK
	}
	if err == nil {
		err = root.Run(ctx)
	}
	return report(err, std)
}

func newRoot(std streams) *ffcli.Command {
	flags := newFlags("wheelhoist", std)
	root := &ffcli.Command{
		Name: "wheelhoist", ShortUsage: "wheelhoist <command> [flags] [arguments]", FlagSet: flags,
		ShortHelp: "serves online and batch LLM inference on one shared fleet",
		Subcommands: []*ffcli.Command{
			nodeCommand(std), applyCommand(std), getCommand(std), watchCommand(std), deleteCommand(std),
			statusCommand(std), batchCommand(std), drainCommand(std), evacuateCommand(std), quarantineCommand(std), settingsCommand(std),
		},
	}
	root.Exec = helpExec(root)
	return root
}

// helpExec returns the action of a command that only has subcommands.
func helpExec(command *ffcli.Command) func(context.Context, []string) error {
	return func(_ context.Context, arguments []string) error {
		if len(arguments) > 0 {
			return &usageError{fmt.Sprintf("unknown command %q, see --help", arguments[0])}
		}
		_, _ = fmt.Fprintln(command.FlagSet.Output(), ffcli.DefaultUsageFunc(command))
		return flag.ErrHelp
	}
}

func newFlags(name string, std streams) *flag.FlagSet {
	flags := flag.NewFlagSet(name, flag.ContinueOnError)
	flags.SetOutput(std.err)
	return flags
}

// options returns the parse options of every command. Environment variables set flags that are not on
// the command line.
func options() []ff.Option { return []ff.Option{ff.WithEnvVarPrefix(EnvPrefix)} }

// report prints an error and returns the exit code.
func report(err error, std streams) int {
	var usage *usageError
	var exit *exitError
	var found *findings.Error
	var status *client.StatusError
	switch {
	case err == nil:
		return ExitOK
	case errors.Is(err, flag.ErrHelp):
		return ExitUsage
	case errors.As(err, &exit):
		return exit.code
	case errors.As(err, &usage):
		_, _ = fmt.Fprintln(std.err, "wheelhoist:", usage.message)
		return ExitUsage
	case errors.As(err, &found):
		for _, finding := range found.Findings {
			_, _ = fmt.Fprintln(std.err, finding)
		}
		return ExitInvalid
	case errors.As(err, &status) && status.Status == 412:
		_, _ = fmt.Fprintln(std.err, "wheelhoist:", status.Message)
		return ExitConflict
	default:
		_, _ = fmt.Fprintln(std.err, "wheelhoist:", err)
		return ExitFailed
	}
}
