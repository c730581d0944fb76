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
	// secondStart is when the second plan begins, secondPause the least time between two of its
	// series, secondSpread by how much that varies.
	secondStart  = 1500 * time.Millisecond
	secondPause  = time.Second
	secondJitter = 3 * time.Second
	// maxSeries is how many faults a series has at most, seriesPause the time between two.
	maxSeries   = 3
	seriesPause = 400 * time.Millisecond
	// minBlink and blinkSpread bound how long a server is away whose row stays.
	minBlink    = 50 * time.Millisecond
	blinkJitter = 250 * time.Millisecond
)

const (
	// historyStart is when the store may lose its history and answers first, historyPause the
	// least time between two such faults, historySpread by how much both vary.
	historyStart  = 3 * time.Second
	historyPause  = 9 * time.Second
	historyJitter = 6 * time.Second
	// minHistoryLoss and historyMore bound how long one lasts: long enough that several tries of
	// one call meet it.
	minHistoryLoss    = 3 * time.Second
	historyLossJitter = 4 * time.Second
	// minSilentShare and silentMore bound the share of calls without an answer: enough that some
	// node loses several in a row, few enough that others go on.
	minSilentShare    = 0.3
	silentShareJitter = 0.3
)

// SecondPlan returns more faults of a seed, which Plan does not have: series of one to three
// of a kind, some of them at one target, and the losses of the store's history. They overlap
// with those of Plan.
func SecondPlan(seed uint64, length time.Duration) []Fault {
	random := rand.New(rand.NewPCG(seed^0xD1B54A32D192ED03, seed))
	kinds := weightedKinds(secondWeights)
	var plan []Fault
	for at := secondStart; at < length; at += secondPause + time.Duration(random.Int64N(int64(secondJitter))) {
		plan = append(plan, series(random, kinds, at)...)
	}
	// They are drawn after all others, so that the series of a seed stay as they are.
	plan = mergePlans(plan, historyLosses(random, length))
	return slices.DeleteFunc(plan, func(fault Fault) bool { return fault.After >= length })
}

// historyLosses draws the losses of the store's history.
func historyLosses(random *rand.Rand, length time.Duration) []Fault {
	randomDuration := func(minimum, jitter time.Duration) time.Duration {
		return minimum + time.Duration(random.Int64N(int64(jitter)))
	}
	var plan []Fault
	for at := randomDuration(historyStart, historyJitter); at < length; at += randomDuration(historyPause, historyJitter) {
		plan = append(plan, Fault{
			After: at, Kind: StoreLosesHistory, Duration: randomDuration(minHistoryLoss, historyLossJitter),
			Share: minSilentShare + silentShareJitter*random.Float64(),
		})
	}
	return plan
}

// series draws a series of faults of one kind.
func series(random *rand.Rand, kinds []FaultKind, at time.Duration) []Fault {
	kind, target, step := kinds[random.IntN(len(kinds))], random.IntN(1<<16), random.IntN(2)
	var plan []Fault
	for number := range 1 + random.IntN(maxSeries) {
		fault := Fault{
			After: at + time.Duration(number)*seriesPause, Kind: kind, Target: target + number*step,
			Duration: 500*time.Millisecond + time.Duration(random.Int64N(int64(4*time.Second))),
			Share:    0.1 + 0.4*random.Float64(),
		}
		switch kind {
		case BlinkServer:
			fault.Duration = minBlink + time.Duration(random.Int64N(int64(blinkJitter)))
		case OverwriteRow:
			fault.Duration += foreignGrace
		}
		plan = append(plan, fault)
	}
	return plan
}

// mergePlans returns the faults of two plans in the order of their moments.
func mergePlans(first, second []Fault) []Fault {
	plan := slices.Concat(first, second)
	slices.SortStableFunc(plan, func(a, b Fault) int { return int(a.After - b.After) })
	return plan
}
