package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/wheelhoist/wheelhoist/internal/lab/history"
)

const (
	// histogramMax is the largest value that is recorded, in microseconds.
	histogramMax    = int64(2 * time.Minute / time.Microsecond)
	histogramDigits = 3
)

// Stats collects the outcomes and latencies of online requests. It is safe for concurrent use.
type Stats struct {
	mu        sync.Mutex
	ttft      *hdrhistogram.Histogram
	total     *hdrhistogram.Histogram
	tokenGaps *hdrhistogram.Histogram
	requests  int
	answered  int
	// reconnected is the number of answers that were interrupted and resumed.
	reconnected int
	refused     int
	failed      int
	wrong       int
	tokens      int
	// points is the time series for plots.
	points []Point
	start  time.Time
}

// Point is an answered request in the time series.
type Point struct {
	// At is the time since the first answer, in seconds.
	At float64
	// TTFT is the time to the first token, in milliseconds.
	TTFT float64
}

// NewStats returns statistics without any requests.
func NewStats() *Stats {
	newHistogram := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, histogramMax, histogramDigits) }
	return &Stats{ttft: newHistogram(), total: newHistogram(), tokenGaps: newHistogram()}
}

// Add records the outcome of a request.
func (s *Stats) Add(event history.Event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests++
	switch event.Type {
	case history.ClientAnswer:
		s.answered++
		if event.Outcome == "reconnected" {
			s.reconnected++
		}
		s.tokens += event.Tokens
		if !event.Match {
			s.wrong++
		}
		_ = s.ttft.RecordValue(int64(event.TTFT * 1000))
		_ = s.total.RecordValue(int64(event.Elapsed * 1000))
		if s.start.IsZero() {
			s.start = time.Now()
		}
		s.points = append(s.points, Point{At: time.Since(s.start).Seconds(), TTFT: event.TTFT})
	case history.ClientRefused:
		s.refused++
	default:
		s.failed++
	}
}

// AddTokenGap records the time between two consecutive tokens of an answer.
func (s *Stats) AddTokenGap(gap time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.tokenGaps.RecordValue(gap.Microseconds())
}

// Online summarizes the online requests of a run. Latencies are in milliseconds.
type Online struct {
	Requests int `json:"requests"`
	Answered int `json:"answered"`
	// Reconnected is the number of answers that were interrupted and resumed.
	Reconnected int     `json:"reconnected"`
	Refused     int     `json:"refused"`
	Failed      int     `json:"failed"`
	Wrong       int     `json:"wrong"`
	Tokens      int     `json:"tokens"`
	P50         float64 `json:"p50_ms"`
	P99         float64 `json:"p99_ms"`
	TTFTP50     float64 `json:"ttft_p50_ms"`
	TTFTP95     float64 `json:"ttft_p95_ms"`
	TTFTP99     float64 `json:"ttft_p99_ms"`
	GapP95      float64 `json:"token_gap_p95_ms"`
	GapP99      float64 `json:"token_gap_p99_ms"`
	TTFTMax     float64 `json:"ttft_max_ms"`
}

// Summary returns the summary of the requests recorded so far.
func (s *Stats) Summary() Online {
	s.mu.Lock()
	defer s.mu.Unlock()
	quantile := func(histogram *hdrhistogram.Histogram, q float64) float64 {
		return float64(histogram.ValueAtQuantile(q)) / 1000
	}
	return Online{
		Requests: s.requests, Answered: s.answered, Reconnected: s.reconnected, Refused: s.refused, Failed: s.failed, Wrong: s.wrong,
		Tokens: s.tokens, P50: quantile(s.total, 50), P99: quantile(s.total, 99),
		TTFTP50: quantile(s.ttft, 50), TTFTP95: quantile(s.ttft, 95), TTFTP99: quantile(s.ttft, 99),
		GapP95: quantile(s.tokenGaps, 95), GapP99: quantile(s.tokenGaps, 99),
		TTFTMax: float64(s.ttft.Max()) / 1000,
	}
}

// Points returns a copy of the time series.
func (s *Stats) Points() []Point {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Point(nil), s.points...)
}
