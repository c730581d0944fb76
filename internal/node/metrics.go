package node

import (
	"errors"
	"net/http"
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/wheelhoist/wheelhoist/internal/clock"
	"github.com/wheelhoist/wheelhoist/internal/forward"
	"github.com/wheelhoist/wheelhoist/internal/outcome"
	"github.com/wheelhoist/wheelhoist/internal/peer"
	"github.com/wheelhoist/wheelhoist/internal/replica"
	"github.com/wheelhoist/wheelhoist/internal/route"
	"github.com/wheelhoist/wheelhoist/internal/streams"
	"github.com/wheelhoist/wheelhoist/internal/table"
	"github.com/wheelhoist/wheelhoist/platform"
)

// coreMetrics are the metrics of a core, named by the Prometheus conventions. Label values are
// kinds and outcomes only, so the number of series is bounded.
type coreMetrics struct {
	registry *prometheus.Registry
	requests *prometheus.CounterVec
	rejected *prometheus.CounterVec
	// clientsEnded counts the connections and requests of clients that were ended because of limits.
	clientsEnded *prometheus.CounterVec
	attempts     *prometheus.CounterVec
	firstEvent   *prometheus.HistogramVec
	eventGap     *prometheus.HistogramVec
	connections  prometheus.Counter
	// otherAnswers counts the answers of replicas that were for another request.
	otherAnswers prometheus.Counter
	// served counts requests by the distance of their replica.
	served     *prometheus.CounterVec
	storeCalls *prometheus.CounterVec
	storeTime  *prometheus.HistogramVec
	storeBytes *prometheus.CounterVec
	listCopies *prometheus.CounterVec
	// relayFailures counts the calls that relays did not answer.
	relayFailures *prometheus.CounterVec
	// traffic sums up the calls to the store for the log.
	traffic     storeTraffic
	droppedLogs prometheus.Counter
	jobs        *prometheus.CounterVec
	items       *prometheus.CounterVec
	preemptions *prometheus.CounterVec
	// reservations counts the slots requested from replicas, by the response.
	reservations *prometheus.CounterVec
	// sharedEjections counts replicas ejected on the evidence of several nodes.
	sharedEjections prometheus.Counter
	// restarts counts detected restarts of replicas under the same ID.
	restarts prometheus.Counter
	// quarantined counts works put in quarantine, cleared suspected works that succeeded, and
	// continuations counts attempts that continued a stream, by who continued it and by whether the
	// software version was that of the events before.
	continuations *prometheus.CounterVec
	// originLookups counts lookups of the origins of streams that callers continue here, by where the
	// origin was found.
	originLookups *prometheus.CounterVec
	// released works released by operators.
	quarantined, cleared, released prometheus.Counter
	// crashReportsCut counts the crash reports of other nodes that were not recorded, and the answers to them
	// that were not sent, by the limit that was reached.
	crashReportsCut *prometheus.CounterVec
	// trials counts trials of quarantined work of this node, by event.
	trials *prometheus.CounterVec
	// noReplica counts the requests that no replica could serve, by the main reason for which
	// replicas were excluded.
	noReplica *prometheus.CounterVec
	// unreadable counts versions of rows that cannot be read, by table and reason.
	unreadable *prometheus.CounterVec
	// predictionError is the actual less the predicted time to the first event.
	predictionError prometheus.Histogram
	// completed counts the completed items, for ItemsCompleted.
	completed atomic.Uint64
}

func newCoreMetrics() *coreMetrics {
	seconds := []float64{.01, .025, .05, .1, .2, .34, .5, 1, 2, 5}
	m := &coreMetrics{
		registry: prometheus.NewRegistry(),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "wheelhoist_gateway_requests_total", Help: "Forwarded requests by route kind and outcome.",
		}, []string{"kind", "outcome"}),
		rejected: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "wheelhoist_gateway_turned_away_total", Help: "Requests turned away before they were forwarded, by reason.",
		}, []string{"reason"}),
		clientsEnded: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "wheelhoist_clients_ended_total", Help: "Connections and requests of clients that this node ended because of its limits, by reason.",
		}, []string{"reason"}),
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "wheelhoist_gateway_attempts_total", Help: "Attempts at replicas by route kind.",
		}, []string{"kind"}),
		firstEvent: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "wheelhoist_gateway_first_event_seconds", Help: "Time from receipt to the first event.", Buckets: seconds,
		}, []string{"kind"}),
		eventGap: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "wheelhoist_gateway_event_gap_seconds", Help: "Longest pause between two events of an answer.", Buckets: seconds,
		}, []string{"kind"}),
		connections: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "wheelhoist_gateway_replica_connections_total", Help: "New connections to replicas.",
		}),
		otherAnswers: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "wheelhoist_gateway_answers_to_other_requests_total", Help: "Answers of replicas that came in place of the answer to another request.",
		}),
		storeCalls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "wheelhoist_store_calls_total", Help: "Calls to the platform's store by call, table and outcome.",
		}, []string{"call", "table", "outcome"}),
		storeBytes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "wheelhoist_store_bytes_total", Help: "Bytes of the bodies of calls to the store, by path, table and direction.",
		}, []string{"path", "table", "direction"}),
		listCopies: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "wheelhoist_replica_list_copies_total", Help: "Attempts to copy the replica list from another node, by result.",
		}, []string{"result"}),
		relayFailures: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "wheelhoist_relay_failures_total", Help: "Calls for changes that another node did not answer, by group.",
		}, []string{"group"}),
		storeTime: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "wheelhoist_store_call_seconds", Help: "Time of calls to the platform's store.", Buckets: seconds,
		}, []string{"call"}),
		droppedLogs: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "wheelhoist_log_lines_dropped_total", Help: "Log lines dropped because output was slow.",
		}),
	}
	m.jobs = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "wheelhoist_jobs_total", Help: "Batch jobs by what happened to them at this node.",
	}, []string{"event"})
	m.items = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "wheelhoist_job_items_total", Help: "Batch items by what happened to them at this node.",
	}, []string{"event"})
	m.preemptions = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "wheelhoist_items_gave_way_total", Help: "Items that made room for online requests, by what asked for it.",
	}, []string{"cause"})
	m.reservations = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "wheelhoist_gateway_reservations_total", Help: "Slots asked for at replicas by requests that found none of their node free, by the answer.",
	}, []string{"outcome"})
	m.sharedEjections = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "wheelhoist_gateway_replicas_ejected_by_many_total", Help: "Replicas left out for a while on the evidence of several nodes.",
	})
	m.restarts = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "wheelhoist_gateway_replica_restarts_total", Help: "Replicas noticed to have started again under their id.",
	})
	m.quarantined = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "wheelhoist_quarantine_works_total", Help: "Works that this node found to end the replicas which run them.",
	})
	m.cleared = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "wheelhoist_quarantine_cleared_total", Help: "Suspected works of which a run at this node ended well.",
	})
	m.crashReportsCut = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "wheelhoist_quarantine_reports_cut_total", Help: "Crashes in messages of other nodes that were not recorded (entries), and answers to such messages that were not sent (replies), because there were too many in a second.",
	}, []string{"limit"})
	m.trials = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "wheelhoist_quarantine_trials_total", Help: "Requests of this node that ran as a trial of quarantined work (begun), those that ended with neither a success nor a crash (inconclusive), and claims of a replica that were denied because another trial ran there (claim_denied).",
	}, []string{"event"})
	m.continuations = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "wheelhoist_gateway_stream_continuations_total", Help: "Attempts that continued a stream, by who continued it (node, caller) and whether the replica's software version is that of the events before (same, other, unknown).",
	}, []string{"by", "software"})
	m.originLookups = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "wheelhoist_stream_origin_lookups_total", Help: "Lookups of the software version that began a stream which a caller continues here, by where it was found (here, other_node, table, only_version, unknown) and whether it may have been any of several versions.",
	}, []string{"found", "ambiguous"})
	m.released = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "wheelhoist_quarantine_released_total", Help: "Works that operators released at this node.",
	})
	m.noReplica = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "wheelhoist_gateway_requests_excluded_total", Help: "Requests that ended because no replica could take them, by what excluded most replicas.",
	}, []string{"reason"})
	m.predictionError = prometheus.NewHistogram(prometheus.HistogramOpts{
		Name: "wheelhoist_gateway_prediction_error_seconds", Help: "First event of an attempt, actual less predicted time.",
		Buckets: []float64{-.5, -.2, -.1, -.05, -.02, 0, .02, .05, .1, .2, .5, 1},
	})
	m.served = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "wheelhoist_gateway_served_total", Help: "Requests served, by how far the replica is from this node.",
	}, []string{"place"})
	m.unreadable = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "wheelhoist_rows_unreadable_total", Help: "Versions of rows and objects that this node cannot read, by table and reason.",
	}, []string{"table", "reason"})
	m.registry.MustRegister(m.originLookups, m.continuations, m.unreadable, m.restarts, m.quarantined, m.cleared, m.released, m.trials, m.crashReportsCut, m.served, m.sharedEjections, m.noReplica, m.preemptions, m.reservations, m.predictionError, m.jobs, m.items, m.requests, m.rejected, m.attempts, m.firstEvent, m.eventGap, m.connections, m.otherAnswers,
		m.storeCalls, m.storeTime, m.storeBytes, m.listCopies, m.relayFailures, m.droppedLogs, m.clientsEnded)
	return m
}

// gauge registers a gauge whose value is read at collection.
func (m *coreMetrics) gauge(name, help string, value func() float64) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, value))
}

// counter registers a counter whose value is read at collection.
func (m *coreMetrics) counter(name, help string, value func() float64) {
	m.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Name: name, Help: help}, value))
}

// registerViews registers the gauges that show the state of a core.
func (m *coreMetrics) registerViews(c *core) {
	m.gauge("wheelhoist_gateway_requests_open", "Requests being forwarded.", func() float64 { return float64(c.open.Load()) })
	m.gauge("wheelhoist_gateway_answer_bytes_held", "Bytes of answers that are in memory, beyond 16 KB of each.", func() float64 { return float64(c.forwarder.HeldBytes()) })
	m.gauge("wheelhoist_gateway_config_version", "Version of the configuration in force.", func() float64 {
		if routes := c.routes.Load(); routes != nil {
			return float64(routes.Version)
		}
		return 0
	})
	m.gauge("wheelhoist_suspended_seconds", "Time for which the machine has been suspended since the process began.", func() float64 { return clock.Suspended().Seconds() })
	m.gauge("wheelhoist_gateway_evacuated_zones", "Zones that operators empty.", func() float64 { return float64(len(c.evacuations.all())) })
	m.gauge("wheelhoist_gateway_replicas", "Listed replicas.", func() float64 {
		listed, _ := c.replicas.Count(clock.Now())
		return float64(listed)
	})
	m.gauge("wheelhoist_gateway_replicas_ejected", "Replicas left out on this node's own evidence.", func() float64 {
		_, ejected := c.replicas.Count(clock.Now())
		return float64(ejected)
	})
}

// registerDivision registers how often the slots were divided.
func (m *coreMetrics) registerDivision(replicas *replica.Set) {
	m.gauge("wheelhoist_gateway_slot_divisions", "Divisions of the slots of this node's shard computed since the start.", func() float64 { return float64(replicas.Divisions()) })
}

// registerStreams registers the number of stream origins that this node holds.
func (m *coreMetrics) registerStreams(registry *streams.Registry) {
	m.gauge("wheelhoist_stream_origins", "Origins of streams that this node holds, its own and those of other nodes.", func() float64 { return float64(registry.Len()) })
}

// registerPeers registers the counts of datagrams between nodes.
func (m *coreMetrics) registerPeers(socket *peer.Socket) {
	count := func(pick func(sent, received, malformed int64) int64) func() float64 {
		return func() float64 { return float64(pick(socket.Counts())) }
	}
	m.gauge("wheelhoist_peer_datagrams_sent", "Datagrams sent to other nodes.", count(func(sent, _, _ int64) int64 { return sent }))
	m.gauge("wheelhoist_peer_datagrams_received", "Datagrams received from other nodes.", count(func(_, received, _ int64) int64 { return received }))
	m.gauge("wheelhoist_peer_datagrams_malformed", "Datagrams received that nobody could read.", count(func(_, _, malformed int64) int64 { return malformed }))
}

// registerPools registers the collectors of pools and of waiting items.
func (m *coreMetrics) registerPools(c *core) {
	m.registry.MustRegister(&poolCollector{replicas: c.replicas, now: clock.Now})
	m.registry.MustRegister(&itemWaitCollector{counts: c.runner.WaitCounts, now: clock.Now})
}

// registerAge registers the age of a watched source.
func (m *coreMetrics) registerAge(name, help string, watcher *table.Watcher) {
	m.gauge(name, help, func() float64 { return watcher.Age().Seconds() })
}

func (m *coreMetrics) handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

func (m *coreMetrics) observeStoreCall(call platform.CallKind, result platform.CallResult) {
	m.traffic.add(call, result)
	label := "done"
	if result.Err != nil {
		label = "failed_" + outcome.Of(result.Err).String()
	}
	m.storeCalls.WithLabelValues(call.Path, call.Table, label).Inc()
	m.storeBytes.WithLabelValues(call.Path, call.Table, "sent").Add(float64(result.Sent))
	m.storeBytes.WithLabelValues(call.Path, call.Table, "received").Add(float64(result.Received))
	m.storeTime.WithLabelValues(call.Path).Observe(result.Elapsed.Seconds())
}

// countExcluded counts a request that failed because no replica could serve it.
func (m *coreMetrics) countExcluded(err error) {
	if noReplicaErr := (*replica.NoReplicaError)(nil); errors.As(err, &noReplicaErr) {
		m.noReplica.WithLabelValues(noReplicaErr.MainReason().String()).Inc()
	}
}

// observeAnswer counts an answer that was for another request.
func (m *coreMetrics) observeAnswer(err error) {
	if failed := (*forward.ConnectionError)(nil); errors.As(err, &failed) && failed.OtherAnswer {
		m.otherAnswers.Inc()
	}
}

func (m *coreMetrics) observeForwarded(target *route.Route, result forward.Result, err error) {
	kind := string(target.Kind)
	label := "done"
	if err != nil {
		label = "failed_executed_" + outcome.Of(err).String()
	}
	m.requests.WithLabelValues(kind, label).Inc()
	if err == nil {
		m.served.WithLabelValues(result.Distance.String()).Inc()
	}
	m.attempts.WithLabelValues(kind).Add(float64(result.Attempts))
	if result.HeadSent {
		m.firstEvent.WithLabelValues(kind).Observe(result.TimeToFirstByte.Seconds())
	}
	if result.Events > 1 {
		m.eventGap.WithLabelValues(kind).Observe(result.MaxGap.Seconds())
	}
}
