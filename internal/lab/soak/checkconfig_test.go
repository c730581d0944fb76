package soak

import (
	"fmt"
	"testing"
	"time"

	"github.com/wheelhoist/wheelhoist/platform/standin"
)

// addValidConfigChange adds a change of the configuration beside requests that are all answered.
func addValidConfigChange(h *History, at func(float64) time.Time) {
	const change, before = 102.0, 100.6
	h.CalmConfigs = append(h.CalmConfigs, at(change))
	for number := range 2 * minConfigRequests {
		sent := at(before + (change-before)*float64(number)/minConfigRequests)
		h.Requests = append(h.Requests, Request{
			ID: fmt.Sprintf("config-%d", number), Tenant: tenantMain, Prefix: "resume", Node: "n", Process: 1, Sent: sent, Ended: sent.Add(time.Millisecond), Answer: wholeResponse(),
		})
	}
}

// leaveUnanswered takes the answers of some requests beside a change, and of some others in calm.
func leaveUnanswered(h *History, beside, others int) {
	c := newChecker(h)
	for i := range h.Requests {
		req := &h.Requests[i]
		left := &others
		if c.besideConfigChange(req) {
			left = &beside
		}
		if *left > 0 && req.Sent.After(h.CalmFrom) {
			*left--
			req.Answer = &standin.Response{}
		}
	}
}

// configMutations returns changes of a valid history that each break one promise.
func configMutations() map[Promise]func(h *History) {
	return map[Promise]func(h *History){
		AnsweredBesideConfig: func(h *History) { leaveUnanswered(h, maxUnansweredBeside+1, 0) },
	}
}

// Guards against a check that takes a few requests, or what befalls others as often, for an effect of a change
// of the configuration. The valid history has some 20 requests beside the change and 100 others.
func TestCheck_ConfigChangesAreComparedWithCalm(t *testing.T) {
	cases := []struct {
		name           string
		beside, others int
		answer         *standin.Response
		broken         bool
	}{
		{"a few", maxUnansweredBeside, 0, nil, false},
		{"more than a few", maxUnansweredBeside + 1, 0, nil, true},
		{"others as often", maxUnansweredBeside + 1, 18, nil, false},
		{"others seldom", 2 * maxUnansweredBeside, 5, nil, true},
		{"cut off in the middle", maxUnansweredBeside + 1, 0, &standin.Response{Status: 200}, true},
		{"refused", maxUnansweredBeside + 1, 0, &standin.Response{Status: 503, Complete: true, HasRetryAfter: true}, false},
	}
	for _, test := range cases {
		h := validHistory()
		leaveUnanswered(h, test.beside, test.others)
		for i := range h.Requests {
			if test.answer != nil && h.Requests[i].Answer.Status == 0 {
				h.Requests[i].Answer = test.answer
			}
		}
		found := newChecker(h)
		found.checkConfigChanges()
		if (len(found.violations) > 0) != test.broken {
			t.Errorf("%s: got violations %v, want broken = %v", test.name, found.violations, test.broken)
		}
	}
}

// Guards against requests that count though their node was disturbed.
func TestCheck_ConfigChangesBesideDisturbancesDoNotCount(t *testing.T) {
	h := validHistory()
	configMutations()[AnsweredBesideConfig](h)
	change := h.CalmConfigs[0]
	h.Disturbances = append(h.Disturbances, Disturbance{Name: "n", Restart: true, From: change.Add(-time.Second), To: change})
	if found := Check(h); len(found) > 0 {
		t.Errorf("unexpected violations %v", found)
	}
}
