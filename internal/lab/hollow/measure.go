package hollow

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"
)

// clockTicks is the unit of CPU times in /proc on Linux (sysconf _SC_CLK_TCK).
const clockTicks = 100

// cpuTime returns the processor time that a process has used.
func cpuTime(pid int) (time.Duration, error) {
	source, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, Error.Wrap(err)
	}
	// The command name, in parentheses, may hold spaces; fields follow it.
	text := string(source)
	fields := strings.Fields(text[strings.LastIndexByte(text, ')')+1:])
	const userField, systemField = 11, 12
	user, errUser := strconv.ParseInt(fields[userField], 10, 64)
	system, errSystem := strconv.ParseInt(fields[systemField], 10, 64)
	if errUser != nil || errSystem != nil {
		return 0, Error.New("unexpected /proc stat of %d", pid)
	}
	return time.Duration(user+system) * time.Second / clockTicks, nil
}

// residentBytes returns the resident memory of a process.
func residentBytes(pid int) (int64, error) {
	source, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0, Error.Wrap(err)
	}
	fields := strings.Fields(string(source))
	pages, err := strconv.ParseInt(fields[1], 10, 64)
	return pages * int64(os.Getpagesize()), Error.Wrap(err)
}

// scrape reads the metrics of a node.
func scrape(ctx context.Context, url string) (map[string]float64, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url+"/metrics", nil)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	defer func() { _ = response.Body.Close() }()
	values := map[string]float64{}
	scanner := bufio.NewScanner(response.Body)
	for scanner.Scan() {
		name, text, found := strings.Cut(scanner.Text(), " ")
		if !found || strings.HasPrefix(name, "#") {
			continue
		}
		if value, err := strconv.ParseFloat(text, 64); err == nil {
			values[name] = value
		}
	}
	return values, Error.Wrap(scanner.Err())
}

// controlBytes is the whole control traffic of a node, both directions, with
// the platform and the engines.
func controlBytes(metrics map[string]float64) float64 {
	return metrics["wheelhoist_control_sent_bytes"] + metrics["wheelhoist_control_received_bytes"]
}
