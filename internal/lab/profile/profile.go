// Package profile describes the deployments that the lab emulates: their zones, replicas and load.
package profile

import (
	"fmt"
	"time"

	v1 "github.com/wheelhoist/wheelhoist/api/v1"
)

// Replicas is a group of identical replicas in one zone.
type Replicas struct {
	Zone string
	// Generation is the name of the hardware generation, "newer" or "older".
	Generation string
	Count      int
}

// Online describes the online load: bursts of requests with idle time between them.
type Online struct {
	// MeanBurst and MeanIdle are the mean lengths of bursts and of the idle time between them.
	MeanBurst time.Duration
	MeanIdle  time.Duration
	// Rate is the mean number of requests per second within a burst.
	Rate float64
	// ConversationShare is the fraction of requests that belong to a conversation. Requests of the
	// same conversation share a prompt prefix.
	ConversationShare float64
	// SharedWords is the length of the shared prefix in words. PromptWords and MaxTokens are the
	// mean length of the rest of the prompt and the mean token limit of a request.
	SharedWords int
	PromptWords int
	MaxTokens   int
}

// Batch describes the batch load: bursts of jobs.
type Batch struct {
	// BurstInterval is the time between two bursts of jobs.
	BurstInterval time.Duration
	// Jobs is the number of jobs per burst, Items the number of items per job.
	Jobs  int
	Items int
	// PromptWords and MaxTokens are the mean prompt length and the mean token limit of an item.
	PromptWords int
	MaxTokens   int
}

// Profile describes one deployment.
type Profile struct {
	Name     string
	Model    string
	Pool     string
	Version  string
	Zones    []string
	Region   string
	Replicas []Replicas
	// ClientDelay is the network delay from callers to a zone, ZoneDelay the delay between zones.
	ClientDelay time.Duration
	ZoneDelay   time.Duration
	Online      Online
	Batch       Batch
	// Policy sets how batch work yields to online work.
	Policy v1.BatchPolicy
}

// Urnik is a time-sheet service with three zones and 12 replicas. Its users wait for online answers,
// so tail latency matters most.
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

// Kalendarik is a waste-collection calendar with four zones and 18 replicas. It sends notices in
// large batches.
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

// All lists the known profiles.
var All = []Profile{Urnik, Kalendarik}

// Find returns the profile with the given name.
func Find(name string) (Profile, error) {
	for _, candidate := range All {
		if candidate.Name == name {
			return candidate, nil
		}
	}
	return Profile{}, fmt.Errorf("unknown profile %q", name)
}

// ReplicaCount returns the total number of replicas.
func (p Profile) ReplicaCount() int {
	count := 0
	for _, group := range p.Replicas {
		count += group.Count
	}
	return count
}
