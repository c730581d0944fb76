package history

import (
	"strings"
	"testing"
	"time"
)

const second = int64(time.Second)

// violatingHistories maps each rule to a history that violates this rule only.
var violatingHistories = map[Rule][]Event{
	RuleJobFinishes: {
		{Type: BatchAccepted, Job: "j", Count: 1},
	},
	RuleItemOnce: {
		{Type: BatchAccepted, Job: "j", Count: 1},
		{Time: 1, Type: BatchFinal, Job: "j", Outcome: "completed", Count: 1},
		{Time: 2, Type: BatchResult, Job: "j", Item: "a", Match: true, Repeatable: true, Outcome: "completed"},
		{Time: 3, Type: BatchResult, Job: "j", Item: "a", Match: true, Repeatable: true, Outcome: "completed"},
	},
	RuleItemResult: {
		{Type: BatchAccepted, Job: "j", Count: 1},
		{Time: 1, Type: BatchFinal, Job: "j", Outcome: "completed", Count: 1},
		{Time: 2, Type: BatchResult, Job: "j", Item: "a", Match: false, Repeatable: true, Outcome: "completed"},
	},
	RuleAtMostOnce: {
		{Type: ClientSend, Request: "r"},
		{Time: 1, Type: EngineStart, Class: Online, Replica: "e1", Attempt: "r~a.1"},
		{Time: 2, Type: EngineStart, Class: Online, Replica: "e2", Attempt: "r~b.1"},
	},
	RuleNotRun: {
		{Type: ClientSend, Request: "r", Repeatable: true},
		{Time: 1, Type: EngineStart, Class: Online, Replica: "e1", Attempt: "r~a.1"},
		{Time: 2, Type: ClientRefused, Request: "r", Executed: "no"},
	},
	RuleWholeAnswer: {
		{Type: ClientAnswer, Request: "r", Whole: true, Match: false},
	},
	RuleBehindBatch: {
		{Type: EngineReceived, Class: Online, Replica: "e", Attempt: "r~a.1"},
		{Time: 1, Type: EngineStart, Class: Batch, Replica: "e", Attempt: "j-0~1.1"},
	},
	RuleLeaving: {
		{Type: ReplicaLeaving, Replica: "e"},
		{Time: 4 * second, Type: EngineReceived, Class: Online, Replica: "e", Attempt: "r~a.1"},
	},
	RulePlannedStop: {
		{Type: NodeStopping, Detail: "node-0"},
		{Time: 1, Type: ClientFailed, Request: "r"},
	},
	RuleCancelStops: {
		{Type: BatchAccepted, Job: "j", Count: 1},
		{Time: 1, Type: BatchCancelled, Job: "j"},
		{Time: 4 * second, Type: EngineStart, Class: Batch, Replica: "e", Attempt: "j-0~1.1"},
	},
	RuleFencedOrders: {
		{Type: EngineOrder, Replica: "e", Revision: 5},
		{Time: 1, Type: EngineOrder, Replica: "e", Revision: 4},
	},
	RuleConfigReverts: {
		{Type: ConfigApplied, Source: "node/a", Revision: 5},
		{Time: 1, Type: ConfigApplied, Source: "node/a", Revision: 4},
	},
	RuleConfigAccepted: {
		{Type: ConfigInvoke, Source: "w", Detail: "write", Operation: "1", Key: "k"},
		{Time: 1, Type: ConfigReturn, Source: "w", Detail: "write", Operation: "1", Key: "k", Outcome: OutcomeAccepted, Revision: 7},
		{Time: 2, Type: ConfigInvoke, Source: "r", Detail: "read", Operation: "2", Key: "k"},
		{Time: 3, Type: ConfigReturn, Source: "r", Detail: "read", Operation: "2", Key: "k", Outcome: "ok", Revision: 6},
	},
	RuleConfigWrites: {
		{Type: ConfigInvoke, Source: "a", Detail: "write", Operation: "1", Key: "k"},
		{Time: 1, Type: ConfigReturn, Source: "a", Detail: "write", Operation: "1", Key: "k", Outcome: OutcomeAccepted, Revision: 3},
		{Time: 2, Type: ConfigInvoke, Source: "b", Detail: "write", Operation: "2", Key: "k"},
		{Time: 3, Type: ConfigReturn, Source: "b", Detail: "write", Operation: "2", Key: "k", Outcome: OutcomeAccepted, Revision: 4},
	},
}

func TestCheck_DetectsEachViolation(t *testing.T) {
	for rule, events := range violatingHistories {
		t.Run(string(rule), func(t *testing.T) {
			found := Check(events)
			if len(found) == 0 {
				t.Fatal("Check found no violation")
			}
			for _, violation := range found {
				if violation.Rule != rule {
					t.Errorf("unexpected violation: %s", violation)
				}
			}
		})
	}
}

// Guards against accepting an item with an unknown outcome after planned stops only.
func TestCheck_UnknownOutcomeNeedsCrash(t *testing.T) {
	events := []Event{
		{Type: BatchAccepted, Job: "j", Count: 1},
		{Time: 1, Type: NodeStopping, Detail: "node-0"},
		{Time: 2, Type: BatchFinal, Job: "j", Outcome: "completed", Count: 1},
		{Time: 3, Type: BatchResult, Job: "j", Item: "a", Match: true, Outcome: "outcome_unknown"},
	}
	if found := Check(events); len(found) != 1 || found[0].Rule != RuleItemResult {
		t.Fatalf("violations %v, want one of item-result-readable", found)
	}
	events[1].Type = NodeKilled
	if found := Check(events); len(found) != 0 {
		t.Fatalf("violations after a crash: %v", found)
	}
}

func TestCheck_AcceptsValidHistory(t *testing.T) {
	valid := []Event{
		{Type: BatchAccepted, Job: "j", Count: 1},
		{Time: 1, Type: EngineReceived, Class: Online, Replica: "e", Attempt: "r~a.1"},
		{Time: 2, Type: EngineStart, Class: Online, Replica: "e", Attempt: "r~a.1"},
		{Time: 3, Type: EngineStart, Class: Batch, Replica: "e", Attempt: "j-0~1.1"},
		{Time: 4, Type: BatchFinal, Job: "j", Outcome: "completed", Count: 1},
		{Time: 5, Type: BatchResult, Job: "j", Item: "a", Match: true, Repeatable: true, Outcome: "completed"},
		{Time: 6, Type: ClientSend, Request: "q"},
		{Time: 7, Type: ClientRefused, Request: "q", Executed: "no"},
		{Time: 8, Type: ClientSend, Request: "q"},
		{Time: 9, Type: EngineStart, Class: Online, Replica: "e", Attempt: "q~a.1"},
		{Time: 10, Type: ClientAnswer, Request: "q", Whole: true, Match: true},
		{Time: 11, Type: TableEffect, Key: "config/k", Revision: 3},
		{Time: 12, Type: ConfigInvoke, Source: "a", Detail: "write", Operation: "1", Key: "k"},
		{Time: 13, Type: ConfigReturn, Source: "a", Detail: "write", Operation: "1", Key: "k", Outcome: OutcomeUnknown},
		{Time: 14, Type: ConfigInvoke, Source: "b", Detail: "write", Operation: "2", Key: "k", Expect: 3},
		{Time: 15, Type: ConfigReturn, Source: "b", Detail: "write", Operation: "2", Key: "k", Expect: 3, Outcome: OutcomeAccepted, Revision: 4},
	}
	if found := Check(valid); len(found) > 0 {
		t.Fatalf("violations in a valid history: %v", found)
	}
}

func TestRead_ErrorNamesInvalidEvent(t *testing.T) {
	_, err := Read(strings.NewReader("{\"type\":\"client_send\"}\n{broken"))
	if err == nil || !strings.Contains(err.Error(), "event 2") {
		t.Fatalf("error %v does not name event 2", err)
	}
}
