package peer

// Kinds of messages, all in one place, for no two may be alike. A number is never given
// to another kind: nodes of two versions of the program talk to each other during an
// upgrade.
const (
	// KindQuotaReport carries what a node admitted of tenants to their owner, and
	// KindQuotaGrant the owner's answer.
	KindQuotaReport Kind = 1
	KindQuotaGrant  Kind = 2
	// KindDemandReport carries what online requests need of pools at a node.
	KindDemandReport Kind = 3
	// KindColdGrantRequest asks a node for a place at a cold replica that it feeds, and
	// KindColdAnswer is its answer.
	KindColdGrantRequest Kind = 4
	KindColdGrantReply   Kind = 5
	// KindRowsChanged says that rows which nodes follow have changed.
	KindRowsChanged Kind = 6
	// KindReplicaFailures carries what a node has seen of replicas that failed.
	KindReplicaFailures Kind = 7
	// KindQuotaProbe asks whether a node is there, and KindQuotaContact is its answer, for
	// the owners of tenants.
	KindQuotaProbe      Kind = 8
	KindQuotaProbeReply Kind = 9
	// KindCrashReport carries replicas that ended with the work that ran there, and work of which
	// a run ended well.
	KindCrashReport Kind = 10
)
