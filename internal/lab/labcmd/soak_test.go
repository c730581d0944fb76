package labcmd

import (
	"bytes"
	"errors"
	"strings"
	"testing"

	"github.com/wheelhoist/wheelhoist/internal/command"
)

// A flag whose value is out of bounds is rejected before anything starts.
func TestSoak_RejectsValuesOutOfBounds(t *testing.T) {
	for _, flags := range [][]string{
		{"--nodes", "2"}, {"--nodes", "41"}, {"--regions", "3"}, {"--servers", "2"}, {"--servers", "65"}, {"--slots", "0"}, {"--slots", "65"},
	} {
		var output bytes.Buffer
		cmd := soakCommand(streams{out: &output, err: &output})
		err := cmd.ParseAndRun(t.Context(), flags)
		if !errors.Is(err, errOutOfBounds) || !strings.Contains(err.Error(), flags[0]) {
			t.Errorf("%v: %v", flags, err)
		}
		if code := Main(append([]string{"soak"}, flags...)); code != command.ExitFailed {
			t.Errorf("%v exits with %d", flags, code)
		}
	}
}

// The help of a flag states the bounds that are enforced.
func TestSoak_HelpStatesBounds(t *testing.T) {
	flags := soakCommand(streams{out: &bytes.Buffer{}, err: &bytes.Buffer{}}).FlagSet
	for name, want := range map[string]string{"nodes": "3 to 40", "servers": "3 to 64", "slots": "1 to 64", "regions": "1 or 2"} {
		if flag := flags.Lookup(name); flag == nil || !strings.Contains(flag.Usage, want) {
			t.Errorf("--%s: %+v", name, flag)
		}
	}
}
