package labcmd

import (
	"testing"

	"github.com/wheelhoist/wheelhoist/internal/command"
)

// Help that is requested with --help is not a failure, but a missing command is a usage error.
func TestMain_HelpExitsWithOK(t *testing.T) {
	for _, arguments := range [][]string{
		{"--help"}, {"demo", "--help"}, {"site", "--help"}, {"run", "--help"}, {"check", "--help"}, {"soak", "--help"},
	} {
		if code := Main(arguments); code != command.ExitOK {
			t.Errorf("%v exits with %d", arguments, code)
		}
	}
	if code := Main(nil); code != command.ExitUsage {
		t.Errorf("no command exits with %d", code)
	}
}
