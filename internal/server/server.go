// Package server serves callers and operators over HTTP. Its handlers decode,
// check and encode; the decisions are made elsewhere.
package server

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/kataras/iris/v12"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rs/zerolog"

	"github.com/wheelhoist/wheelhoist/api/openai"
	v1 "github.com/wheelhoist/wheelhoist/api/v1"
	"github.com/wheelhoist/wheelhoist/internal/admission"
	"github.com/wheelhoist/wheelhoist/internal/batch"
	"github.com/wheelhoist/wheelhoist/internal/engine"
	"github.com/wheelhoist/wheelhoist/internal/forward"
	"github.com/wheelhoist/wheelhoist/internal/idempotency"
	"github.com/wheelhoist/wheelhoist/internal/replica"
	"github.com/wheelhoist/wheelhoist/internal/resource"
	"github.com/wheelhoist/wheelhoist/internal/route"
)

// HTTP headers towards callers. A failed request tells by HeaderExecuted
// whether it ran, and a begun answer by engine.HeaderAttempt how to go on with it.
const (
	// HeaderExecuted tells of a failed request whether it ran: yes, no or unknown.
	HeaderExecuted = "X-Wheelhoist-Executed"
	// HeaderRepeatable set to "no" marks a request that may run at most once.
	HeaderRepeatable = "X-Wheelhoist-Repeatable"
	// HeaderIdempotencyKey names a request over all its sendings.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderNode names the node that answered.
	HeaderNode = "X-Wheelhoist-Node"
)

// Resources is the resource API's view of the configuration.
type Resources interface {
	Write(ctx context.Context, change resource.Change, precondition resource.Precondition) (resource.Change, v1.Status, error)
	Status(revision uint64) v1.Status
	Refresh(ctx context.Context)
}

// PathStatus is where a gateway serves its NodeStatus, at its metrics address.
const PathStatus = "/status"

// NodeStatus describes a node and what it sees of the others.
type NodeStatus struct {
	Node     string `json:"node"`
	Zone     string `json:"zone"`
	Revision uint64 `json:"revision"`
	Serving  bool   `json:"serving"`
	Draining bool   `json:"draining"`
	Open     int64  `json:"openRequests"`
	// ConfigAge is the time, in seconds, since the table last answered about
	// the configuration.
	ConfigAge float64         `json:"configAgeSeconds"`
	Members   []MemberStatus  `json:"members"`
	Replicas  []ReplicaStatus `json:"replicas"`
	// Zones are those that are declared, evacuated, or hold nodes or replicas.
	Zones []ZoneStatus `json:"zones"`
	// Tenants are those with a limit that called here of late.
	Tenants []TenantUsage `json:"tenants,omitempty"`
	// Items are the batch items that the node is to run and that are not listed, by what
	// they wait for.
	Items []ItemWait `json:"items,omitempty"`
}

// ItemWait counts batch items that wait for the same.
type ItemWait struct {
	Reason string `json:"reason"`
	Items  int    `json:"items"`
	// Oldest is the longest time, in seconds, for which one of them has not come on.
	Oldest float64 `json:"oldestSeconds"`
}

// TenantUsage is a tenant's use of its limit of requests as this node sees it.
type TenantUsage struct {
	Name string `json:"name"`
	// Rate is in requests a second, Burst in requests, over all nodes.
	Rate  float64 `json:"rate"`
	Burst float64 `json:"burst"`
	// Demand is in requests a second, refused ones included; Admitted counts requests
	// since the node's start. Both are this node's.
	Demand   float64 `json:"demand"`
	Admitted int64   `json:"admitted"`
	// Share is this node's part of the demand as the tenant's owner told it, ToldAge how
	// many seconds ago; negative if it never did.
	Share    float64 `json:"part"`
	GrantAge float64 `json:"toldAgeSeconds"`
}

// States of a member.
const (
	// MemberAlive members renew their session.
	MemberAlive = "alive"
	// MemberExpired members have not renewed it for its time to live.
	MemberExpired = "expired"
)

// MemberStatus is a member as this node sees it.
type MemberStatus struct {
	ID     string `json:"id"`
	Zone   string `json:"zone,omitempty"`
	Status string `json:"status"`
}

// ZoneStatus sums up a zone as this node sees it.
type ZoneStatus struct {
	Zone string `json:"zone"`
	// Region is empty if the node's settings do not tell it.
	Region string `json:"region,omitempty"`
	// Nodes counts the nodes that are there, Replicas the listed replicas.
	Nodes    int `json:"nodes"`
	Replicas int `json:"replicas"`
	// Open counts what this node has open at replicas there.
	Open int `json:"open"`
	// Evacuated zones take nothing new. EvacuatedSeconds is how long this node has known
	// of it, EvacuatedVersion the version of the row that declares it.
	Evacuated        bool    `json:"evacuated"`
	EvacuatedSeconds float64 `json:"evacuatedSeconds,omitempty"`
	EvacuatedVersion uint64  `json:"evacuatedVersion,omitempty"`
}

// ReplicaStatus is a replica as this node sees it.
type ReplicaStatus struct {
	ID      string       `json:"id"`
	Zone    string       `json:"zone"`
	Pool    string       `json:"pool"`
	State   engine.State `json:"state"`
	Role    engine.Role  `json:"role"`
	Version string       `json:"version"`
	// Open and Batch count what this node has open there, and the items among it.
	Open    int  `json:"open"`
	Batch   int  `json:"batch"`
	Ejected bool `json:"ejected,omitempty"`
	// ColdLeft is how long it is taken as cold yet, in seconds; ColdRate is what this
	// node may send it meanwhile, in requests a second.
	ColdLeft float64 `json:"coldLeft,omitempty"`
	ColdRate float64 `json:"coldRate,omitempty"`
}

// Options are the parts that the handlers use.
type Options struct {
	NodeID    string
	Log       zerolog.Logger
	Store     *resource.Store
	Resources Resources
	// Current reports whether the view of the configuration is the present one.
	Current func() bool
	// Serving reports whether requests can be decided about.
	Serving func() bool
	Routes  func() *route.Table
	Forward func(context.Context, *route.Route, *forward.Request, forward.Sink) (forward.Result, error)
	// Predict estimates the time to the first event of a request.
	Predict   func(*route.Route, *forward.Request, time.Time) (time.Duration, error)
	Replicas  *replica.Set
	Engines   engine.Engines
	Admission *admission.Controller
	Claims    *idempotency.Store
	Batch     *batch.Service
	// BatchWaits, if set, tells what the items of a batch wait for.
	BatchWaits func(batch string) []v1.BatchWait
	Status     func() NodeStatus
	// Quarantine is what operators see of work that ended replicas.
	Quarantine Quarantine
	Metrics    *prometheus.Registry
	// OperatorKeySHA256 is the hash of the operators' key.
	OperatorKeySHA256 string
	MaxStreams        int
	// Drain starts a planned stop.
	Drain func()
}

// Server holds the handlers. It is an http.Handler.
type Server struct {
	options Options
	app     *iris.Application
	tenants *tenantIndex
	// notReady fails readiness; draining refuses new requests as well.
	notReady atomic.Bool
	draining atomic.Bool
	open     atomic.Int64
	metrics  *metrics
}

// New builds the handlers.
func New(options Options) (*Server, error) {
	s := &Server{options: options, app: iris.New(), tenants: newTenantIndex(options.Store)}
	s.metrics = newMetrics(options.Metrics, &s.open)
	s.app.Configure(
		iris.WithoutStartupLog,
		iris.WithoutInterruptHandler,
		iris.WithoutBodyConsumptionOnUnmarshal,
	)
	s.app.Logger().SetLevel("disable")
	s.routes()
	if err := s.app.Build(); err != nil {
		return nil, err
	}
	return s, nil
}

func (s *Server) routes() {
	callers := s.app.Party("/", s.authenticate)
	callers.Post(openai.PathChatCompletions, s.complete)
	callers.Post(openai.PathCompletions, s.complete)
	callers.Get(openai.PathModels, s.listModels)
	callers.Post(openai.PathFiles, s.uploadFile)
	callers.Get(openai.PathFiles+"/{id}", s.getFile)
	callers.Get(openai.PathFiles+"/{id}/content", s.fileContent)
	callers.Post(openai.PathBatches, s.createBatch)
	callers.Get(openai.PathBatches, s.listBatches)
	callers.Get(openai.PathBatches+"/{id}", s.getBatch)
	callers.Post(openai.PathBatches+"/{id}/cancel", s.cancelBatch)

	operators := s.app.Party("/apis/wheelhoist/v1", s.requireOperator)
	operators.Get("/status", s.nodeStatus)
	operators.Post("/drain", s.drain)
	operators.Get("/watch", s.watch)
	quarantine := iris.FromStd(QuarantineHandler(s.options.Quarantine, allowAll))
	operators.Get("/quarantine", quarantine)
	operators.Get("/quarantine/{work}", quarantine)
	operators.Delete("/quarantine/{work}", quarantine)
	operators.Get("/{kind}", s.listResources)
	operators.Get("/{kind}/{name}", s.getResource)
	operators.Put("/{kind}/{name}", s.putResource)
	operators.Delete("/{kind}/{name}", s.deleteResource)

	s.app.Get("/healthz", func(ctx iris.Context) { _, _ = ctx.WriteString("ok\n") })
	s.app.Get("/readyz", s.ready)
	s.app.Get("/metrics", iris.FromStd(promhttp.HandlerFor(s.options.Metrics, promhttp.HandlerOpts{})))
	s.app.OnErrorCode(iris.StatusNotFound, func(ctx iris.Context) {
		fail(ctx, iris.StatusNotFound, openai.TypeNotFound, "no such path")
	})
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.app.ServeHTTP(w, r) }

// FailReadiness makes readiness fail, so that callers go elsewhere.
func (s *Server) FailReadiness() { s.notReady.Store(true) }

// StartDraining refuses new requests from now on.
func (s *Server) StartDraining() { s.draining.Store(true) }

// Draining reports whether a planned stop has begun.
func (s *Server) Draining() bool { return s.draining.Load() }

// Open returns the number of online requests being answered.
func (s *Server) Open() int64 { return s.open.Load() }

// serving reports whether new work may be admitted.
func (s *Server) serving() bool {
	return !s.draining.Load() && s.options.Serving()
}

func (s *Server) ready(ctx iris.Context) {
	if s.notReady.Load() || !s.serving() {
		ctx.StatusCode(iris.StatusServiceUnavailable)
		_, _ = ctx.WriteString("not ready\n")
		return
	}
	_, _ = ctx.WriteString("ready\n")
}
