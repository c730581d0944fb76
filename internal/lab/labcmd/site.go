package labcmd

import (
	"context"
	"encoding/json"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/wheelhoist/wheelhoist/internal/lab/profile"
	"github.com/wheelhoist/wheelhoist/internal/lab/site"
)

// readyLine is the JSON line that the site command prints when the site is ready.
type readyLine struct {
	Ready       bool           `json:"ready"`
	Nodes       []string       `json:"nodes"`
	Model       string         `json:"model"`
	TenantKey   string         `json:"tenant_key"`
	OperatorKey string         `json:"operator_key"`
	Platform    site.Endpoints `json:"platform"`
	Engines     []string       `json:"engines"`
}

func siteCommand(std streams) *ffcli.Command {
	flags := newFlags("wheelhoist-lab site", std)
	profileName := flags.String("profile", "urnik", "deployment: urnik or kalendarik")
	nodes := flags.Int("nodes", 3, "number of nodes")
	listen := flags.String("listen", "127.0.0.1:8080", "host:port of the first node; the next ones take the next ports")
	seed := flags.Uint64("seed", 1, "seed of all chance")
	return &ffcli.Command{
		Name: "site", ShortUsage: "wheelhoist-lab site [flags]", FlagSet: flags,
		ShortHelp: "run a whole site in this process until SIGTERM",
		Exec: func(ctx context.Context, _ []string) error {
			prof, err := profile.Find(*profileName)
			if err != nil {
				return err
			}
			labSite, err := site.Start(ctx, site.Config{
				Profile: prof, Nodes: *nodes, Listen: *listen, Seed: *seed, Log: std.err,
			})
			if err != nil {
				return err
			}
			defer labSite.Close()
			line := readyLine{
				Ready: true, Nodes: labSite.URLs(), Model: prof.Model, TenantKey: site.TenantKey,
				OperatorKey: site.OperatorKey, Platform: labSite.Platform.Endpoints(),
			}
			for _, engine := range labSite.Engines() {
				line.Engines = append(line.Engines, engine.URL)
			}
			if err := json.NewEncoder(std.out).Encode(line); err != nil {
				return err
			}
			<-ctx.Done()
			return nil
		},
	}
}
