package command

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/wheelhoist/wheelhoist/internal/server"
)

func statusCommand(std streams) *ffcli.Command {
	flags := newFlags("wheelhoist status", std)
	var conn connection
	conn.register(flags)
	var output format
	registerFormat(flags, &output)
	gateway := flags.String("gateway", "", "host:port of a gateway's metrics address, instead of -server")
	return &ffcli.Command{
		Name: "status", ShortUsage: "wheelhoist status [flags]", FlagSet: flags, Options: options(),
		ShortHelp: "show a node, its peers and the replicas as it sees them",
		Exec: func(ctx context.Context, _ []string) error {
			body, err := readStatus(ctx, &conn, *gateway)
			if err != nil {
				return err
			}
			var status server.NodeStatus
			if err := json.Unmarshal(body, &status); err != nil {
				return err
			}
			return output.write(std.out, status, func() table { return statusTable(&status) })
		},
	}
}

// readStatus reads the status of a node, or of a gateway if its address is not empty.
func readStatus(ctx context.Context, conn *connection, gateway string) ([]byte, error) {
	if gateway == "" {
		return conn.client().Status(ctx)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+gateway+server.PathStatus, nil)
	if err != nil {
		return nil, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("gateway answered %s", response.Status)
	}
	return io.ReadAll(response.Body)
}

func statusTable(status *server.NodeStatus) table {
	state := "serving"
	switch {
	case status.Draining:
		state = "draining"
	case !status.Serving:
		state = "not serving"
	}
	content := table{header: []string{"WHAT", "NAME", "ZONE", "STATE", "DETAIL"}}
	content.rows = append(content.rows, []string{
		"this node", status.Node, status.Zone, state,
		fmt.Sprintf("revision %d, %.1f s old, %d open requests", status.Revision, status.ConfigAge, status.Open),
	})
	content.rows = append(content.rows, zoneRows(status.Zones)...)
	for _, member := range status.Members {
		content.rows = append(content.rows, []string{"node", member.ID, member.Zone, member.Status, ""})
	}
	for _, replica := range status.Replicas {
		state := string(replica.State)
		if replica.Ejected {
			state += ", ejected"
		}
		if replica.ColdLeft > 0 {
			state += fmt.Sprintf(", cold for %.1f s, %.1f/s from here", replica.ColdLeft, replica.ColdRate)
		}
		content.rows = append(content.rows, []string{
			"replica", replica.ID, replica.Zone, state,
			fmt.Sprintf("%s %s %s, %d open here, %d of them batch", replica.Pool, replica.Version, replica.Role, replica.Open, replica.Batch),
		})
	}
	for _, items := range status.Items {
		content.rows = append(content.rows, []string{
			"items", items.Reason, "", "waiting", fmt.Sprintf("%d, the oldest for %.1f s", items.Items, items.Oldest),
		})
	}
	for _, tenant := range status.Tenants {
		content.rows = append(content.rows, []string{
			"tenant", tenant.Name, "", "",
			fmt.Sprintf("limit %g/s, burst %g; here %.1f/s, part %.2f told %.1f s ago", tenant.Rate, tenant.Burst, tenant.Demand, tenant.Share, tenant.GrantAge),
		})
	}
	return content
}

// zoneRows returns a row for each zone with its state and region.
func zoneRows(zones []server.ZoneStatus) [][]string {
	rows := make([][]string, 0, len(zones))
	for _, zone := range zones {
		state := "in use"
		if zone.Evacuated {
			state = fmt.Sprintf("evacuated for %.0f s", zone.EvacuatedSeconds)
		}
		rows = append(rows, []string{
			"zone", zone.Zone, zone.Zone, state,
			fmt.Sprintf("region %s, %d nodes, %d replicas listed, %d open here", orDash(zone.Region), zone.Nodes, zone.Replicas, zone.Open),
		})
	}
	return rows
}

func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}
