package emulator

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/engine"
)

// StreamLoad serves load reports as server-sent events: when they have changed
// in more than their time, and at least once in engine.MaxReportGap.
func StreamLoad(w http.ResponseWriter, r *http.Request, interval time.Duration, current func() engine.Load) {
	w.Header().Set("Content-Type", "text/event-stream")
	flusher := http.NewResponseController(w)
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	var last string
	var sent time.Time
	for {
		report := current()
		unstamped := report
		unstamped.ReportedUnixMs = 0
		key := fmt.Sprint(unstamped)
		if key != last || time.Since(sent) >= engine.MaxReportGap {
			last, sent = key, time.Now()
			body, err := json.Marshal(report)
			if err != nil {
				return
			}
			if _, err := fmt.Fprintf(w, "data: %s\n\n", body); err != nil || flusher.Flush() != nil {
				return
			}
		}
		select {
		case <-r.Context().Done():
			return
		case <-ticker.C:
		}
	}
}
