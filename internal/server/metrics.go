package server

import (
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/wheelhoist/wheelhoist/internal/forward"
	"github.com/wheelhoist/wheelhoist/internal/outcome"
)

// metrics holds the Prometheus metrics of online requests.
type metrics struct {
	requests *prometheus.CounterVec
	refused  *prometheus.CounterVec
	duration prometheus.Histogram
	tokens   prometheus.Counter
}

// newMetrics registers the metrics. open is the number of requests in progress.
func newMetrics(registry *prometheus.Registry, open *atomic.Int64) *metrics {
	m := &metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "wheelhoist_requests_total", Help: "Online requests by outcome.",
		}, []string{"outcome"}),
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "wheelhoist_requests_refused_total", Help: "Online requests refused by admission, by reason.",
		}, []string{"reason"}),
		duration: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "wheelhoist_request_seconds", Help: "Time from receipt to the end of the answer.",
			Buckets: []float64{.05, .1, .25, .5, 1, 2, 5, 10, 30, 60},
		}),
		tokens: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "wheelhoist_tokens_total", Help: "Tokens passed on to callers.",
		}),
	}
	openGauge := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "wheelhoist_requests_open", Help: "Online requests being answered.",
	}, func() float64 { return float64(open.Load()) })
	registry.MustRegister(m.requests, m.refused, m.duration, m.tokens, openGauge)
	return m
}

// observe records the outcome and duration of a forwarded request.
func (m *metrics) observe(result forward.Result, err error, elapsed time.Duration) {
	label := "done"
	if err != nil {
		label = "failed_executed_" + outcome.Of(err).String()
	}
	m.requests.WithLabelValues(label).Inc()
	m.tokens.Add(float64(result.Events))
	m.duration.Observe(elapsed.Seconds())
}
