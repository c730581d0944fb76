package history

import (
	"fmt"
	"math"
	"strings"

	"github.com/anishathalye/porcupine"
)

// checkConfigReverts: the revision in force on a node never falls while the
// node runs; after a restart it is at least what the node last held.
func (c *checker) checkConfigReverts() {
	highest := map[string]uint64{}
	for _, event := range c.events {
		if event.Type != ConfigApplied {
			continue
		}
		if event.Revision < highest[event.Source] {
			c.report(RuleConfigReverts, "%s went from revision %d to %d", event.Source, highest[event.Source], event.Revision)
		}
		highest[event.Source] = max(highest[event.Source], event.Revision)
	}
}

// checkConfigAccepted: a read that began after a write was acknowledged as
// accepted sees at least that write's revision, through whichever node.
func (c *checker) checkConfigAccepted() {
	accepted := map[string]uint64{}
	minimum := map[string]uint64{}
	for _, event := range c.events {
		switch {
		case event.Type == ConfigInvoke && event.Detail == configRead:
			minimum[event.Operation] = accepted[event.Key]
		case event.Type == ConfigReturn && event.Detail == configRead && event.Outcome == outcomeOK:
			if event.Revision < minimum[event.Operation] {
				c.report(RuleConfigAccepted, "%s read revision %d of %s after %d was accepted", event.Source, event.Revision, event.Key, minimum[event.Operation])
			}
		case event.Type == ConfigReturn && event.Detail == configWrite && event.Outcome == OutcomeAccepted:
			accepted[event.Key] = max(accepted[event.Key], event.Revision)
		}
	}
}

// Details and outcomes of configuration calls.
const (
	configRead  = "read"
	configWrite = "write"
	outcomeOK   = "ok"
	// OutcomeAccepted: committed and in force on all nodes.
	OutcomeAccepted = "accepted"
	// OutcomePending: committed, not yet in force on all nodes.
	OutcomePending = "pending"
	// OutcomeConflict: refused for its expected version.
	OutcomeConflict = "conflict"
	// OutcomeRefused: provably not done.
	OutcomeRefused = "refused"
	// OutcomeUnknown: no answer, or an undecided one.
	OutcomeUnknown = "unknown"
)

// configInput is a compare-and-set of one resource.
type configInput struct {
	key    string
	expect uint64
	// unacknowledged are the revisions of the resource in the table's own record that
	// no caller was told: what a write with an unknown outcome may have taken.
	unacknowledged []uint64
}

// configOutput is what the caller learned.
type configOutput struct {
	outcome  string
	revision uint64
}

// configModel is a resource as a versioned register: a write with the right
// expected version sets a higher one.
var configModel = porcupine.NondeterministicModel{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		var keys []string
		for _, operation := range history {
			key := operation.Input.(configInput).key
			if byKey[key] == nil {
				keys = append(keys, key)
			}
			byKey[key] = append(byKey[key], operation)
		}
		parts := make([][]porcupine.Operation, 0, len(keys))
		for _, key := range keys {
			parts = append(parts, byKey[key])
		}
		return parts
	},
	Init: func() []any { return []any{uint64(0)} },
	Step: func(state, input, output any) []any {
		version := state.(uint64)
		in := input.(configInput)
		out := output.(configOutput)
		switch out.outcome {
		case OutcomeAccepted, OutcomePending:
			if in.expect != version || out.revision <= version {
				return nil
			}
			return []any{out.revision}
		case OutcomeConflict:
			if in.expect == version {
				return nil
			}
			return []any{version}
		case OutcomeUnknown:
			// It took no effect, or it took the revision found out later.
			states := []any{version}
			for _, revision := range in.unacknowledged {
				if in.expect == version && revision > version {
					states = append(states, revision)
				}
			}
			return states
		default:
			return []any{version}
		}
	},
	Equal: func(a, b any) bool { return a.(uint64) == b.(uint64) },
	DescribeOperation: func(input, output any) string {
		return fmt.Sprintf("%v -> %v", input, output)
	},
}

// checkConfigWrites: all compare-and-set writes together are linearizable.
func (c *checker) checkConfigWrites() {
	operations := c.configOperations()
	if len(operations) == 0 {
		return
	}
	model := configModel.ToModel()
	if !porcupine.CheckOperations(model, operations) {
		c.report(RuleConfigWrites, "%d writes have no order that explains their answers", len(operations))
	}
}

// configOperations pairs the calls with their answers. A call with an unknown
// outcome may take effect until the end of the history.
func (c *checker) configOperations() []porcupine.Operation {
	unacknowledged := c.unacknowledgedRevisions()
	invoked := map[string]Event{}
	clientIDs := map[string]int{}
	var operations []porcupine.Operation
	for _, event := range c.events {
		if event.Detail != configWrite {
			continue
		}
		switch event.Type {
		case ConfigInvoke:
			invoked[event.Operation] = event
		case ConfigReturn:
			call, ok := invoked[event.Operation]
			if !ok {
				continue
			}
			if _, known := clientIDs[event.Source]; !known {
				clientIDs[event.Source] = len(clientIDs)
			}
			operation := porcupine.Operation{
				ClientId: clientIDs[event.Source], Call: call.Time, Return: event.Time,
				Input:  configInput{key: call.Key, expect: call.Expect},
				Output: configOutput{outcome: event.Outcome, revision: event.Revision},
			}
			if event.Outcome == OutcomeUnknown {
				operation.Input = configInput{key: call.Key, expect: call.Expect, unacknowledged: unacknowledged[call.Key]}
				operation.Return = math.MaxInt64
			}
			operations = append(operations, operation)
		}
	}
	return operations
}

// unacknowledgedRevisions returns, for each resource, the revisions in the table's
// record that no write was told.
func (c *checker) unacknowledgedRevisions() map[string][]uint64 {
	acknowledged := map[uint64]bool{}
	for _, event := range c.events {
		if event.Type == ConfigReturn && event.Detail == configWrite && event.Revision != 0 {
			acknowledged[event.Revision] = true
		}
	}
	unacknowledged := map[string][]uint64{}
	for _, event := range c.events {
		key, isConfig := strings.CutPrefix(event.Key, "config/")
		if event.Type == TableEffect && isConfig && !acknowledged[event.Revision] {
			unacknowledged[key] = append(unacknowledged[key], event.Revision)
		}
	}
	return unacknowledged
}
