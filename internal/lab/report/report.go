// Package report writes the results of experiments as a text summary, JSON, a CSV table and an HTML
// page with charts.
package report

import (
	"encoding/csv"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sort"
	"strconv"
	"text/tabwriter"

	"github.com/go-echarts/go-echarts/v2/charts"
	"github.com/go-echarts/go-echarts/v2/components"
	"github.com/go-echarts/go-echarts/v2/opts"
	"github.com/zeebo/errs"

	"github.com/wheelhoist/wheelhoist/internal/lab/experiment"
	"github.com/wheelhoist/wheelhoist/internal/lab/history"
	"github.com/wheelhoist/wheelhoist/internal/lab/load"
)

// Error is the class of all errors of this package.
var Error = errs.Class("report")

// Text writes a summary of result as text.
func Text(out io.Writer, result *experiment.Result) error {
	const padding = 2
	writer := tabwriter.NewWriter(out, 0, 0, padding, ' ', 0)
	line := func(format string, arguments ...any) { _, _ = fmt.Fprintf(writer, format+"\n", arguments...) }
	line("scenario\t%s, profile %s, seed %d", result.Scenario, result.Profile, result.Seed)
	online := result.Online
	line("online\t%d requests, %d whole, %d refused, %d failed", online.Requests, online.Answered, online.Refused, online.Failed)
	line("first token\tp50 %.0f ms, p95 %.0f ms, p99 %.0f ms", online.TTFTP50, online.TTFTP95, online.TTFTP99)
	line("batch\t%d jobs, %d items, %.0f items/s, %.1f%% of tokens wasted", result.Batch.Jobs, result.Batch.Items, result.Batch.PerSecond, 100*result.Batch.WastedTokenShare)
	if result.TTFTP99VersusAlone != nil {
		line("first token p99 against online alone\t%.3f", *result.TTFTP99VersusAlone)
	}
	if result.IdleUse != nil {
		line("idle capacity used\t%.3f", *result.IdleUse)
	}
	for _, row := range result.Rows {
		line("%s\t%s", row.Name, formatFigures(row.Figures))
	}
	if len(result.Figures) > 0 {
		line("figures\t%s", formatFigures(result.Figures))
	}
	line("violations\t%d", len(result.Violations))
	for _, violation := range result.Violations {
		line("\t%s", violation)
	}
	return Error.Wrap(writer.Flush())
}

func formatFigures(values map[string]float64) string {
	text := ""
	for _, name := range sortedKeys(values) {
		text += fmt.Sprintf("%s=%.4g  ", name, values[name])
	}
	return text
}

func sortedKeys(values map[string]float64) []string {
	keys := make([]string, 0, len(values))
	for key := range values {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}

// Write writes history.jsonl, result.json, table.csv and report.html to a directory, which is created
// if necessary.
func Write(directory string, result *experiment.Result) error {
	if err := os.MkdirAll(directory, 0o755); err != nil {
		return Error.Wrap(err)
	}
	var group errs.Group
	group.Add(history.WriteFile(filepath.Join(directory, "history.jsonl"), result.Events))
	group.Add(writeFile(filepath.Join(directory, "result.json"), func(out io.Writer) error {
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(result)
	}))
	group.Add(writeFile(filepath.Join(directory, "table.csv"), func(out io.Writer) error { return writeTable(out, result) }))
	group.Add(writeFile(filepath.Join(directory, "report.html"), func(out io.Writer) error { return writePage(out, result) }))
	return Error.Wrap(group.Err())
}

func writeFile(path string, write func(io.Writer) error) error {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	var group errs.Group
	group.Add(write(file))
	group.Add(file.Close())
	return group.Err()
}

// writeTable writes the rows of a comparison as CSV, or one row per answered request if there are
// none.
func writeTable(out io.Writer, result *experiment.Result) error {
	writer := csv.NewWriter(out)
	if len(result.Rows) > 0 {
		columns := sortedKeys(result.Rows[0].Figures)
		_ = writer.Write(append([]string{"name"}, columns...))
		for _, row := range result.Rows {
			record := []string{row.Name}
			for _, column := range columns {
				record = append(record, strconv.FormatFloat(row.Figures[column], 'g', 6, 64))
			}
			_ = writer.Write(record)
		}
	} else {
		_ = writer.Write([]string{"at_s", "ttft_ms"})
		for _, point := range result.Points {
			_ = writer.Write([]string{formatFloat(point.At), formatFloat(point.TTFT)})
		}
	}
	writer.Flush()
	return writer.Error()
}

func formatFloat(value float64) string { return strconv.FormatFloat(value, 'f', 3, 64) }

// writePage writes the HTML page with the charts.
func writePage(out io.Writer, result *experiment.Result) error {
	page := components.NewPage()
	page.PageTitle = "wheelhoist: " + result.Scenario
	if len(result.Points) > 0 {
		page.AddCharts(ttftChart(result.Points))
	}
	if len(result.Rows) > 0 {
		page.AddCharts(throughputChart(result.Rows))
	}
	return page.Render(out)
}

func ttftChart(points []load.Point) *charts.Scatter {
	scatter := charts.NewScatter()
	scatter.SetGlobalOptions(
		charts.WithTitleOpts(opts.Title{Title: "First token over time"}),
		charts.WithXAxisOpts(opts.XAxis{Name: "s", Type: "value"}),
		charts.WithYAxisOpts(opts.YAxis{Name: "ms"}),
	)
	data := make([]opts.ScatterData, 0, len(points))
	for _, point := range points {
		data = append(data, opts.ScatterData{Value: []float64{point.At, point.TTFT}, SymbolSize: 4})
	}
	scatter.AddSeries("first token", data)
	return scatter
}

// throughputChart plots batch throughput against online tail latency, one point per row.
func throughputChart(rows []experiment.Row) *charts.Scatter {
	scatter := charts.NewScatter()
	scatter.SetGlobalOptions(
		charts.WithTitleOpts(opts.Title{Title: "Batch throughput against the online tail"}),
		charts.WithXAxisOpts(opts.XAxis{Name: "first token p99, ms", Type: "value", Scale: opts.Bool(true)}),
		charts.WithYAxisOpts(opts.YAxis{Name: "items/s", Scale: opts.Bool(true)}),
		charts.WithTooltipOpts(opts.Tooltip{Show: opts.Bool(true)}),
	)
	for _, row := range rows {
		point := opts.ScatterData{Name: row.Name, Value: []float64{row.Figures["ttft_p99_ms"], row.Figures["items_per_s"]}, SymbolSize: 12}
		scatter.AddSeries(row.Name, []opts.ScatterData{point})
	}
	return scatter
}
