package peer

// Kinds of messages. They are declared in one place to keep them distinct. A number is never reused
// for another kind, because nodes of two versions exchange messages during an upgrade.
const (
	// KindQuotaReport carries the requests of tenants that a node admitted to the owners of those
	// tenants. KindQuotaGrant is an owner's reply.
	KindQuotaReport Kind = 1
	KindQuotaGrant  Kind = 2
	// KindDemandReport carries the demand of a node's online requests for pools.
	KindDemandReport Kind = 3
	// KindColdGrantRequest asks a node for permission to send a request to a cold replica that the
	// node paces. KindColdGrantReply is its reply.
	KindColdGrantRequest Kind = 4
	KindColdGrantReply   Kind = 5
	// KindRowsChanged reports that rows which other nodes follow have changed.
	KindRowsChanged Kind = 6
	// KindReplicaFailures carries a node's observations of failed replicas.
	KindReplicaFailures Kind = 7
	// KindQuotaProbe checks whether a node is reachable, and KindQuotaProbeReply is its reply.
	// Owners of tenants use them.
	KindQuotaProbe      Kind = 8
	KindQuotaProbeReply Kind = 9
	// KindCrashReport carries replicas that crashed with the work that ran there, and work that has
	// completed without a crash.
	KindCrashReport Kind = 10
	// KindTrialRequest asks a node for the trial of quarantined work, or reports that a trial is
	// under way or ended without a result. KindTrialReply is the reply to a request.
	KindTrialRequest Kind = 11
	KindTrialReply   Kind = 12
	// KindClaimRequest asks a node for the replica on which a trial is to run. The reply is a
	// KindTrialReply as well.
	KindClaimRequest Kind = 13
	// KindStreamOrigin tells a node which software version began a stream.
	KindStreamOrigin Kind = 14
	// KindStreamQuery asks a node where a stream began. KindStreamReply is the reply.
	KindStreamQuery Kind = 15
	KindStreamReply Kind = 16
	// KindHello makes a node that starts known to one that it has not read of in the table.
	KindHello Kind = 17
	// KindStreamOriginWritten tells a node that origins of streams which it sent are in the table.
	KindStreamOriginWritten Kind = 18
)
