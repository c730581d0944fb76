package soak

import (
	"math/rand/v2"
	"sort"
	"time"

	"github.com/wheelhoist/wheelhoist/platform/standin"
)

// FaultKind is the name of a kind of fault.
type FaultKind string

// Kinds of faults in the first plan.
const (
	KillNode     FaultKind = "kill-node"
	StopNode     FaultKind = "stop-node"
	PauseNode    FaultKind = "pause-node"
	KillAll      FaultKind = "kill-all"
	CutStore     FaultKind = "cut-store"
	StoreBusy    FaultKind = "store-busy"
	StoreLoses   FaultKind = "store-loses-answers"
	StoreLate    FaultKind = "store-writes-late"
	StoreForget  FaultKind = "store-forgets"
	ServerCut    FaultKind = "server-cut"
	ServerBad    FaultKind = "server-misbehaves"
	ServerFull   FaultKind = "server-full"
	Configure    FaultKind = "configure"
	DrainServer  FaultKind = "drain-server"
	EvacuateZone FaultKind = "evacuate-zone"
	ChillZone    FaultKind = "chill-zone"
	LoseZone     FaultKind = "lose-zone"
	CutFlood     FaultKind = "cut-store-and-flood"
)

// Kinds of faults in the second plan.
const (
	// The silent faults make the open connections drop all data permanently: those to one server
	// (SilentServer) or all servers (SilentServers), or those from one node (SilentStore) or all
	// nodes (SilentStores) to the store.
	SilentServer  FaultKind = "silent-server"
	SilentServers FaultKind = "silent-servers"
	SilentStore   FaultKind = "silent-store"
	SilentStores  FaultKind = "silent-stores"
	// RenewServer crashes a server and restarts it under a new ID. ReturnServer restarts it under
	// its former ID, BlinkServer before its row has expired, and TurnBackServer with a clock that
	// was set back.
	RenewServer    FaultKind = "renew-server"
	ReturnServer   FaultKind = "return-server"
	BlinkServer    FaultKind = "blink-server"
	TurnBackServer FaultKind = "turn-back-server"
	// ForeignRow adds a row of another writer to the table of servers. OverwriteRow overwrites the
	// row of a server.
	ForeignRow   FaultKind = "foreign-row"
	OverwriteRow FaultKind = "overwrite-row"
	// ReloadNode makes a node reload its settings, RollNodes restarts several nodes one after the
	// other, and ConfigureMany changes the configuration several times in a row.
	ReloadNode    FaultKind = "reload-node"
	RollNodes     FaultKind = "roll-nodes"
	ConfigureMany FaultKind = "configure-many"
	// StoreLosesHistory makes the store leave a share of calls without an answer, on connections
	// that stay silent, and drop its change history meanwhile.
	StoreLosesHistory FaultKind = "store-loses-history"
	// UpdateServers restarts about half of the servers one after the other with the next software
	// version, some under their former IDs.
	UpdateServers FaultKind = "update-servers"
	// CrowdNode makes most new connections go to one node.
	CrowdNode FaultKind = "crowd-node"
	// StoreAnswersLate kills some nodes and makes the store deliver each answer to a read of these some time
	// after it was generated. StoreSlowAtStarts kills some and makes the store execute each call of all late.
	StoreAnswersLate  FaultKind = "store-answers-late"
	StoreSlowAtStarts FaultKind = "store-slow-at-starts"
	// PauseServer makes a sound server fall silent for more than a second and then go on.
	PauseServer FaultKind = "pause-server"
	// DisruptServers makes half of the servers disrupt a share of their answers, in all the ways of
	// standin.Disruption.
	DisruptServers FaultKind = "disrupt-servers"
	// FillServers sends more requests than the servers can run, so that they refuse many.
	FillServers FaultKind = "fill-servers"
	// CutBesideLongTexts cuts a node off from the store while items with long texts run at servers of two software
	// versions.
	CutBesideLongTexts FaultKind = "cut-beside-long-texts"
	// RefuseJobs makes the store execute a share of the calls late and without an answer, while callers submit
	// jobs with few attempts.
	RefuseJobs FaultKind = "refuse-jobs"
)

// Fault is one fault of a plan.
type Fault struct {
	// After is the time from the start of the load to the fault.
	After    time.Duration
	Duration time.Duration
	Kind     FaultKind
	// Target selects the node, server or zone. Share is the fraction of calls or requests that are
	// affected, and Connection what happens to connections.
	Target     int
	Share      float64
	Connection ConnectionFault
}

// weight is the relative frequency of a kind in a plan.
type weight struct {
	kind  FaultKind
	count int
}

// firstWeights are the weights of the kinds in the first plan. Recorded seeds depend on them, so
// add new kinds to the second plan only.
var firstWeights = []weight{
	{KillNode, 4}, {StopNode, 3}, {PauseNode, 3}, {KillAll, 1}, {CutStore, 4}, {StoreBusy, 2}, {StoreLoses, 3},
	{StoreLate, 3}, {StoreForget, 2}, {ServerCut, 3}, {ServerBad, 4}, {ServerFull, 2}, {Configure, 4}, {DrainServer, 2},
	{EvacuateZone, 5}, {ChillZone, 4}, {LoseZone, 4}, {CutFlood, 5},
}

// weightedKinds returns each kind as many times as its weight.
func weightedKinds(weights []weight) []FaultKind {
	var kinds []FaultKind
	for _, w := range weights {
		for range w.count {
			kinds = append(kinds, w.kind)
		}
	}
	return kinds
}

// Plan returns the faults for a seed, one every one to three seconds, so that some overlap.
func Plan(seed uint64, length time.Duration) []Fault {
	random := rand.New(rand.NewPCG(seed, seed^0x9E3779B97F4A7C15))
	kinds := weightedKinds(firstWeights)
	var plan []Fault
	for at := time.Second; at < length; at += time.Second + time.Duration(random.Int64N(int64(2*time.Second))) {
		fault := Fault{
			After: at, Duration: 500*time.Millisecond + time.Duration(random.Int64N(int64(4*time.Second))),
			Kind: kinds[random.IntN(len(kinds))], Target: random.IntN(1 << 16),
			Share: 0.1 + 0.4*random.Float64(), Connection: Delay + ConnectionFault(random.IntN(int(StallToCaller))),
		}
		fault.extend(length)
		plan = append(plan, fault)
	}
	sort.Slice(plan, func(i, j int) bool { return plan[i].After < plan[j].After })
	return plan
}

// extend prolongs faults that only have an effect after a while, up to the end of the plan.
func (f *Fault) extend(length time.Duration) {
	switch f.Kind {
	case EvacuateZone, LoseZone, CutFlood:
		f.Duration = min(f.Duration+extraDuration, max(length-f.After, minOutage))
	}
}

// extraDuration lets most evacuations outlast evacuationBound, and most cuts outlast the session of
// the node.
const extraDuration = 4 * time.Second

// misbehaviours are the ways in which a server may handle a request wrongly.
var misbehaviours = []standin.Behaviour{
	standin.TruncateEvent, standin.DropResponse, standin.Refuse, standin.Misdirect, standin.SwapRequestID, standin.OmitSignature,
	standin.Fail, standin.RejectInvalid,
}
