package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"

	v1 "github.com/wheelhoist/wheelhoist/api/v1"
	"github.com/wheelhoist/wheelhoist/internal/findings"
)

func applyCommand(std streams) *ffcli.Command {
	flags := newFlags("wheelhoist apply", std)
	var conn connection
	conn.register(flags)
	var output format
	registerFormat(flags, &output)
	file := flags.String("f", "", "manifest file, - for standard input")
	return &ffcli.Command{
		Name: "apply", ShortUsage: "wheelhoist apply -f FILE [flags]", FlagSet: flags, Options: options(),
		ShortHelp: "declare the resources of a manifest",
		LongHelp:  "Checks all documents of the manifest first and writes none if any has findings.\nExits 4 if a change is committed and not yet in force on all nodes.",
		Exec: func(ctx context.Context, _ []string) error {
			if *file == "" {
				return &usageError{"apply needs -f FILE"}
			}
			resources, err := readManifest(*file, std.in)
			if err != nil {
				return err
			}
			return applyAll(ctx, &conn, resources, output, std)
		},
	}
}

// readManifest reads the resources of a manifest. The error has the findings of all documents.
func readManifest(path string, in io.Reader) ([]*v1.Resource, error) {
	source, err := readSource(path, in)
	if err != nil {
		return nil, err
	}
	documents, err := findings.ParseYAML(path, source)
	if err != nil {
		return nil, err
	}
	var found findings.List
	var resources []*v1.Resource
	for i := range documents {
		resource := &v1.Resource{}
		problems := documents[i].Decode(resource)
		_, invalid := resource.Validate()
		problems = append(problems, documents[i].Locate(invalid)...)
		found.Append(problems...)
		resources = append(resources, resource)
	}
	if len(documents) == 0 {
		found.Append(findings.Finding{File: path, Message: "the manifest has no documents"})
	}
	return resources, found.Err()
}

func readSource(path string, in io.Reader) ([]byte, error) {
	if path == "-" {
		return io.ReadAll(in)
	}
	return os.ReadFile(path)
}

// applyAll writes the resources in order and prints them. It continues after failures and returns all
// of them.
func applyAll(ctx context.Context, conn *connection, resources []*v1.Resource, output format, std streams) error {
	api := conn.client()
	var applied []v1.Resource
	var failures error
	pending := false
	for _, resource := range resources {
		answer, err := api.Put(ctx, resource, nil)
		if err != nil {
			failures = errors.Join(failures, fmt.Errorf("%s/%s: %w", resource.Kind, resource.Metadata.Name, err))
			continue
		}
		applied = append(applied, *answer)
		pending = pending || (answer.Status != nil && !answer.Status.Accepted())
	}
	if err := output.write(std.out, applied, func() table { return resourceTable(applied) }); err != nil {
		return err
	}
	if failures != nil {
		return failures
	}
	if pending {
		return &exitError{ExitPending}
	}
	return nil
}
