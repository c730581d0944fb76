package soak

import (
	"math/rand/v2"
	"sort"
	"time"

	"github.com/wheelhoist/wheelhoist/platform/standin"
)

// FaultKind is a kind of fault.
type FaultKind string

// Kinds of faults.
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

// Kinds of faults of the second plan.
const (
	// SilentServer, SilentServers, SilentStore and SilentStores have the connections that are
	// open pass nothing on for good: those to one server or all, those of one node to the store
	// or of all nodes.
	SilentServer  FaultKind = "silent-server"
	SilentServers FaultKind = "silent-servers"
	SilentStore   FaultKind = "silent-store"
	SilentStores  FaultKind = "silent-stores"
	// RenewServer crashes a server, which starts again under a new id; ReturnServer under the
	// id that it had, BlinkServer so soon that its row never goes, TurnBackServer with a clock
	// that has stepped back.
	RenewServer    FaultKind = "renew-server"
	ReturnServer   FaultKind = "return-server"
	BlinkServer    FaultKind = "blink-server"
	TurnBackServer FaultKind = "turn-back-server"
	// ForeignRow has another writer leave a row among the servers', OverwriteRow over the row
	// of one of them.
	ForeignRow   FaultKind = "foreign-row"
	OverwriteRow FaultKind = "overwrite-row"
	// ReloadNode tells a node that its settings have changed, RollNodes restarts several, one
	// after the other, ConfigureMany changes the configuration several times in a row.
	ReloadNode    FaultKind = "reload-node"
	RollNodes     FaultKind = "roll-nodes"
	ConfigureMany FaultKind = "configure-many"
	// StoreLosesHistory has the store leave calls without an answer for a while, on connections
	// that say nothing more, and drop its history in the midst of it.
	StoreLosesHistory FaultKind = "store-loses-history"
)

// Fault is one fault of a plan.
type Fault struct {
	After    time.Duration
	Duration time.Duration
	Kind     FaultKind
	// Target picks the node or server, Share is how much of something is harmed,
	// Harm how a connection is.
	Target     int
	Share      float64
	Connection ConnectionFault
}

// weight is how often a kind is in a plan.
type weight struct {
	kind  FaultKind
	count int
}

// firstWeights of the kinds in the first plan. Seeds of findings go by them: kinds that are new
// belong into the second plan.
var firstWeights = []weight{
	{KillNode, 4}, {StopNode, 3}, {PauseNode, 3}, {KillAll, 1}, {CutStore, 4}, {StoreBusy, 2}, {StoreLoses, 3},
	{StoreLate, 3}, {StoreForget, 2}, {ServerCut, 3}, {ServerBad, 4}, {ServerFull, 2}, {Configure, 4}, {DrainServer, 2},
	{EvacuateZone, 5}, {ChillZone, 4}, {LoseZone, 4}, {CutFlood, 5},
}

// weightedKinds returns the kinds, each as often as it weighs.
func weightedKinds(weights []weight) []FaultKind {
	var kinds []FaultKind
	for _, w := range weights {
		for range w.count {
			kinds = append(kinds, w.kind)
		}
	}
	return kinds
}

// Plan returns the faults of a seed, a new one every one to three seconds, so
// that some overlap.
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

// extend gives faults longer that show something only after a while, up to the end of
// the plan.
func (f *Fault) extend(length time.Duration) {
	switch f.Kind {
	case EvacuateZone, LoseZone, CutFlood:
		f.Duration = min(f.Duration+extraDuration, max(length-f.After, minOutage))
	}
}

// extraDuration is what most evacuations need to last beyond evacuationBound, and a cut to
// outlive the node's session.
const extraDuration = 4 * time.Second

// misbehaviours are the ways in which servers misbehave.
var misbehaviours = []standin.Behaviour{
	standin.CutInEvent, standin.LoseAnswer, standin.Shed, standin.Moved, standin.Foreign, standin.Unsigned,
	standin.Fail, standin.Invalid,
}
