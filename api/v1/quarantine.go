package v1

// Suspect is work that a node suspects of crashing the replicas that ran it.
type Suspect struct {
	// Work identifies the work by 32 hexadecimal digits, a hash of its caller, method, host, path and
	// body. Log lines have it under the key "work".
	Work string `json:"work"`
	// Part is set if Work identifies a part of prompts at the replicas of a pool instead: all requests
	// that hold it are refused.
	Part bool `json:"part,omitempty"`
	// Replicas lists the replicas whose crashes count against the work, the oldest first.
	Replicas []string `json:"replicas"`
	// Quarantined is set if the work is sent to no replica.
	Quarantined bool `json:"quarantined"`
	// SecondsLeft is the time until the work may run again, 0 if it may run now.
	SecondsLeft float64 `json:"secondsLeft,omitempty"`
	// SecondsSinceEnd is the time since the latest of the crashes.
	SecondsSinceEnd float64 `json:"secondsSinceEnd"`
}

// SuspectList lists the suspects of a node, those with the most crashes first.
type SuspectList struct {
	Node  string    `json:"node"`
	Items []Suspect `json:"items"`
}
