package soak

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/retry"
	"github.com/wheelhoist/wheelhoist/platform/standin"
)

const (
	// harmfulPartPrefix is the prefix of the ids of parts of prompts that crash the servers which run them.
	harmfulPartPrefix = "bad"
	// firstPart is the first part of all prompts that have parts. Sound ones hold one of soundParts others.
	firstPart  = "aa"
	soundParts = 9
	// harmfulPartStart is when the first harmful part is sent, and harmfulPartInterval the time after which
	// another one follows; long enough to judge the requests beside it.
	harmfulPartStart    = 2 * time.Second
	harmfulPartInterval = 25 * time.Second
	// partPause is the pause of a caller between two requests with parts, and soundPartCallers the number of
	// callers that send sound ones.
	partPause        = 150 * time.Millisecond
	soundPartCallers = 3
	// partThreshold is the number of servers that a part may crash before nodes have to stop it; after
	// that at most maxHarmRetries more.
	partThreshold = 5
	// minBesideShare is the fraction of sound requests that have to be served beside a harmful part,
	// compared with other times, and minBesideRequests the number from which on it is checked.
	minBesideShare    = 0.5
	minBesideRequests = 20
)

// PartRequest is a sound request whose prompt shares its first part with harmful ones.
type PartRequest struct {
	ID          string
	Node        string
	Sent, Ended time.Time
	Answer      *standin.Response
}

// callHarmfulParts sends requests with one harmful part after the other, no two alike, until the context
// ends. No part begins after s.Duration, so that the last one has ended its servers before the calm phase.
func (s *soak) callHarmfulParts(ctx context.Context) {
	random := s.newRand(0, 20)
	if !retry.Sleep(ctx, harmfulPartStart) {
		return
	}
	var answers sync.WaitGroup
	defer answers.Wait()
	started := time.Now()
	for number := 0; retry.Sleep(ctx, partPause); number++ {
		begun := min(time.Since(started), s.Duration-harmfulPartStart) / harmfulPartInterval
		part := fmt.Sprintf("%s%04x", harmfulPartPrefix, int(begun))
		node := s.gateways[random.IntN(len(s.gateways))]
		req := HarmfulRequest{ID: fmt.Sprintf("%s-%d", part, number), Work: part, Node: node.id, Sent: time.Now()}
		answers.Go(func() {
			client := &standin.Client{Address: node.listenAddress(), Host: host, Key: apiKey(tenantMain)}
			// The body begins with the part, so that servers can tell what crashed them.
			req.Answer = client.StreamPrompt(context.WithoutCancel(ctx), "resume", req.ID, []byte(req.ID), partsOf(part, number), onlineTimeout)
			record(&s.History, &s.HarmfulRequests, req)
		})
	}
}

// callSoundParts sends sound requests that share their first part with harmful ones until the context ends.
func (s *soak) callSoundParts(ctx context.Context, caller int) {
	random := s.newRand(caller, 21)
	for number := 0; retry.Sleep(ctx, partPause); number++ {
		node := s.gateways[random.IntN(len(s.gateways))]
		id := fmt.Sprintf("beside-%d-%d", caller, number)
		client := &standin.Client{Address: node.listenAddress(), Host: host, Key: apiKey(tenantMain)}
		req := PartRequest{ID: id, Node: node.id, Sent: time.Now()}
		req.Answer = client.StreamPrompt(context.WithoutCancel(ctx), "resume", id, []byte(id), partsOf(fmt.Sprintf("b%d", random.IntN(soundParts)), number), onlineTimeout)
		req.Ended = time.Now()
		record(&s.History, &s.PartRequests, req)
	}
}

// partsOf returns the parts of a prompt with the given middle part and a last part of its own.
func partsOf(middle string, number int) string {
	return fmt.Sprintf("%s:20,%s:10,%x:10", firstPart, middle, 1<<32+number)
}

// isHarmfulPart reports whether a part of prompts crashes the servers which run it.
func isHarmfulPart(part string) bool { return strings.HasPrefix(part, harmfulPartPrefix) }

// harmfulPartOf returns the harmful part that a request body names, and false if it names none.
func harmfulPartOf(body string) (string, bool) {
	part, _, _ := strings.Cut(body, "-")
	return part, isHarmfulPart(part)
}

// besidePeriod is a period in which sound requests have to be served beside a harmful part.
type besidePeriod struct {
	part     string
	from, to time.Time
}

// besidePeriods returns, for each harmful part, the time from 2*contactBound after its crash partThreshold,
// or its last one, until it is no longer sent.
func (c *checker) besidePeriods() []besidePeriod {
	lastSent := map[string]time.Time{}
	for _, req := range c.HarmfulRequests {
		if isHarmfulPart(req.Work) && req.Sent.After(lastSent[req.Work]) {
			lastSent[req.Work] = req.Sent
		}
	}
	var periods []besidePeriod
	for part, crashes := range c.crashesByWork() {
		if !isHarmfulPart(part) {
			continue
		}
		known := crashes[min(partThreshold, len(crashes))-1].At
		periods = append(periods, besidePeriod{part: part, from: known.Add(2 * contactBound), to: lastSent[part]})
	}
	return periods
}

// served counts requests, and those of them that were served.
type served struct{ sent, whole int }

// share returns the fraction that was served.
func (s served) share() float64 { return float64(s.whole) / float64(max(1, s.sent)) }

// record counts one request.
func (s *served) record(answer *standin.Response) {
	s.sent++
	if answer.Status == http.StatusOK && answer.Complete {
		s.whole++
	}
}

// servedBeside counts the sound requests of connected nodes in a period, without those sent while a zone was
// lost or the servers were filled.
func (c *checker) servedBeside(from, to time.Time) served {
	var count served
	for _, req := range c.PartRequests {
		if req.Sent.Before(from) || !req.Sent.Before(to) || c.outOfTouch(req.Node, req.Sent.Add(-contactBound), req.Ended) || c.zoneLostAt(req.Sent) || c.overloadedAt(req.Sent) {
			continue
		}
		count.record(req.Answer)
	}
	return count
}

// zoneLostAt reports whether a zone was lost at a time, or shortly before.
func (c *checker) zoneLostAt(at time.Time) bool {
	for _, loss := range c.Losses {
		if at.After(loss.From) && at.Before(loss.To.Add(contactBound)) {
			return true
		}
	}
	return false
}

// overloadedAt reports whether the servers were filled at a time, or shortly before.
func (c *checker) overloadedAt(at time.Time) bool {
	return slices.ContainsFunc(c.Overloads, func(overload Overload) bool {
		return at.After(overload.From) && at.Before(overload.To.Add(freeSlotGrace))
	})
}

// checkBesideHarmfulParts checks that sound requests are served while requests with the same first part and a
// harmful one still come, compared with the calm phase.
func (c *checker) checkBesideHarmfulParts() {
	calm := c.servedBeside(c.CalmFrom, c.LoadEnd)
	for _, period := range c.besidePeriods() {
		beside := c.servedBeside(period.from, period.to)
		if min(beside.sent, calm.sent) >= minBesideRequests && beside.share() < minBesideShare*calm.share() {
			c.addViolation(BesideHarmServed, "from %s to %s %d of %d sound requests with the first part of %s were served, %d of %d in calm",
				c.timestamp(period.from), c.timestamp(period.to), beside.whole, beside.sent, period.part, calm.whole, calm.sent)
		}
	}
}

// judgedBesideHarm returns the number of periods that checkBesideHarmfulParts judges.
func (c *checker) judgedBesideHarm() int {
	count := 0
	for _, period := range c.besidePeriods() {
		if c.servedBeside(period.from, period.to).sent >= minBesideRequests {
			count++
		}
	}
	return count
}
