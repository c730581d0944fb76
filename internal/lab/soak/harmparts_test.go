package soak

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/wheelhoist/wheelhoist/platform/standin"
)

// testPart is the harmful part of a valid history.
const testPart = harmfulPartPrefix + "0000"

// addValidParts adds a harmful part to a valid history: it crashed five servers and three more when all nodes
// had to know of it, and sound requests were served meanwhile.
func addValidParts(h *History, at func(float64) time.Time) {
	for number, second := range []float64{40, 40.1, 40.2, 40.3, 40.4, 46, 47, 48} {
		addPartCrash(h, number, at(second))
	}
	h.HarmfulRequests = append(h.HarmfulRequests, HarmfulRequest{ID: testPart + "-last", Work: testPart, Node: "n", Sent: at(60), Answer: &standin.Response{Status: http.StatusServiceUnavailable}})
	for number := range 2 * minBesideRequests {
		for _, second := range []float64{10, 50} {
			sent := at(second + 0.2*float64(number))
			h.PartRequests = append(h.PartRequests, PartRequest{Node: "n", Sent: sent, Ended: sent.Add(time.Millisecond), Answer: wholeResponse()})
		}
	}
}

// wholeResponse returns a complete answer.
func wholeResponse() *standin.Response {
	return &standin.Response{Status: http.StatusOK, Complete: true, Body: wholeBody()}
}

// addPartCrash adds a request with the harmful part and the crash that it caused.
func addPartCrash(h *History, number int, when time.Time) {
	id := fmt.Sprintf("%s-%d", testPart, number)
	h.HarmfulRequests = append(h.HarmfulRequests, HarmfulRequest{ID: id, Work: testPart, Node: "n", Sent: when, Answer: &standin.Response{Status: http.StatusBadGateway}})
	h.HarmfulCrashes = append(h.HarmfulCrashes, HarmfulCrash{ID: id, Work: testPart, Server: "s2", Reached: when, At: when.Add(crashDelay)})
}

// addValidCrowd adds a crowd to a valid history, with as many requests served as before.
func addValidCrowd(h *History, at func(float64) time.Time) {
	h.Crowds = append(h.Crowds, Crowd{Node: "n", From: at(80), To: at(90)})
	for number := range 2 * minCrowdRequests {
		for _, second := range []float64{77.5, 85} {
			sent := at(second + 0.05*float64(number))
			h.Requests = append(h.Requests, Request{
				ID: fmt.Sprintf("crowd-%v-%d", second, number), Tenant: tenantMain, Prefix: "resume", Node: "n", Process: 1, Sent: sent, Ended: sent.Add(time.Millisecond), Answer: wholeResponse(),
			})
		}
	}
}

// partMutations returns the mutations of the promises about harmful parts and crowds.
func partMutations() map[Promise]func(h *History) {
	return map[Promise]func(h *History){
		PartBounded: func(h *History) { addPartCrash(h, 9, h.HarmfulCrashes[len(h.HarmfulCrashes)-1].At.Add(time.Second)) },
		BesideHarmServed: func(h *History) {
			for i := range h.PartRequests {
				if req := &h.PartRequests[i]; req.Sent.After(h.HarmfulCrashes[len(h.HarmfulCrashes)-1].At) {
					req.Answer = &standin.Response{Status: http.StatusBadGateway}
				}
			}
		},
		CrowdServed: func(h *History) {
			for i := range h.Requests {
				if req := &h.Requests[i]; req.Sent.After(h.Crowds[0].From) && i%3 != 0 {
					req.Answer = &standin.Response{Status: http.StatusBadGateway}
				}
			}
		},
	}
}

// Guards against requests that no node has read, or that a disturbed node got, and that count against it.
func TestCheck_CrowdCountsRequestsThatWereRead(t *testing.T) {
	history := validHistory()
	partMutations()[CrowdServed](history)
	for i := range history.Requests {
		if req := &history.Requests[i]; req.Answer.Status == http.StatusBadGateway {
			req.Answer = &standin.Response{}
		}
	}
	if violations := Check(history); len(violations) != 0 {
		t.Fatalf("got violations %v of requests that were not read", violations)
	}
}
