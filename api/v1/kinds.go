package v1

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/findings"
)

// Duration is a time span written like "250ms" or "4h".
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

// ReplicaRange bounds the replicas of a pool.
type ReplicaRange struct {
	Min int `json:"min"`
	Max int `json:"max"`
}

// BatchPolicy says how a pool's replicas take batch work.
type BatchPolicy struct {
	// Headroom is the share of the pool's sequence slots, those of its fastest
	// replicas, that is kept free of batch work, 0 to 1; 0 means 0.35. Engines run
	// online requests first everywhere; the headroom keeps steps short for them.
	Headroom float64 `json:"headroom,omitempty"`
}

// ModelPoolSpec declares a pool of replicas that serve one model.
type ModelPoolSpec struct {
	Model    string       `json:"model"`
	Version  string       `json:"version"`
	Adapters []string     `json:"adapters,omitempty"`
	Replicas ReplicaRange `json:"replicas"`
	// Generations lists the hardware generations allowed; empty means any.
	Generations []string `json:"generations,omitempty"`
	// MaxUnavailable bounds the replicas that load at the same time; default 1.
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

// MachineRoleSpec gives machines of a pool a role.
type MachineRoleSpec struct {
	Pool string `json:"pool"`
	// Role is mixed, online or batch.
	Role string `json:"role"`
	// Machines, Generation and Zone select machines; empty selects all.
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

// TenantSpec declares a caller and its limits.
type TenantSpec struct {
	// Key is the secret key; it is replaced by its hash before it is stored.
	Key string `json:"key,omitempty"`
	// KeySHA256 is the hex SHA-256 of the key.
	KeySHA256 string `json:"keySHA256,omitempty"`
	// Weight is the tenant's share under contention; default 1.
	Weight float64 `json:"weight,omitempty"`
	// RequestsPerSecond, TokensPerSecond and Concurrency limit online use over
	// all nodes; zero means no limit.
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

// HashKey returns the form in which a key is stored.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Seal replaces the key by its hash.
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

// BatchJobStatus tells how far a job has come.
type BatchJobStatus struct {
	State     string `json:"state"`
	Total     int    `json:"total"`
	Completed int    `json:"completed"`
	Failed    int    `json:"failed"`
	// Waiting tells, of a batch that runs, who runs the items that are begun and not done,
	// and what those of the node that was asked wait for.
	Waiting []BatchWait `json:"waiting,omitempty"`
}

// BatchWait counts items of a batch that wait for the same at one node.
type BatchWait struct {
	Node string `json:"node,omitempty"`
	// Reason is empty for those of other nodes than the one that was asked.
	Reason        string  `json:"reason,omitempty"`
	Items         int     `json:"items"`
	OldestSeconds float64 `json:"oldestSeconds,omitempty"`
}

// SitePolicySpec holds limits that apply to the whole site.
type SitePolicySpec struct {
	// QueueLimit bounds the online requests that wait at one node; default 256.
	QueueLimit int `json:"queueLimit,omitempty"`
	// QueueTimeout bounds an online request's wait for a replica; default 2s.
	QueueTimeout Duration `json:"queueTimeout,omitempty"`
	// RetryBudget is the share of requests that may be retried; default 0.1.
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

// EvacuationSpec declares that nothing new is sent to the replicas of the zone that the
// resource is named like, until the resource is deleted. What runs there runs on.
type EvacuationSpec struct {
	// Note is free text for operators: why, and by whom.
	Note string `json:"note,omitempty"`
}

// Validate implements Spec. The name is checked with the envelope; whether a zone of that
// name exists is no finding, for it may be emptied before it is built.
func (s *EvacuationSpec) Validate(*findings.List) {}
