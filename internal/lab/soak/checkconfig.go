package soak

import (
	"context"
	"net/http"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/retry"
)

const (
	// configWindow is how long after a change of the configuration requests count as beside it.
	configWindow = 1500 * time.Millisecond
	// maxConfigRatio is how many times as often requests may get no answer beside a change as at other calm
	// times, and maxUnansweredBeside the number up to which that is not judged.
	maxConfigRatio      = 3
	maxUnansweredBeside = 5
	// minConfigRequests is the number of requests, beside changes and at other times, from which on the two are
	// compared.
	minConfigRequests = 20
)

// calmConfigs are the times of the calm phase at which the configuration changes. They end well before the
// requests with which those to a crowded node are compared.
var calmConfigs = []time.Duration{time.Second, 3500 * time.Millisecond, 6 * time.Second}

// configureInCalm changes the configuration at calmConfigs.
func (s *soak) configureInCalm(ctx context.Context) {
	for _, after := range calmConfigs {
		if !retry.Sleep(ctx, time.Until(s.CalmFrom.Add(after))) {
			return
		}
		s.configure()
		record(&s.History, &s.CalmConfigs, time.Now())
	}
}

// answered counts requests, and those of them whose connection ended without a complete answer and without a
// refusal.
type answered struct{ sent, unanswered int }

func (a *answered) record(req *Request) {
	a.sent++
	if req.Answer.Status == 0 || req.Answer.Status == http.StatusOK && !req.Answer.Complete {
		a.unanswered++
	}
}

func (a *answered) share() float64 { return float64(a.unanswered) / float64(max(a.sent, 1)) }

// checkConfigChanges checks that requests beside a change of the configuration are left without a complete
// answer and without a refusal hardly more often than others of the calm phase.
func (c *checker) checkConfigChanges() {
	beside, others := c.answeredInCalm()
	if min(beside.sent, others.sent) < minConfigRequests || beside.unanswered <= maxUnansweredBeside {
		return
	}
	if beside.share() > maxConfigRatio*others.share() {
		c.addViolation(AnsweredBesideConfig, "%d of %d requests within %v of a change of the configuration in calm got neither a complete answer nor a refusal, %d of %d others",
			beside.unanswered, beside.sent, configWindow, others.unanswered, others.sent)
	}
}

// answeredInCalm counts the requests of the calm phase that overlap with the time after a change of the
// configuration, and the others.
func (c *checker) answeredInCalm() (beside, others answered) {
	for i := range c.Requests {
		req := &c.Requests[i]
		if req.Sent.Before(c.CalmFrom) || c.disturbed(req.Node, req.Sent.Add(-contactBound), req.Ended, true) {
			continue
		}
		if c.besideConfigChange(req) {
			beside.record(req)
		} else {
			others.record(req)
		}
	}
	return beside, others
}

// besideConfigChange reports whether a request overlaps with the time after a change of the configuration.
func (c *checker) besideConfigChange(req *Request) bool {
	for _, change := range c.CalmConfigs {
		if req.Sent.Before(change.Add(configWindow)) && req.Ended.After(change) {
			return true
		}
	}
	return false
}

// judgedBesideConfig returns the number of requests beside changes that checkConfigChanges compares.
func (c *checker) judgedBesideConfig() int {
	beside, others := c.answeredInCalm()
	if min(beside.sent, others.sent) < minConfigRequests {
		return 0
	}
	return beside.sent
}
