package peer

// Kinds of messages, all in one place, for no two may be alike. A number is never given
// to another kind: nodes of two versions of the program talk to each other during an
// upgrade.
const (
	// KindQuotaReport carries what a node admitted of tenants to their owner, and
	// KindQuotaGrant the owner's answer.
	KindQuotaReport Kind = 1
	KindQuotaGrant  Kind = 2
	// KindDemand carries what online requests need of pools at a node.
	KindDemand Kind = 3
	// KindColdAsk asks a node for a place at a cold replica that it feeds, and
	// KindColdAnswer is its answer.
	KindColdAsk    Kind = 4
	KindColdAnswer Kind = 5
	// KindNews says that rows which nodes follow have changed.
	KindNews Kind = 6
	// KindEvidence carries what a node has seen of replicas that failed.
	KindEvidence Kind = 7
	// KindQuotaProbe asks whether a node is there, and KindQuotaContact is its answer, for
	// the owners of tenants.
	KindQuotaProbe   Kind = 8
	KindQuotaProbeReply Kind = 9
	// KindHarm carries replicas that ended with the work that ran there, and work of which
	// a run ended well.
	KindHarm Kind = 10
)
