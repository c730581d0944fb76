package labcmd

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/schollz/progressbar/v3"

	v1 "github.com/wheelhoist/wheelhoist/api/v1"
	"github.com/wheelhoist/wheelhoist/internal/lab/history"
	"github.com/wheelhoist/wheelhoist/internal/lab/load"
	"github.com/wheelhoist/wheelhoist/internal/lab/profile"
	"github.com/wheelhoist/wheelhoist/internal/lab/site"
)

const (
	demoSeed       = 1
	demoNodes      = 3
	demoOnlineTime = 8 * time.Second
	demoItems      = 1500
	demoTimeout    = 28 * time.Second
	// progressInterval is the time between two polls of the progress of the batch.
	progressInterval = time.Second
)

// demoResult is the JSON line that the demo prints last with --json.
type demoResult struct {
	Online       load.Online `json:"online"`
	BatchItems   int         `json:"batch_items"`
	BatchSeconds float64     `json:"batch_seconds"`
	ItemsPerSec  float64     `json:"items_per_s"`
	Revision     uint64      `json:"config_revision"`
	InForceNodes int         `json:"config_in_force_nodes"`
	InForceMs    float64     `json:"config_in_force_ms"`
	Violations   []string    `json:"violations"`
}

func demoCommand(std streams) *ffcli.Command {
	flags := newFlags("wheelhoist-lab demo", std)
	asJSON := flags.Bool("json", false, "end with one JSON line")
	profileName := flags.String("profile", "urnik", "deployment: urnik or kalendarik")
	return &ffcli.Command{
		Name: "demo", ShortUsage: "wheelhoist-lab demo [flags]", FlagSet: flags,
		ShortHelp: "online streams beside a batch job, in one process, in under 30 s",
		Exec: func(ctx context.Context, _ []string) error {
			prof, err := profile.Find(*profileName)
			if err != nil {
				return err
			}
			ctx, cancel := context.WithTimeout(ctx, demoTimeout)
			defer cancel()
			result, err := runDemo(ctx, prof, std.out)
			if err != nil {
				return err
			}
			if *asJSON {
				if err := json.NewEncoder(std.out).Encode(result); err != nil {
					return err
				}
			}
			if len(result.Violations) > 0 {
				return fmt.Errorf("%w: %v", errViolations, result.Violations)
			}
			return nil
		},
	}
}

// runDemo runs online load beside a batch on a new site and prints a summary.
func runDemo(ctx context.Context, prof profile.Profile, out io.Writer) (*demoResult, error) {
	printf := func(format string, arguments ...any) { _, _ = fmt.Fprintf(out, format+"\n", arguments...) }
	recorder := &history.Recorder{}
	labSite, err := site.Start(ctx, site.Config{
		Profile: prof, Nodes: demoNodes, Listen: "127.0.0.1:0", Seed: demoSeed, Recorder: recorder,
	})
	if err != nil {
		return nil, err
	}
	defer labSite.Close()
	printf("site %s: %d nodes in %d zones before %d replicas of two hardware generations",
		prof.Name, demoNodes, len(prof.Zones), prof.ReplicaCount())

	result := &demoResult{Violations: []string{}}
	stats := load.NewStats()
	caller := (&load.Caller{
		Model: prof.Model, Key: site.TenantKey, Version: prof.Version, Recorder: recorder,
		Stats: stats, URLs: labSite.URLs, Delay: prof.ClientDelay,
	}).Open()
	defer caller.Close()
	onlineDone := make(chan struct{})
	go func() {
		defer close(onlineDone)
		caller.Replay(ctx, load.Schedule(prof.Online, demoSeed, demoOnlineTime, 1))
	}()
	if err := demoConfig(ctx, labSite, result); err != nil {
		return nil, err
	}
	printf("configuration revision %d in force on %d nodes after %.0f ms", result.Revision, result.InForceNodes, result.InForceMs)
	if err := demoBatch(ctx, labSite, prof, recorder, out, result); err != nil {
		return nil, err
	}
	<-onlineDone
	result.Online = stats.Summary()
	printf("batch: %d items in %.1f s (%.0f items/s), each with exactly one result, all as expected",
		result.BatchItems, result.BatchSeconds, result.ItemsPerSec)
	printf("online beside it: %d streams, %d whole and as expected, %d refused, %d failed",
		result.Online.Requests, result.Online.Answered-result.Online.Wrong, result.Online.Refused, result.Online.Failed)
	printf("first token p50 %.0f ms, p99 %.0f ms; between tokens p95 %.1f ms",
		result.Online.TTFTP50, result.Online.TTFTP99, result.Online.GapP95)
	if result.Online.Wrong > 0 || result.Online.Failed > 0 {
		result.Violations = append(result.Violations, "online answers wrong or failed")
	}
	return result, nil
}

// demoConfig changes the site policy through one node and measures the time until it is in force on
// all nodes.
func demoConfig(ctx context.Context, labSite *site.Site, result *demoResult) error {
	spec, err := json.Marshal(v1.SitePolicySpec{QueueTimeout: v1.Duration(3 * time.Second), Note: "demo"})
	if err != nil {
		return err
	}
	started := time.Now()
	applied, err := labSite.Operator(1).Put(ctx, &v1.Resource{
		APIVersion: v1.APIVersion, Kind: v1.KindSitePolicy, Metadata: v1.Metadata{Name: "site"}, Spec: spec,
	}, nil)
	if err != nil {
		return err
	}
	result.InForceMs = float64(time.Since(started)) / float64(time.Millisecond)
	result.Revision = applied.Metadata.ResourceVersion
	result.InForceNodes = applied.Status.InForce
	if !applied.Status.Accepted() {
		result.Violations = append(result.Violations, "configuration not in force everywhere")
	}
	return nil
}

// demoBatch runs a batch and verifies its results.
func demoBatch(ctx context.Context, labSite *site.Site, prof profile.Profile, recorder *history.Recorder, out io.Writer, result *demoResult) error {
	submitter := &load.Submitter{Model: prof.Model, Key: site.TenantKey, Recorder: recorder, URLs: labSite.URLs}
	started := time.Now()
	job, err := submitter.Submit(ctx, load.Items(prof.Batch, demoSeed, "demo", demoItems, false), time.Hour, "")
	if err != nil {
		return err
	}
	bar := progressbar.NewOptions(demoItems, progressbar.OptionSetWriter(out),
		progressbar.OptionSetDescription("batch items"), progressbar.OptionShowCount(),
		progressbar.OptionThrottle(progressInterval), progressbar.OptionUseANSICodes(true))
	progressCtx, stop := context.WithCancel(ctx)
	defer stop()
	go showProgress(progressCtx, labSite, job.ID, bar)
	batch, err := submitter.Await(ctx, job)
	if err != nil {
		return err
	}
	result.BatchSeconds = time.Since(started).Seconds()
	stop()
	_ = bar.Finish()
	_, _ = fmt.Fprintln(out)
	lines, err := submitter.Verify(ctx, job)
	if err != nil {
		return err
	}
	result.BatchItems = batch.RequestCounts.Completed
	result.ItemsPerSec = float64(result.BatchItems) / result.BatchSeconds
	if lines != demoItems || result.BatchItems != demoItems {
		result.Violations = append(result.Violations, fmt.Sprintf("%d results for %d items", lines, demoItems))
	}
	for _, event := range recorder.Events() {
		if event.Type == history.BatchResult && !event.Match {
			result.Violations = append(result.Violations, "wrong result for item "+event.Item)
		}
	}
	return nil
}

// showProgress updates the progress bar until the context ends.
func showProgress(ctx context.Context, labSite *site.Site, job string, bar *progressbar.ProgressBar) {
	tenant := labSite.Tenant(0)
	for {
		if batch, err := tenant.Batch(ctx, job); err == nil {
			_ = bar.Set(batch.RequestCounts.Completed + batch.RequestCounts.Failed)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(progressInterval):
		}
	}
}
