package quarantine

import "time"

// CrashReport reports a replica that crashed while it ran requests of one node.
type CrashReport struct {
	// Replica is the replica's id. StartedUnixMs distinguishes its starts; 0 if it is not known.
	Replica       string
	StartedUnixMs int64
	// Runs are the runs of the reporting node on that replica.
	Runs []Run
	// Parts are the same runs, by the parts of their prompts.
	Parts []Run
	// At is the time of the crash.
	At time.Time
}

// Run is one run of work on a replica.
type Run struct {
	Work Work
	// SentAt is when the request was sent to the replica.
	SentAt time.Time
	// Trial is set if the run was a trial of quarantined work. TriedPart is the quarantined part of which it
	// was a trial; zero if none.
	Trial     bool
	TriedPart Work
	// Parts identifies the parts of the prompt that other requests may hold too.
	Parts []Work
	// Answered is set if the header of the answer had arrived; only the node that sent the run
	// knows it.
	Answered bool
}

// works returns the set of works in the report.
func (r *CrashReport) works() map[Work]struct{} {
	works := make(map[Work]struct{}, len(r.Runs))
	for _, run := range r.Runs {
		works[run.Work] = struct{}{}
	}
	return works
}
