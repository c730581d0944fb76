package v1

// Suspect is work that ran on replicas which ended, as a node knows it.
type Suspect struct {
	// Work identifies it: 32 hexadecimal digits, a hash over caller, method, host, path and
	// body. Log lines name it as "work".
	Work string `json:"work"`
	// Replicas are those whose ends count against it, the oldest first.
	Replicas []string `json:"replicas"`
	// Quarantined work is sent to no replica.
	Quarantined bool `json:"quarantined"`
	// SecondsLeft is the time until it may run again, 0 if it may.
	SecondsLeft float64 `json:"secondsLeft,omitempty"`
	// SecondsSinceEnd is the time since the newest of these ends.
	SecondsSinceEnd float64 `json:"secondsSinceEnd"`
}

// SuspectList is all suspects that a node knows, those that ended most replicas first.
type SuspectList struct {
	Node  string    `json:"node"`
	Items []Suspect `json:"items"`
}
