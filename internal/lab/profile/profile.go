// Package profile describes the deployments that the lab emulates: their
// zones, replicas and load.
package profile

import (
	"fmt"
	"time"

	v1 "github.com/wheelhoist/wheelhoist/api/v1"
)

// Replicas is a group of equal replicas in one zone.
type Replicas struct {
	Zone       string
	Generation string
	Count      int
}

// Online describes the online load.
type Online struct {
	// MeanBurst and Quiet are the mean lengths of bursts and of the idle time between.
	MeanBurst time.Duration
	MeanIdle  time.Duration
	// Rate is the number of requests a second within a burst.
	Rate float64
	// Conversations share the beginning of their prompts; the rest are one-shot.
	ConversationShare float64
	// SharedWords, PromptWords and MaxTokens size requests.
	SharedWords int
	PromptWords int
	MaxTokens   int
}

// Batch describes the batch load.
type Batch struct {
	// BurstInterval is the time between two heaps of jobs.
	BurstInterval time.Duration
	// Jobs and Items size a heap.
	Jobs  int
	Items int
	// PromptWords and MaxTokens size items.
	PromptWords int
	MaxTokens   int
}

// Profile is one deployment.
type Profile struct {
	Name     string
	Model    string
	Pool     string
	Version  string
	Zones    []string
	Region   string
	Replicas []Replicas
	// ClientDelay is the way from callers to a zone; ZoneDelay between zones.
	ClientDelay time.Duration
	ZoneDelay   time.Duration
	Online      Online
	Batch       Batch
	// Policy is how batch gives way; the deployments weigh it differently.
	Policy v1.BatchPolicy
}

// Urnik is the time-sheet deployment: three zones, 12 replicas, a tail that
// people on building sites wait for.
var Urnik = Profile{
	Name: "urnik", Model: "urnik-llm", Pool: "urnik", Version: "v1", Region: "ljubljana",
	Zones: []string{"hall-bezigrad", "hall-vic", "hall-moste"},
	Replicas: []Replicas{
		{"hall-bezigrad", "newer", 2}, {"hall-bezigrad", "older", 2},
		{"hall-vic", "newer", 2}, {"hall-vic", "older", 2},
		{"hall-moste", "newer", 1}, {"hall-moste", "older", 3},
	},
	ClientDelay: 2 * time.Millisecond, ZoneDelay: 500 * time.Microsecond,
	Online: Online{
		MeanBurst: 3 * time.Second, MeanIdle: 2 * time.Second, Rate: 60,
		ConversationShare: 0.6, SharedWords: 320, PromptWords: 90, MaxTokens: 64,
	},
	Batch:  Batch{BurstInterval: 8 * time.Second, Jobs: 3, Items: 400, PromptWords: 120, MaxTokens: 48},
	Policy: v1.BatchPolicy{},
}

// Kalendarik is the bin-calendar deployment: four zones, 18 replicas, large
// batches of notices.
var Kalendarik = Profile{
	Name: "kalendarik", Model: "odvoz-llm", Pool: "odvoz", Version: "v1", Region: "slovakia-west",
	Zones: []string{"trnava-a", "trnava-b", "nitra-a", "nitra-b"},
	Replicas: []Replicas{
		{"trnava-a", "newer", 2}, {"trnava-a", "older", 3},
		{"trnava-b", "newer", 2}, {"trnava-b", "older", 2},
		{"nitra-a", "newer", 2}, {"nitra-a", "older", 3},
		{"nitra-b", "newer", 1}, {"nitra-b", "older", 3},
	},
	ClientDelay: 2 * time.Millisecond, ZoneDelay: 500 * time.Microsecond,
	Online: Online{
		MeanBurst: 3 * time.Second, MeanIdle: 3 * time.Second, Rate: 60,
		ConversationShare: 0.35, SharedWords: 240, PromptWords: 60, MaxTokens: 56,
	},
	Batch:  Batch{BurstInterval: 9 * time.Second, Jobs: 4, Items: 900, PromptWords: 100, MaxTokens: 40},
	Policy: v1.BatchPolicy{},
}

// All lists the profiles.
var All = []Profile{Urnik, Kalendarik}

// Find returns a profile by name.
func Find(name string) (Profile, error) {
	for _, candidate := range All {
		if candidate.Name == name {
			return candidate, nil
		}
	}
	return Profile{}, fmt.Errorf("unknown profile %q", name)
}

// ReplicaCount is the number of replicas.
func (p Profile) ReplicaCount() int {
	count := 0
	for _, group := range p.Replicas {
		count += group.Count
	}
	return count
}
