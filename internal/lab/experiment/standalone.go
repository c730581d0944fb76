package experiment

import "context"

// standaloneScenarios are the scenarios with a course of their own.
var standaloneScenarios = []*Scenario{
	{Name: "yield", Description: "both measures: the online tail against online alone, and the idle capacity used", Run: runYield},
	{Name: "yield-frontier", Description: "headrooms against the baselines", Run: runFrontier},
	{Name: "batch-alone", Description: "how much of an idle fleet a batch uses", Run: runBatchAlone},
	{
		Name: "batch-large", Description: "one job of 12,000 items: what it costs the table",
		Mix: Mix{Jobs: 1, Items: endlessItems}, Faults: []Fault{{Name: "none", Inject: func(context.Context, *run) {}}},
	},
	{
		Name: "rolling-restart", Description: "every node stopped as planned and started again under load: nothing cut, nothing refused",
		Mix: Mix{Online: 1, Jobs: 1}, Faults: []Fault{mustFault("rolling-restart")},
	},
	{Name: "overload", Description: "goodput at half, one and two times the capacity", Run: runOverload},
}

func mustFault(name string) Fault {
	fault, ok := faultByName(name)
	if !ok {
		panic("no fault " + name)
	}
	return fault
}
