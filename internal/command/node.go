package command

import (
	"context"
	"flag"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rs/zerolog"

	"github.com/wheelhoist/wheelhoist/internal/node"
	"github.com/wheelhoist/wheelhoist/internal/settings"
)

// nodeFlags holds the path of the settings file and the settings that flags and environment override.
type nodeFlags struct {
	settings string
	id       string
	zone     string
	region   string
	listen   string
	logLevel string
}

func (f *nodeFlags) register(flags *flag.FlagSet) {
	flags.StringVar(&f.settings, "settings", "", "settings file (YAML)")
	flags.StringVar(&f.id, "id", "", "node id, overrides node.id")
	flags.StringVar(&f.zone, "zone", "", "zone, overrides node.zone")
	flags.StringVar(&f.region, "region", "", "region, overrides node.region")
	flags.StringVar(&f.listen, "listen", "", "host:port for callers, overrides node.listen")
	flags.StringVar(&f.logLevel, "log-level", "", "debug, info, warn or error, overrides log.level")
}

// override applies the flags that are set to config.
func (f *nodeFlags) override(config *settings.Settings) {
	set := func(target *string, value string) {
		if value != "" {
			*target = value
		}
	}
	set(&config.Node.ID, f.id)
	set(&config.Node.Zone, f.zone)
	set(&config.Node.Region, f.region)
	set(&config.Node.Listen, f.listen)
	set(&config.Log.Level, f.logLevel)
}

func nodeCommand(std streams) *ffcli.Command {
	flags := newFlags("wheelhoist node", std)
	var overrides nodeFlags
	overrides.register(flags)
	return &ffcli.Command{
		Name: "node", ShortUsage: "wheelhoist node --settings FILE [flags]", FlagSet: flags, Options: options(),
		ShortHelp: "run a node",
		LongHelp:  "Runs a node until SIGTERM or SIGINT, then drains it: open answers end in full.\nFlags come before WHEELHOIST_* variables, these before the settings file.",
		Exec: func(ctx context.Context, _ []string) error {
			config, err := settings.Load(overrides.settings, overrides.override)
			if err != nil {
				return err
			}
			return runNode(ctx, config, std)
		},
	}
}

// runNode runs a node until the context is done or a drain is requested, then drains it.
func runNode(ctx context.Context, config *settings.Settings, std streams) error {
	level, err := zerolog.ParseLevel(config.Log.Level)
	if err != nil {
		return err
	}
	zerolog.TimeFieldFormat = time.RFC3339Nano
	if config.Gateway.Enabled() {
		return runGateway(ctx, config, std, level)
	}
	node.LimitMemory(config.Node.MemoryMegabytes)
	log := zerolog.New(std.out).Level(level).With().Timestamp().Logger()
	captureLibraryLog(log)
	applied := log.With().Str("node", config.Node.ID).Logger()
	running, err := node.Start(ctx, config, node.Options{
		Log: log,
		OnApplied: func(revision uint64) {
			applied.Info().Uint64("revision", revision).Int64("unix_ns", time.Now().UnixNano()).
				Msg("configuration applied")
		},
	})
	if err != nil {
		return err
	}
	select {
	case <-ctx.Done():
	case <-running.DrainRequested():
	}
	drainCtx, cancel := context.WithTimeout(context.Background(), settings.ShutdownTimeout)
	defer cancel()
	return running.Drain(drainCtx)
}
