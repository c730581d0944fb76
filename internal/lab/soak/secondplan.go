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

const (
	// historyFirst is when the store may lose its history and answers first, historyPause the
	// least time between two such faults, historySpread by how much both vary.
	historyFirst  = 3 * time.Second
	historyPause  = 9 * time.Second
	historySpread = 6 * time.Second
	// historyLeast and historyMore bound how long one lasts: long enough that several tries of
	// one call meet it.
	historyLeast = 3 * time.Second
	historyMore  = 4 * time.Second
	// silentLeast and silentMore bound the share of calls without an answer: enough that some
	// node loses several in a row, few enough that others go on.
	silentLeast = 0.3
	silentMore  = 0.3
)

// SecondPlan returns more faults of a seed, which Plan does not have: series of one to three
// of a kind, some of them at one target, and the losses of the store's history. They overlap
// with those of Plan.
func SecondPlan(seed uint64, length time.Duration) []Fault {
	random := rand.New(rand.NewPCG(seed^0xD1B54A32D192ED03, seed))
	kinds := deck(secondWeights)
	var plan []Fault
	for at := secondFirst; at < length; at += secondPause + time.Duration(random.Int64N(int64(secondSpread))) {
		plan = append(plan, series(random, kinds, at)...)
	}
	// They are drawn after all others, so that the series of a seed stay as they are.
	plan = merge(plan, historyLosses(random, length))
	return slices.DeleteFunc(plan, func(one Fault) bool { return one.At >= length })
}

// historyLosses draws the losses of the store's history.
func historyLosses(random *rand.Rand, length time.Duration) []Fault {
	later := func(least, spread time.Duration) time.Duration {
		return least + time.Duration(random.Int64N(int64(spread)))
	}
	var plan []Fault
	for at := later(historyFirst, historySpread); at < length; at += later(historyPause, historySpread) {
		plan = append(plan, Fault{
			At: at, Kind: StoreLosesHistory, For: later(historyLeast, historyMore),
			Share: silentLeast + silentMore*random.Float64(),
		})
	}
	return plan
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
