// Package server serves callers and operators over HTTP. Its handlers decode, validate and encode;
// admission, routing and storage are implemented by other packages.
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

// HTTP headers of requests and responses. A streamed answer also has engine.HeaderAttempt, with which
// a caller can resume it.
const (
	// HeaderExecuted says whether a failed request ran: yes, no or unknown.
	HeaderExecuted = "X-Wheelhoist-Executed"
	// HeaderRepeatable set to "no" marks a request that may run at most once.
	HeaderRepeatable = "X-Wheelhoist-Repeatable"
	// HeaderIdempotencyKey identifies a request across retries.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderNode is the ID of the node that sent the response.
	HeaderNode = "X-Wheelhoist-Node"
)

// Resources writes the configuration and reports the nodes on which a revision is in force.
type Resources interface {
	Write(ctx context.Context, change resource.Change, precondition resource.Precondition) (resource.Change, v1.Status, error)
	Status(revision uint64) v1.Status
	Refresh(ctx context.Context)
}

// PathStatus is the path at which a gateway serves its NodeStatus, at its metrics address.
const PathStatus = "/status"

// NodeStatus describes a node and its view of the other nodes, replicas and zones.
type NodeStatus struct {
	Node     string `json:"node"`
	Zone     string `json:"zone"`
	Revision uint64 `json:"revision"`
	Serving  bool   `json:"serving"`
	Draining bool   `json:"draining"`
	Open     int64  `json:"openRequests"`
	// ConfigAge is the time in seconds since the configuration was last read from the table.
	ConfigAge float64         `json:"configAgeSeconds"`
	Members   []MemberStatus  `json:"members"`
	Replicas  []ReplicaStatus `json:"replicas"`
	// Zones lists the zones that are declared or evacuated, or have nodes or replicas.
	Zones []ZoneStatus `json:"zones"`
	// Tenants lists the tenants with a limit that sent requests to this node recently.
	Tenants []TenantUsage `json:"tenants,omitempty"`
	// Items counts the unlisted batch items that this node is responsible for, by what they wait for.
	Items []WaitCount `json:"items,omitempty"`
}

// WaitCount counts the batch items that wait for the same reason.
type WaitCount struct {
	Reason string `json:"reason"`
	Items  int    `json:"items"`
	// Oldest is the longest time in seconds for which one of them has made no progress.
	Oldest float64 `json:"oldestSeconds"`
}

// TenantUsage is a tenant's use of its request limit as this node sees it.
type TenantUsage struct {
	Name string `json:"name"`
	// Rate, in requests per second, and Burst, in requests, are the limit across all nodes.
	Rate  float64 `json:"rate"`
	Burst float64 `json:"burst"`
	// Demand is the rate of requests to this node per second, refused ones included. Admitted counts
	// the requests that this node admitted since it started.
	Demand   float64 `json:"demand"`
	Admitted int64   `json:"admitted"`
	// Share is this node's share of the demand in the last grant of the tenant's owner. GrantAge is
	// the age of that grant in seconds, negative if there was none.
	Share    float64 `json:"part"`
	GrantAge float64 `json:"toldAgeSeconds"`
}

// Values of MemberStatus.Status.
const (
	// MemberAlive means that the member renews its session.
	MemberAlive = "alive"
	// MemberExpired means that the member did not renew its session within its time to live.
	MemberExpired = "expired"
)

// MemberStatus is the state of a member as this node sees it.
type MemberStatus struct {
	ID     string `json:"id"`
	Zone   string `json:"zone,omitempty"`
	Status string `json:"status"`
}

// ZoneStatus summarizes a zone as this node sees it.
type ZoneStatus struct {
	Zone string `json:"zone"`
	// Region is empty if the node's settings do not assign the zone to a region.
	Region string `json:"region,omitempty"`
	// Nodes and Replicas count the nodes and the listed replicas in the zone.
	Nodes    int `json:"nodes"`
	Replicas int `json:"replicas"`
	// Open counts the requests that this node has open at replicas in the zone.
	Open int `json:"open"`
	// Evacuated zones receive no new requests. EvacuatedSeconds is the time since this node learned
	// of the evacuation, EvacuatedVersion the version of the row that declares it.
	Evacuated        bool    `json:"evacuated"`
	EvacuatedSeconds float64 `json:"evacuatedSeconds,omitempty"`
	EvacuatedVersion uint64  `json:"evacuatedVersion,omitempty"`
}

// ReplicaStatus is the state of a replica as this node sees it.
type ReplicaStatus struct {
	ID      string       `json:"id"`
	Zone    string       `json:"zone"`
	Pool    string       `json:"pool"`
	State   engine.State `json:"state"`
	Role    engine.Role  `json:"role"`
	Version string       `json:"version"`
	// Open counts the requests that this node has open at the replica, Batch the batch items among
	// them.
	Open    int  `json:"open"`
	Batch   int  `json:"batch"`
	Ejected bool `json:"ejected,omitempty"`
	// ColdLeft is the time in seconds for which the replica still counts as cold. Until then this
	// node may send it ColdRate requests per second.
	ColdLeft float64 `json:"coldLeft,omitempty"`
	ColdRate float64 `json:"coldRate,omitempty"`
}

// Options configures a Server.
type Options struct {
	NodeID    string
	Log       zerolog.Logger
	Store     *resource.Store
	Resources Resources
	// Current reports whether the node's view of the configuration is current.
	Current func() bool
	// Serving reports whether the node can admit requests.
	Serving func() bool
	Routes  func() *route.Table
	Forward func(context.Context, *route.Route, *forward.Request, forward.Sink) (forward.Result, error)
	// Predict estimates the time to the first event of the answer to a request.
	Predict   func(*route.Route, *forward.Request, time.Time) (time.Duration, error)
	Replicas  *replica.Set
	Engines   engine.EngineClient
	Admission *admission.Controller
	Claims    *idempotency.Store
	Batch     *batch.Service
	// BatchWaits, if set, returns what the items of a batch wait for.
	BatchWaits func(batch string) []v1.BatchWait
	Status     func() NodeStatus
	Quarantine Quarantine
	Metrics    *prometheus.Registry
	// OperatorKeySHA256 is the hex SHA-256 of the operators' key.
	OperatorKeySHA256 string
	// MaxStreams is the maximum number of online requests open at this node.
	MaxStreams int
	// Drain starts a planned shutdown.
	Drain func()
}

// Server is the http.Handler of a node.
type Server struct {
	options Options
	app     *iris.Application
	tenants *tenantIndex
	// notReady fails the readiness check. draining also refuses new requests.
	notReady atomic.Bool
	draining atomic.Bool
	open     atomic.Int64
	metrics  *metrics
}

// New returns a Server and registers its metrics in options.Metrics.
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

// FailReadiness makes the readiness check fail, so that load balancers use other nodes.
func (s *Server) FailReadiness() { s.notReady.Store(true) }

// StartDraining makes the server refuse new requests.
func (s *Server) StartDraining() { s.draining.Store(true) }

// Draining reports whether StartDraining was called.
func (s *Server) Draining() bool { return s.draining.Load() }

// Open returns the number of online requests in progress.
func (s *Server) Open() int64 { return s.open.Load() }

// serving reports whether new requests may be admitted.
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
