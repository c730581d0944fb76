package command

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"

	"github.com/wheelhoist/wheelhoist/internal/node"
	"github.com/wheelhoist/wheelhoist/internal/settings"
)

// logBuffer is the number of log lines buffered for a slow output. When the buffer is full, the oldest
// lines are dropped and counted.
const logBuffer = 4096

// runGateway runs a gateway until the context is done, then stops it. SIGHUP is logged and ignored.
func runGateway(ctx context.Context, config *settings.Settings, std streams, level zerolog.Level) error {
	var running *node.Gateway
	output := diode.NewWriter(std.out, logBuffer, 0, func(missed int) {
		if running != nil {
			running.LogDropped(missed)
		}
	})
	defer func() { _ = output.Close() }()
	log := zerolog.New(output).Level(level).With().Timestamp().Logger()
	captureLibraryLog(log)
	running, err := node.StartGateway(ctx, config, log)
	if err != nil {
		return err
	}
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	defer signal.Stop(reload)
	for {
		select {
		case <-reload:
			log.Info().Msg("ignoring SIGHUP: settings are read only at startup")
		case <-ctx.Done():
			running.Stop()
			return nil
		}
	}
}
