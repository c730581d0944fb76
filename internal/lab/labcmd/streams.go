package labcmd

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/wheelhoist/wheelhoist/internal/lab/hollow"
)

func streamsCommand(std streams) *ffcli.Command {
	flags := newFlags("wheelhoist-lab streams", std)
	sizes := flags.String("sizes", "250,500,1000", "numbers of concurrent streams")
	duration := flags.Duration("duration", 8*time.Second, "length of each answer")
	return &ffcli.Command{
		Name: "streams", ShortUsage: "wheelhoist-lab streams [flags]", FlagSet: flags,
		ShortHelp: "measure what concurrent streams cost a real node; prints JSON lines",
		Exec: func(ctx context.Context, _ []string) error {
			var numbers []int
			for _, text := range strings.Split(*sizes, ",") {
				number, err := strconv.Atoi(text)
				if err != nil || number < 1 {
					return fmt.Errorf("sizes: %q is not a number of streams", text)
				}
				numbers = append(numbers, number)
			}
			costs, err := hollow.RunStreams(ctx, numbers, *duration, func(format string, arguments ...any) {
				_, _ = fmt.Fprintf(std.err, format+"\n", arguments...)
			})
			if err != nil {
				return err
			}
			encoder := json.NewEncoder(std.out)
			for _, cost := range costs {
				if err := encoder.Encode(cost); err != nil {
					return err
				}
			}
			return nil
		},
	}
}
