package history

import (
	"fmt"
	"math"
	"strings"

	"github.com/anishathalye/porcupine"
)

// checkConfigReverts checks that the revision applied by a node never decreases, including across
// restarts of the node.
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

// checkConfigAccepted checks that a read invoked after a write was acknowledged as accepted returns at
// least the revision of that write, regardless of the node.
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

// Details and outcomes of configuration calls. The values are recorded in histories.
const (
	configRead  = "read"
	configWrite = "write"
	outcomeOK   = "ok"
	// OutcomeAccepted means committed and applied by all nodes.
	OutcomeAccepted = "accepted"
	// OutcomePending means committed, but not yet applied by all nodes.
	OutcomePending = "pending"
	// OutcomeConflict means rejected because the expected version did not match.
	OutcomeConflict = "conflict"
	// OutcomeRefused means refused with a guarantee of no effect.
	OutcomeRefused = "refused"
	// OutcomeUnknown means no response, or one that does not show whether the call took effect.
	OutcomeUnknown = "unknown"
)

// configInput is the input of a compare-and-set on one resource.
type configInput struct {
	key    string
	expect uint64
	// unacknowledged holds the revisions that the table committed for the resource but that no
	// write returned. A write with an unknown outcome may have produced one of them.
	unacknowledged []uint64
}

// configOutput is the result that the caller received.
type configOutput struct {
	outcome  string
	revision uint64
}

// configModel models a resource as a versioned register: a write with the correct expected version
// sets a higher version. Each resource is checked separately.
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
			// It had no effect, or it committed one of the unacknowledged revisions.
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

// checkConfigWrites checks that the compare-and-set writes are linearizable.
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

// configOperations pairs write invocations with their returns. A write with an unknown outcome may
// take effect at any later time, so its return time is unbounded.
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

// unacknowledgedRevisions returns, per resource, the revisions that the table committed but that no
// write returned.
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
