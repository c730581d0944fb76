package v1

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/findings"
)

// Duration is a time.Duration that is encoded as a string like "250ms" or "4h".
type Duration time.Duration

// MarshalJSON implements json.Marshaler.
func (d Duration) MarshalJSON() ([]byte, error) { return json.Marshal(time.Duration(d).String()) }

// UnmarshalJSON implements json.Unmarshaler.
func (d *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return err
	}
	parsed, err := time.ParseDuration(text)
	*d = Duration(parsed)
	return err
}

// ReplicaRange bounds the number of replicas of a pool.
type ReplicaRange struct {
	Min int `json:"min"`
	Max int `json:"max"`
}

// BatchPolicy configures the batch work of a pool's replicas.
type BatchPolicy struct {
	// Headroom is the share of the pool's sequence slots, from 0 to 1, that is reserved for online
	// requests, on the fastest replicas; 0 means 0.35. Engines schedule online requests first on
	// all replicas; the headroom also keeps their steps short.
	Headroom float64 `json:"headroom,omitempty"`
}

// ModelPoolSpec declares a pool of replicas that serve one model.
type ModelPoolSpec struct {
	Model    string       `json:"model"`
	Version  string       `json:"version"`
	Adapters []string     `json:"adapters,omitempty"`
	Replicas ReplicaRange `json:"replicas"`
	// Generations lists the allowed hardware generations; empty means any.
	Generations []string `json:"generations,omitempty"`
	// MaxUnavailable is the maximum number of replicas that load a model at the same time; default 1.
	MaxUnavailable int         `json:"maxUnavailable,omitempty"`
	Batch          BatchPolicy `json:"batch,omitempty"`
}

// Validate implements Spec.
func (s *ModelPoolSpec) Validate(found *findings.List) {
	if s.Model == "" {
		found.Add("spec.model", "must be set")
	}
	if s.Version == "" {
		found.Add("spec.version", "must be set")
	}
	if s.Replicas.Min < 0 {
		found.Add("spec.replicas.min", "must not be negative")
	}
	if s.Replicas.Max < max(1, s.Replicas.Min) {
		found.Add("spec.replicas.max", "must be at least 1 and not below min")
	}
	if s.MaxUnavailable < 0 {
		found.Add("spec.maxUnavailable", "must not be negative")
	}
	if s.Batch.Headroom < 0 || s.Batch.Headroom > 1 {
		found.Add("spec.batch.headroom", "must be between 0 and 1")
	}
}

func oneOf[T comparable](value T, allowed ...T) bool {
	for _, candidate := range allowed {
		if value == candidate {
			return true
		}
	}
	return false
}

// MachineRoleSpec assigns a role to machines of a pool.
type MachineRoleSpec struct {
	Pool string `json:"pool"`
	// Role is mixed, online or batch.
	Role string `json:"role"`
	// Machines, Generation and Zone select machines. An empty field selects all.
	Machines   []string `json:"machines,omitempty"`
	Generation string   `json:"generation,omitempty"`
	Zone       string   `json:"zone,omitempty"`
}

// Validate implements Spec.
func (s *MachineRoleSpec) Validate(found *findings.List) {
	if s.Pool == "" {
		found.Add("spec.pool", "must be set")
	}
	if !oneOf(s.Role, "mixed", "online", "batch") {
		found.Add("spec.role", "must be mixed, online or batch")
	}
}

// TenantSpec declares a tenant, its key and its limits.
type TenantSpec struct {
	// Key is the tenant's secret key. The server stores only its hash, in KeySHA256.
	Key string `json:"key,omitempty"`
	// KeySHA256 is the hex SHA-256 of the key.
	KeySHA256 string `json:"keySHA256,omitempty"`
	// Weight is the tenant's share under contention; default 1.
	Weight float64 `json:"weight,omitempty"`
	// RequestsPerSecond, TokensPerSecond and Concurrency limit online requests across all nodes; zero
	// means no limit.
	RequestsPerSecond float64 `json:"requestsPerSecond,omitempty"`
	TokensPerSecond   float64 `json:"tokensPerSecond,omitempty"`
	Concurrency       int     `json:"concurrency,omitempty"`
}

// Validate implements Spec.
func (s *TenantSpec) Validate(found *findings.List) {
	if s.Key == "" && s.KeySHA256 == "" {
		found.Add("spec.key", "key or keySHA256 must be set")
	}
	if s.KeySHA256 != "" {
		if sum, err := hex.DecodeString(s.KeySHA256); err != nil || len(sum) != sha256.Size {
			found.Add("spec.keySHA256", "must be 64 hex digits")
		}
	}
	if s.Weight < 0 {
		found.Add("spec.weight", "must not be negative")
	}
	if s.RequestsPerSecond < 0 {
		found.Add("spec.requestsPerSecond", "must not be negative")
	}
	if s.TokensPerSecond < 0 {
		found.Add("spec.tokensPerSecond", "must not be negative")
	}
	if s.Concurrency < 0 {
		found.Add("spec.concurrency", "must not be negative")
	}
}

// HashKey returns the hex SHA-256 of a key, the form in which keys are stored.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Seal replaces Key by KeySHA256, its hash.
func (s *TenantSpec) Seal() {
	if s.Key != "" {
		s.KeySHA256 = HashKey(s.Key)
		s.Key = ""
	}
}

// BatchJobSpec declares a batch job over an uploaded input file.
type BatchJobSpec struct {
	Tenant      string `json:"tenant"`
	InputFileID string `json:"inputFileID"`
	Endpoint    string `json:"endpoint"`
	// Window is the time from acceptance to the deadline; default 24h.
	Window Duration `json:"window,omitempty"`
}

// Validate implements Spec.
func (s *BatchJobSpec) Validate(found *findings.List) {
	if s.Tenant == "" {
		found.Add("spec.tenant", "must be set")
	}
	if s.InputFileID == "" {
		found.Add("spec.inputFileID", "must be set")
	}
	if s.Window < 0 {
		found.Add("spec.window", "must not be negative")
	}
}

// BatchJobStatus is the state and progress of a batch job.
type BatchJobStatus struct {
	State     string `json:"state"`
	Total     int    `json:"total"`
	Completed int    `json:"completed"`
	Failed    int    `json:"failed"`
	// Waiting counts the submitted and unfinished items of a running batch, by the node that runs
	// them. For the items of the node that sent the response it also has what they wait for.
	Waiting []BatchWait `json:"waiting,omitempty"`
}

// BatchWait counts the items of a batch that wait for the same reason at one node.
type BatchWait struct {
	Node string `json:"node,omitempty"`
	// Reason is empty for the items of nodes other than the one that sent the response.
	Reason        string  `json:"reason,omitempty"`
	Items         int     `json:"items"`
	OldestSeconds float64 `json:"oldestSeconds,omitempty"`
}

// SitePolicySpec declares limits that apply to the whole site.
type SitePolicySpec struct {
	// QueueLimit is the maximum number of online requests that wait at one node; default 256.
	QueueLimit int `json:"queueLimit,omitempty"`
	// QueueTimeout is the maximum time that an online request waits for a replica; default 2s.
	QueueTimeout Duration `json:"queueTimeout,omitempty"`
	// RetryBudget is the fraction of requests that may be retried; default 0.1.
	RetryBudget float64 `json:"retryBudget,omitempty"`
	// Note is free text for operators.
	Note string `json:"note,omitempty"`
}

// Validate implements Spec.
func (s *SitePolicySpec) Validate(found *findings.List) {
	if s.QueueLimit < 0 {
		found.Add("spec.queueLimit", "must not be negative")
	}
	if s.QueueTimeout < 0 {
		found.Add("spec.queueTimeout", "must not be negative")
	}
	if s.RetryBudget < 0 || s.RetryBudget > 1 {
		found.Add("spec.retryBudget", "must be between 0 and 1")
	}
}

// EvacuationSpec declares the evacuation of a zone, the one with the resource's name. Until the
// resource is deleted, the zone's replicas receive no new requests. Running requests continue.
type EvacuationSpec struct {
	// Note is free text for operators, such as the reason and the author.
	Note string `json:"note,omitempty"`
}

// Validate implements Spec. Resource.Validate checks the name. A zone that does not exist is allowed,
// because it may be evacuated before it is built.
func (s *EvacuationSpec) Validate(*findings.List) {}
