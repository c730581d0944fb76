package command

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/schollz/progressbar/v3"

	"github.com/wheelhoist/wheelhoist/api/client"
	"github.com/wheelhoist/wheelhoist/api/openai"
)

const pollInterval = 500 * time.Millisecond

func batchCommand(std streams) *ffcli.Command {
	flags := newFlags("wheelhoist batch", std)
	command := &ffcli.Command{
		Name: "batch", ShortUsage: "wheelhoist batch <submit|status|results|cancel>", FlagSet: flags,
		ShortHelp: "submit batch jobs and read their results",
		Subcommands: []*ffcli.Command{
			batchSubmit(std), batchStatus(std), batchResults(std), batchCancel(std),
		},
	}
	command.Exec = helpExec(command)
	return command
}

func batchTable(batches ...openai.Batch) table {
	content := table{header: []string{"ID", "STATE", "TOTAL", "COMPLETED", "FAILED", "EXPIRES"}}
	for _, batch := range batches {
		content.rows = append(content.rows, []string{
			batch.ID, string(batch.Status), fmt.Sprint(batch.RequestCounts.Total),
			fmt.Sprint(batch.RequestCounts.Completed), fmt.Sprint(batch.RequestCounts.Failed),
			time.Unix(batch.ExpiresAt, 0).UTC().Format(time.RFC3339),
		})
	}
	return content
}

func batchSubmit(std streams) *ffcli.Command {
	flags := newFlags("wheelhoist batch submit", std)
	var conn connection
	conn.register(flags)
	var output format
	registerFormat(flags, &output)
	window := flags.String("window", "24h", "time to the deadline")
	endpoint := flags.String("endpoint", openai.PathChatCompletions, "API path of the items")
	key := flags.String("idempotency-key", "", "names the job over all sendings")
	wait := flags.Bool("wait", false, "wait for the end and show progress")
	return &ffcli.Command{
		Name: "submit", ShortUsage: "wheelhoist batch submit [flags] FILE.jsonl", FlagSet: flags, Options: options(),
		ShortHelp: "upload a file and submit it as a job",
		Exec: func(ctx context.Context, arguments []string) error {
			if len(arguments) != 1 {
				return &usageError{"submit needs one FILE"}
			}
			api := conn.client()
			file, err := upload(ctx, api, arguments[0])
			if err != nil {
				return err
			}
			batch, err := api.CreateBatch(ctx, openai.BatchRequest{
				InputFileID: file.ID, Endpoint: *endpoint, CompletionWindow: *window,
			}, *key)
			if err != nil {
				return err
			}
			if *wait {
				if batch, err = awaitBatch(ctx, api, batch.ID, std); err != nil {
					return err
				}
			}
			return writeBatch(std, output, batch)
		},
	}
}

// writeBatch prints a job and the findings about its input file. It returns an error if the job failed.
func writeBatch(std streams, output format, batch *openai.Batch) error {
	if err := output.write(std.out, batch, func() table { return batchTable(*batch) }); err != nil {
		return err
	}
	if batch.Errors != nil {
		for _, problem := range batch.Errors.Data {
			_, _ = fmt.Fprintf(std.err, "%s:%d: %s: %s\n", batch.InputFileID, problem.Line, problem.Code, problem.Message)
		}
	}
	if batch.Status == openai.BatchFailed {
		return &exitError{ExitInvalid}
	}
	return nil
}

func upload(ctx context.Context, api *client.Client, path string) (*openai.File, error) {
	content, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = content.Close() }()
	return api.Upload(ctx, filepath.Base(path), content)
}

// awaitBatch polls a job until it is final and shows its progress on standard error.
func awaitBatch(ctx context.Context, api *client.Client, id string, std streams) (*openai.Batch, error) {
	bar := progressbar.NewOptions(-1, progressbar.OptionSetWriter(std.err), progressbar.OptionSetDescription(id),
		progressbar.OptionShowCount(), progressbar.OptionClearOnFinish())
	defer func() { _ = bar.Finish() }()
	for {
		batch, err := api.Batch(ctx, id)
		if err != nil {
			return nil, err
		}
		if bar.GetMax() != batch.RequestCounts.Total {
			bar.ChangeMax(batch.RequestCounts.Total)
		}
		_ = bar.Set(batch.RequestCounts.Completed + batch.RequestCounts.Failed)
		if batch.Status.Final() {
			return batch, nil
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(pollInterval):
		}
	}
}

func batchStatus(std streams) *ffcli.Command {
	flags := newFlags("wheelhoist batch status", std)
	var conn connection
	conn.register(flags)
	var output format
	registerFormat(flags, &output)
	return &ffcli.Command{
		Name: "status", ShortUsage: "wheelhoist batch status [flags] [ID]", FlagSet: flags, Options: options(),
		ShortHelp: "show a job, or the tenant's jobs",
		Exec: func(ctx context.Context, arguments []string) error {
			if len(arguments) == 0 {
				batches, err := conn.client().Batches(ctx)
				if err != nil {
					return err
				}
				return output.write(std.out, batches, func() table { return batchTable(batches...) })
			}
			batch, err := conn.client().Batch(ctx, arguments[0])
			if err != nil {
				return err
			}
			return writeBatch(std, output, batch)
		},
	}
}

func batchResults(std streams) *ffcli.Command {
	flags := newFlags("wheelhoist batch results", std)
	var conn connection
	conn.register(flags)
	failures := flags.Bool("errors", false, "print the failed items instead")
	return &ffcli.Command{
		Name: "results", ShortUsage: "wheelhoist batch results [flags] ID", FlagSet: flags, Options: options(),
		ShortHelp: "print the results committed so far as JSON lines",
		Exec: func(ctx context.Context, arguments []string) error {
			if len(arguments) != 1 {
				return &usageError{"results needs one ID"}
			}
			batch, err := conn.client().Batch(ctx, arguments[0])
			if err != nil {
				return err
			}
			id := batch.OutputFileID
			if *failures {
				id = batch.ErrorFileID
			}
			if id == "" {
				return fmt.Errorf("job %s has no results, it is %s", batch.ID, batch.Status)
			}
			return conn.client().Content(ctx, id, std.out)
		},
	}
}

func batchCancel(std streams) *ffcli.Command {
	flags := newFlags("wheelhoist batch cancel", std)
	var conn connection
	conn.register(flags)
	var output format
	registerFormat(flags, &output)
	return &ffcli.Command{
		Name: "cancel", ShortUsage: "wheelhoist batch cancel [flags] ID", FlagSet: flags, Options: options(),
		ShortHelp: "stop a job; committed results stay readable",
		Exec: func(ctx context.Context, arguments []string) error {
			if len(arguments) != 1 {
				return &usageError{"cancel needs one ID"}
			}
			batch, err := conn.client().CancelBatch(ctx, arguments[0])
			if err != nil {
				return err
			}
			return writeBatch(std, output, batch)
		},
	}
}
