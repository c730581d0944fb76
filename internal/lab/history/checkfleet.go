package history

import (
	"strings"
	"time"
)

// checkBehindBatch checks that no engine starts a batch item while an online request waits in its
// queue.
func (c *checker) checkBehindBatch() {
	waiting := map[string]map[string]bool{}
	for _, event := range c.events {
		if event.Type == EngineDied {
			delete(waiting, event.Replica)
		}
		if event.Replica == "" {
			continue
		}
		if waiting[event.Replica] == nil {
			waiting[event.Replica] = map[string]bool{}
		}
		switch {
		case event.Type == EngineReceived && event.Class == Online:
			waiting[event.Replica][event.Attempt] = true
		case event.Type == EngineStart && event.Class == Online, event.Type == EngineAbort:
			delete(waiting[event.Replica], event.Attempt)
		case event.Type == EngineStart && event.Class == Batch && len(waiting[event.Replica]) > 0:
			c.report(RuleBehindBatch, "%s started %s while %d online requests waited", event.Replica, event.Attempt, len(waiting[event.Replica]))
		}
	}
}

// checkLeaving checks that a leaving replica receives no attempts after LeavingGrace.
func (c *checker) checkLeaving() {
	leaving := map[string]int64{}
	for _, event := range c.events {
		switch event.Type {
		case ReplicaLeaving:
			leaving[event.Replica] = event.Time
		case EngineReceived:
			since, ok := leaving[event.Replica]
			if ok && time.Duration(event.Time-since) > LeavingGrace {
				c.report(RuleLeaving, "%s received %s %.1f s after it began to leave", event.Replica, event.Attempt, time.Duration(event.Time-since).Seconds())
			}
		}
	}
}

// checkPlannedStops checks that no client request fails in a history with planned stops and no crash.
func (c *checker) checkPlannedStops() {
	if c.crashed {
		return
	}
	stops := 0
	for _, event := range c.events {
		if event.Type == NodeStopping {
			stops++
		}
	}
	for _, event := range c.events {
		if event.Type == ClientFailed && stops > 0 {
			c.report(RulePlannedStop, "%s was cut off: %s", event.Request, event.Detail)
		}
	}
}

// crashed reports whether a history contains unplanned failures.
func crashed(events []Event) bool {
	for _, event := range events {
		switch event.Type {
		case NodeKilled, EngineDied:
			return true
		case FaultStart:
			if !plannedFault(event.Detail) {
				return true
			}
		}
	}
	return false
}

// plannedFault reports whether a fault is a planned operation rather than a failure.
func plannedFault(name string) bool {
	return strings.HasPrefix(name, "rolling-") || strings.HasPrefix(name, "racing-") || strings.HasPrefix(name, "engine-leaving") || name == "none"
}

// checkCancel checks that no item of a cancelled job starts or ends on an engine later than
// CancelGrace after the cancellation. Events after the first store fault are not checked.
func (c *checker) checkCancel() {
	cancelled := map[string]int64{}
	storeFault := false
	for _, event := range c.events {
		switch event.Type {
		case FaultStart:
			storeFault = storeFault || strings.HasPrefix(event.Detail, "store-")
		case BatchCancelled:
			cancelled[event.Job] = event.Time
		case EngineStart, EngineEnd:
			if event.Class != Batch || storeFault {
				continue
			}
			since, ok := cancelled[jobOf(event.Attempt)]
			if ok && time.Duration(event.Time-since) > CancelGrace {
				c.report(RuleCancelStops, "%s of %s %.1f s after the job was cancelled", event.Type, event.Attempt, time.Duration(event.Time-since).Seconds())
			}
		}
	}
}

// checkOrders checks that the fences of the orders applied by an engine never decrease.
func (c *checker) checkOrders() {
	highest := map[string]uint64{}
	for _, event := range c.events {
		if event.Type != EngineOrder {
			continue
		}
		if event.Revision < highest[event.Replica] {
			c.report(RuleFencedOrders, "%s obeyed fence %d after %d", event.Replica, event.Revision, highest[event.Replica])
		}
		highest[event.Replica] = max(highest[event.Replica], event.Revision)
	}
}
