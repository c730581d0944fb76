package experiment

import "context"

// standaloneScenarios holds the scenarios that belong to no family.
var standaloneScenarios = []*Scenario{
	{Name: "yield", Description: "online tail latency relative to online alone, and the share of idle capacity used", Run: runYield},
	{Name: "yield-frontier", Description: "batch headrooms compared with the baselines", Run: runFrontier},
	{Name: "batch-alone", Description: "share of an idle fleet that a batch uses", Run: runBatchAlone},
	{
		Name: "batch-large", Description: "table writes of one job of 12,000 items",
		Mix: Mix{Jobs: 1, Items: endlessItems}, Faults: []Fault{{Name: "none", Inject: func(context.Context, *run) {}}},
	},
	{
		Name: "rolling-restart", Description: "all nodes drained and restarted one after the other under load, without interrupted or refused requests",
		Mix: Mix{Online: 1, Jobs: 1}, Faults: []Fault{mustFault("rolling-restart")},
	},
	{Name: "overload", Description: "goodput at loads up to about twice the capacity", Run: runOverload},
}

func mustFault(name string) Fault {
	fault, ok := faultByName(name)
	if !ok {
		panic("no fault " + name)
	}
	return fault
}
