package soak

import (
	"math/rand/v2"
	"sort"
	"time"

	"github.com/wheelhoist/wheelhoist/platform/standin"
)

// Kind is a kind of fault.
type Kind string

// Kinds of faults.
const (
	KillNode     Kind = "kill-node"
	StopNode     Kind = "stop-node"
	PauseNode    Kind = "pause-node"
	KillAll      Kind = "kill-all"
	CutStore     Kind = "cut-store"
	StoreBusy    Kind = "store-busy"
	StoreLoses   Kind = "store-loses-answers"
	StoreLate    Kind = "store-writes-late"
	StoreForget  Kind = "store-forgets"
	ServerCut    Kind = "server-cut"
	ServerBad    Kind = "server-misbehaves"
	ServerFull   Kind = "server-full"
	Configure    Kind = "configure"
	DrainServer  Kind = "drain-server"
	EvacuateZone Kind = "evacuate-zone"
	ChillZone    Kind = "chill-zone"
	LoseZone     Kind = "lose-zone"
	CutFlood     Kind = "cut-store-and-flood"
)

// Kinds of faults of the second plan.
const (
	// SilentServer, SilentServers, SilentStore and SilentStores have the connections that are
	// open pass nothing on for good: those to one server or all, those of one node to the store
	// or of all nodes.
	SilentServer  Kind = "silent-server"
	SilentServers Kind = "silent-servers"
	SilentStore   Kind = "silent-store"
	SilentStores  Kind = "silent-stores"
	// RenewServer crashes a server, which starts again under a new id; ReturnServer under the
	// id that it had, BlinkServer so soon that its row never goes, TurnBackServer with a clock
	// that has stepped back.
	RenewServer    Kind = "renew-server"
	ReturnServer   Kind = "return-server"
	BlinkServer    Kind = "blink-server"
	TurnBackServer Kind = "turn-back-server"
	// ForeignRow has another writer leave a row among the servers', OverwriteRow over the row
	// of one of them.
	ForeignRow   Kind = "foreign-row"
	OverwriteRow Kind = "overwrite-row"
	// ReloadNode tells a node that its settings have changed, RollNodes restarts several, one
	// after the other, ConfigureMany changes the configuration several times in a row.
	ReloadNode    Kind = "reload-node"
	RollNodes     Kind = "roll-nodes"
	ConfigureMany Kind = "configure-many"
	// StoreLosesHistory has the store leave calls without an answer for a while, on connections
	// that say nothing more, and drop its history in the midst of it.
	StoreLosesHistory Kind = "store-loses-history"
)

// Fault is one fault of a plan.
type Fault struct {
	At   time.Duration
	For  time.Duration
	Kind Kind
	// Target picks the node or server, Share is how much of something is harmed,
	// Harm how a connection is.
	Target int
	Share  float64
	Harm   Harm
}

// weight is how often a kind is in a plan.
type weight struct {
	kind  Kind
	count int
}

// weights of the kinds in the first plan. Seeds of findings go by them: kinds that are new
// belong into the second plan.
var weights = []weight{
	{KillNode, 4}, {StopNode, 3}, {PauseNode, 3}, {KillAll, 1}, {CutStore, 4}, {StoreBusy, 2}, {StoreLoses, 3},
	{StoreLate, 3}, {StoreForget, 2}, {ServerCut, 3}, {ServerBad, 4}, {ServerFull, 2}, {Configure, 4}, {DrainServer, 2},
	{EvacuateZone, 5}, {ChillZone, 4}, {LoseZone, 4}, {CutFlood, 5},
}

// deck returns the kinds, each as often as it weighs.
func deck(weights []weight) []Kind {
	var kinds []Kind
	for _, one := range weights {
		for range one.count {
			kinds = append(kinds, one.kind)
		}
	}
	return kinds
}

// Plan returns the faults of a seed, a new one every one to three seconds, so
// that some overlap.
func Plan(seed uint64, length time.Duration) []Fault {
	random := rand.New(rand.NewPCG(seed, seed^0x9E3779B97F4A7C15))
	kinds := deck(weights)
	var plan []Fault
	for at := time.Second; at < length; at += time.Second + time.Duration(random.Int64N(int64(2*time.Second))) {
		fault := Fault{
			At: at, For: 500*time.Millisecond + time.Duration(random.Int64N(int64(4*time.Second))),
			Kind: kinds[random.IntN(len(kinds))], Target: random.IntN(1 << 16),
			Share: 0.1 + 0.4*random.Float64(), Harm: Slow + Harm(random.IntN(int(Mute))),
		}
		fault.lengthen(length)
		plan = append(plan, fault)
	}
	sort.Slice(plan, func(i, j int) bool { return plan[i].At < plan[j].At })
	return plan
}

// lengthen gives faults longer that show something only after a while, up to the end of
// the plan.
func (f *Fault) lengthen(length time.Duration) {
	switch f.Kind {
	case EvacuateZone, LoseZone, CutFlood:
		f.For = min(f.For+longer, max(length-f.At, leastOut))
	}
}

// longer is what most evacuations need to last beyond evacuationBound, and a cut to
// outlive the node's session.
const longer = 4 * time.Second

// bad are the ways in which servers misbehave.
var bad = []standin.Behaviour{
	standin.TruncateEvent, standin.DropResponse, standin.Refuse, standin.Misdirect, standin.SwapRequestID, standin.OmitSignature,
	standin.Fail, standin.RejectInvalid,
}
