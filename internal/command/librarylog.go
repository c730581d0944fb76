package command

import (
	"log"
	"strings"
	"time"

	"github.com/rs/zerolog"
)

const (
	// maxLibraryLine bounds what is logged of a line, in bytes: it may quote what another process sent.
	maxLibraryLine = 200
	// libraryBurst lines are logged in each libraryPeriod.
	libraryBurst  = 5
	libraryPeriod = 5 * time.Second
)

// libraryLog writes the lines of libraries that use package log as lines of the node's log.
type libraryLog struct{ log zerolog.Logger }

// captureLibraryLog sends what libraries write with package log to a logger, in place of standard error.
func captureLibraryLog(logger zerolog.Logger) {
	log.SetFlags(0)
	log.SetOutput(libraryLog{logger.Sample(&zerolog.BurstSampler{Burst: libraryBurst, Period: libraryPeriod})})
}

// Write implements io.Writer. It is called once for each line.
func (l libraryLog) Write(line []byte) (int, error) {
	text := strings.TrimSpace(string(line[:min(len(line), maxLibraryLine)]))
	l.log.Warn().Str("line", text).Msg("message of a library")
	return len(line), nil
}
