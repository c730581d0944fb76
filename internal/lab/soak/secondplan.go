package soak

import (
	"math/rand/v2"
	"slices"
	"time"
)

// secondWeights are those of the kinds in the second plan.
var secondWeights = []weight{
	{SilentServer, 6}, {SilentServers, 3}, {SilentStore, 3}, {SilentStores, 1},
	{RenewServer, 2}, {ReturnServer, 4}, {BlinkServer, 4}, {TurnBackServer, 2},
	{ForeignRow, 3}, {OverwriteRow, 3}, {ReloadNode, 2}, {RollNodes, 2}, {ConfigureMany, 2},
}

const (
	// secondFirst is when the second plan begins, secondPause the least time between two of its
	// series, secondSpread by how much that varies.
	secondFirst  = 1500 * time.Millisecond
	secondPause  = time.Second
	secondSpread = 3 * time.Second
	// seriesMost is how many faults a series has at most, seriesPause the time between two.
	seriesMost  = 3
	seriesPause = 400 * time.Millisecond
	// blinkLeast and blinkSpread bound how long a server is away whose row stays.
	blinkLeast  = 50 * time.Millisecond
	blinkSpread = 250 * time.Millisecond
)

// SecondPlan returns more faults of a seed, which Plan does not have: series of one to three
// of a kind, some of them at one target. They overlap with those of Plan.
func SecondPlan(seed uint64, length time.Duration) []Fault {
	random := rand.New(rand.NewPCG(seed^0xD1B54A32D192ED03, seed))
	kinds := deck(secondWeights)
	var plan []Fault
	for at := secondFirst; at < length; at += secondPause + time.Duration(random.Int64N(int64(secondSpread))) {
		plan = append(plan, series(random, kinds, at)...)
	}
	return slices.DeleteFunc(plan, func(one Fault) bool { return one.At >= length })
}

// series draws a series of faults of one kind.
func series(random *rand.Rand, kinds []Kind, at time.Duration) []Fault {
	kind, target, step := kinds[random.IntN(len(kinds))], random.IntN(1<<16), random.IntN(2)
	var plan []Fault
	for number := range 1 + random.IntN(seriesMost) {
		fault := Fault{
			At: at + time.Duration(number)*seriesPause, Kind: kind, Target: target + number*step,
			For:   500*time.Millisecond + time.Duration(random.Int64N(int64(4*time.Second))),
			Share: 0.1 + 0.4*random.Float64(),
		}
		switch kind {
		case BlinkServer:
			fault.For = blinkLeast + time.Duration(random.Int64N(int64(blinkSpread)))
		case OverwriteRow:
			fault.For += foreignKnown
		}
		plan = append(plan, fault)
	}
	return plan
}

// merge returns the faults of two plans in the order of their moments.
func merge(first, second []Fault) []Fault {
	plan := slices.Concat(first, second)
	slices.SortStableFunc(plan, func(a, b Fault) int { return int(a.At - b.At) })
	return plan
}
