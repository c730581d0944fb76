package command

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/wheelhoist/wheelhoist/api/client"
	v1 "github.com/wheelhoist/wheelhoist/api/v1"
	"github.com/wheelhoist/wheelhoist/internal/server"
)

func evacuateCommand(std streams) *ffcli.Command {
	flags := newFlags("wheelhoist evacuate", std)
	var conn connection
	conn.register(flags)
	var output format
	registerFormat(flags, &output)
	end := flags.Bool("end", false, "bring the zone back")
	note := flags.String("note", "", "why, for other operators")
	return &ffcli.Command{
		Name: "evacuate", ShortUsage: "wheelhoist evacuate [flags] ZONE [--end]", FlagSet: flags, Options: options(),
		ShortHelp: "send nothing more to the replicas of a zone, or bring it back",
		LongHelp:  "What runs in the zone runs on; wheelhoist status shows what is still open there.\nExits 4 if the change is committed and not yet in force on all nodes.",
		Exec: func(ctx context.Context, arguments []string) error {
			zone, ending, err := evacuateArguments(arguments, *end)
			if err != nil {
				return err
			}
			var changed *v1.Resource
			if ending {
				changed, err = endEvacuation(ctx, &conn, zone)
			} else {
				changed, err = beginEvacuation(ctx, &conn, zone, *note, std)
			}
			if err != nil {
				return err
			}
			if err := output.write(std.out, changed, func() table { return resourceTable([]v1.Resource{*changed}) }); err != nil {
				return err
			}
			if changed.Status != nil && !changed.Status.Accepted() {
				return &exitError{ExitPending}
			}
			return nil
		},
	}
}

// evacuateArguments parses the arguments: a zone, optionally followed by --end, which package flag
// does not parse after an argument.
func evacuateArguments(arguments []string, end bool) (zone string, ending bool, err error) {
	if len(arguments) == 2 && (arguments[1] == "--end" || arguments[1] == "-end") {
		arguments, end = arguments[:1], true
	}
	if len(arguments) != 1 {
		return "", false, &usageError{"evacuate needs one ZONE"}
	}
	return arguments[0], end, nil
}

// beginEvacuation declares the evacuation of a zone. It warns if the node does not know the zone,
// since the name may be misspelled.
func beginEvacuation(ctx context.Context, conn *connection, zone, note string, std streams) (*v1.Resource, error) {
	api := conn.client()
	spec, err := json.Marshal(&v1.EvacuationSpec{Note: note})
	if err != nil {
		return nil, err
	}
	known, err := isKnownZone(ctx, api, zone)
	if err != nil {
		return nil, err
	}
	if !known {
		_, _ = fmt.Fprintf(std.err, "wheelhoist: the node knows no zone %q; replicas that come up in it will take nothing\n", zone)
	}
	return api.Put(ctx, &v1.Resource{
		APIVersion: v1.APIVersion, Kind: v1.KindEvacuation, Metadata: v1.Metadata{Name: zone}, Spec: spec,
	}, nil)
}

// isKnownZone reports whether a node knows a zone from its settings, nodes or replicas, not only from
// an evacuation.
func isKnownZone(ctx context.Context, api *client.Client, zone string) (bool, error) {
	body, err := api.Status(ctx)
	if err != nil {
		return false, err
	}
	var status server.NodeStatus
	if err := json.Unmarshal(body, &status); err != nil {
		return false, err
	}
	for _, known := range status.Zones {
		if known.Zone == zone {
			return known.Region != "" || known.Nodes+known.Replicas > 0, nil
		}
	}
	return false, nil
}

// endEvacuation deletes the evacuation of a zone.
func endEvacuation(ctx context.Context, conn *connection, zone string) (*v1.Resource, error) {
	changed, err := conn.client().Delete(ctx, v1.KindEvacuation, zone)
	var status *client.StatusError
	if errors.As(err, &status) && status.Status == http.StatusNotFound {
		return nil, fmt.Errorf("zone %q is not evacuated", zone)
	}
	return changed, err
}
