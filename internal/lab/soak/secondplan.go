package soak

import (
	"math/rand/v2"
	"slices"
	"time"
)

// secondWeights are the weights of the kinds in the second plan.
var secondWeights = []weight{
	{SilentServer, 6}, {SilentServers, 3}, {SilentStore, 3}, {SilentStores, 1},
	{RenewServer, 2}, {ReturnServer, 4}, {BlinkServer, 4}, {TurnBackServer, 2},
	{ForeignRow, 3}, {OverwriteRow, 3}, {ReloadNode, 2}, {RollNodes, 2}, {ConfigureMany, 2},
}

const (
	// secondStart is when the second plan starts, secondPause the minimum time between two of its
	// series, and secondJitter the maximum that is added to that time.
	secondStart  = 1500 * time.Millisecond
	secondPause  = time.Second
	secondJitter = 3 * time.Second
	// maxSeries is the maximum number of faults in a series, seriesPause the time between them.
	maxSeries   = 3
	seriesPause = 400 * time.Millisecond
	// BlinkServer takes minBlink to minBlink+blinkJitter, in which the row of the server does not
	// expire.
	minBlink    = 50 * time.Millisecond
	blinkJitter = 250 * time.Millisecond
)

const (
	// historyStart is the earliest time of the first StoreLosesHistory, historyPause the minimum
	// time between two of them, and historyJitter the maximum that is added to both.
	historyStart  = 3 * time.Second
	historyPause  = 9 * time.Second
	historyJitter = 6 * time.Second
	// StoreLosesHistory takes minHistoryLoss to minHistoryLoss+historyLossJitter, so that several
	// attempts of one call are affected.
	minHistoryLoss    = 3 * time.Second
	historyLossJitter = 4 * time.Second
	// The share of calls without an answer is minSilentShare to minSilentShare+silentShareJitter:
	// high enough that some node loses several in a row, and low enough that others make progress.
	minSilentShare    = 0.3
	silentShareJitter = 0.3
)

// SecondPlan returns the faults for a seed of the kinds that Plan does not contain: series of one
// to three faults of a kind, some with a single target, and the kinds that are drawn after them. They
// overlap with those of Plan.
func SecondPlan(seed uint64, length time.Duration) []Fault {
	random := rand.New(rand.NewPCG(seed^0xD1B54A32D192ED03, seed))
	kinds := weightedKinds(secondWeights)
	var plan []Fault
	for at := secondStart; at < length; at += secondPause + time.Duration(random.Int64N(int64(secondJitter))) {
		plan = append(plan, series(random, kinds, at)...)
	}
	// Drawn last, so that recorded seeds keep their series.
	plan = mergePlans(plan, historyLosses(random, length))
	plan = mergePlans(plan, serverUpdates(random, length))
	plan = mergePlans(plan, crowds(random, length))
	plan = mergePlans(plan, storeLatencies(random, length))
	plan = mergePlans(plan, serverPauses(random, length))
	plan = mergePlans(plan, serverDisruptions(random, length))
	plan = mergePlans(plan, longTextCuts(random, length))
	plan = mergePlans(plan, jobRefusals(random, length))
	return slices.DeleteFunc(plan, func(fault Fault) bool { return fault.After >= length })
}

// historyLosses draws the StoreLosesHistory faults.
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

const (
	// updateStart is the earliest time of the first UpdateServers, updatePause the minimum time between
	// two of them, and updateJitter the maximum that is added to both.
	updateStart  = 1500 * time.Millisecond
	updatePause  = 6 * time.Second
	updateJitter = 5 * time.Second
)

// serverUpdates draws the UpdateServers faults.
func serverUpdates(random *rand.Rand, length time.Duration) []Fault {
	var plan []Fault
	jitter := func() time.Duration { return time.Duration(random.Int64N(int64(updateJitter))) }
	for at := updateStart + jitter(); at < length; at += updatePause + jitter() {
		plan = append(plan, Fault{After: at, Kind: UpdateServers, Target: random.IntN(1 << 16), Share: random.Float64()})
	}
	return plan
}

const (
	// crowdStart is the earliest time of the first CrowdNode, crowdPause the minimum time between two of
	// them, and crowdJitter the maximum that is added to both and to minCrowd, the shortest one.
	crowdStart  = 2 * time.Second
	crowdPause  = 8 * time.Second
	crowdJitter = 4 * time.Second
	minCrowd    = 2 * time.Second
)

// crowds draws the CrowdNode faults.
func crowds(random *rand.Rand, length time.Duration) []Fault {
	var plan []Fault
	jitter := func() time.Duration { return time.Duration(random.Int64N(int64(crowdJitter))) }
	for at := crowdStart + jitter(); at < length; at += crowdPause + jitter() {
		plan = append(plan, Fault{After: at, Kind: CrowdNode, Duration: minCrowd + jitter(), Target: random.IntN(1 << 16)})
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

// mergePlans returns the faults of two plans in time order.
func mergePlans(first, second []Fault) []Fault {
	plan := slices.Concat(first, second)
	slices.SortStableFunc(plan, func(a, b Fault) int { return int(a.After - b.After) })
	return plan
}
