package server

import (
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/wheelhoist/wheelhoist/internal/dispatch"
	"github.com/wheelhoist/wheelhoist/internal/outcome"
)

// metrics are the request metrics, named by the Prometheus conventions.
type metrics struct {
	requests   *prometheus.CounterVec
	refused    *prometheus.CounterVec
	firstToken prometheus.Histogram
	duration   prometheus.Histogram
	attempts   prometheus.Counter
	tokens     prometheus.Counter
}

func newMetrics(registry *prometheus.Registry, open *atomic.Int64) *metrics {
	m := &metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "wheelhoist_requests_total", Help: "Online requests by outcome.",
		}, []string{"outcome"}),
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "wheelhoist_requests_refused_total", Help: "Online requests refused by admission, by reason.",
		}, []string{"reason"}),
		firstToken: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "wheelhoist_first_token_seconds", Help: "Time from receipt to the first token.",
			Buckets: []float64{.01, .025, .05, .1, .2, .34, .5, 1, 2, 5},
		}),
		duration: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "wheelhoist_request_seconds", Help: "Time from receipt to the end of the answer.",
			Buckets: []float64{.05, .1, .25, .5, 1, 2, 5, 10, 30, 60},
		}),
		attempts: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "wheelhoist_attempts_total", Help: "Attempts sent to replicas for online requests.",
		}),
		tokens: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "wheelhoist_tokens_total", Help: "Tokens passed on to callers.",
		}),
	}
	openGauge := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "wheelhoist_requests_open", Help: "Online requests being answered.",
	}, func() float64 { return float64(open.Load()) })
	registry.MustRegister(m.requests, m.refused, m.firstToken, m.duration, m.attempts, m.tokens, openGauge)
	return m
}

func (m *metrics) observe(result dispatch.Result, err error, took time.Duration) {
	label := "done"
	if err != nil {
		label = "failed_executed_" + outcome.Of(err).String()
	}
	m.requests.WithLabelValues(label).Inc()
	m.attempts.Add(float64(result.Attempts))
	m.tokens.Add(float64(result.Tokens))
	if result.FirstToken > 0 {
		m.firstToken.Observe(result.FirstToken.Seconds())
	}
	m.duration.Observe(took.Seconds())
}
