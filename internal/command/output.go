package command

import (
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/goccy/go-yaml"

	v1 "github.com/wheelhoist/wheelhoist/api/v1"
)

// format is an output format.
type format string

const (
	formatTable format = "table"
	formatJSON  format = "json"
	formatYAML  format = "yaml"
)

// Set implements flag.Value.
func (f *format) Set(text string) error {
	switch format(text) {
	case formatTable, formatJSON, formatYAML:
		*f = format(text)
		return nil
	default:
		return fmt.Errorf("must be table, json or yaml")
	}
}

// String implements flag.Value.
func (f *format) String() string { return string(*f) }

func registerFormat(flags *flag.FlagSet, target *format) {
	*target = formatTable
	flags.Var(target, "o", "output format: table, json or yaml")
}

// table is the content of a command's table output.
type table struct {
	header []string
	rows   [][]string
}

// write prints a value in the format f. It calls render only for table output.
func (f format) write(out io.Writer, value any, render func() table) error {
	switch f {
	case formatJSON:
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(value)
	case formatYAML:
		encoded, err := json.Marshal(value)
		if err != nil {
			return err
		}
		source, err := yaml.JSONToYAML(encoded)
		if err != nil {
			return err
		}
		_, err = out.Write(source)
		return err
	default:
		return writeTable(out, render())
	}
}

func writeTable(out io.Writer, content table) error {
	const padding = 2
	writer := tabwriter.NewWriter(out, 0, 0, padding, ' ', 0)
	_, _ = fmt.Fprintln(writer, strings.Join(content.header, "\t"))
	for _, row := range content.rows {
		_, _ = fmt.Fprintln(writer, strings.Join(row, "\t"))
	}
	return writer.Flush()
}

func resourceTable(resources []v1.Resource) table {
	content := table{header: []string{"KIND", "NAME", "VERSION", "IN FORCE", "SPEC"}}
	for _, resource := range resources {
		content.rows = append(content.rows, []string{
			string(resource.Kind), resource.Metadata.Name, fmt.Sprint(resource.Metadata.ResourceVersion),
			formatStatus(resource.Status), truncateSpec(resource.Spec),
		})
	}
	return content
}

// formatStatus returns the IN FORCE column: the nodes on which a resource is in force, or the progress
// of a batch job.
func formatStatus(status *v1.Status) string {
	switch {
	case status == nil:
		return "-"
	case status.Batch != nil:
		return fmt.Sprintf("%s %d/%d", status.Batch.State, status.Batch.Completed, status.Batch.Total)
	case len(status.Laggards) > 0:
		return fmt.Sprintf("%d/%d, without %s", status.InForce, status.Expected, strings.Join(status.Laggards, ","))
	default:
		return fmt.Sprintf("%d/%d", status.InForce, status.Expected)
	}
}

// truncateSpec shortens a specification to fit a table row.
func truncateSpec(spec json.RawMessage) string {
	const maxLength = 70
	text := string(spec)
	if len(text) > maxLength {
		return text[:maxLength] + "…"
	}
	return text
}
