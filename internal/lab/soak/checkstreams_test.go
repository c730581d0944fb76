package soak

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/wheelhoist/wheelhoist/platform/standin"
)

// versioned returns events as a software version writes them.
func versioned(version string, first, last int) []string {
	var events []string
	for id := first; id <= last; id++ {
		events = append(events, standin.EventData(id)+" of "+version)
	}
	return events
}

// addValidStreams adds streams that were continued at another node while servers of two versions served.
func addValidStreams(h *History, at func(float64) time.Time) {
	h.Versions = []ServerVersion{
		{Server: "s0", Version: "v1"}, {Server: "s1", Version: "v1"}, {Server: "s2", Version: "v1"}, {Server: "s2", Version: "v2", From: at(1)},
	}
	for i := range minContinued {
		h.Streams = append(h.Streams, Stream{ID: fmt.Sprintf("stream-%d", i), Requests: []StreamRequest{
			{Node: "n", Sent: at(2.5), Ended: at(2.6), Status: http.StatusOK, Events: versioned("v1", 1, 1)},
			{Node: "m", Sent: at(2.7), Ended: at(2.8), Status: http.StatusOK, After: 1, Events: versioned("v1", 2, 3)},
		}})
	}
}

// streamMutations returns the mutations of the promises about streams.
func streamMutations() map[Promise]func(h *History) {
	return map[Promise]func(h *History){
		OneVersion: func(h *History) { h.Streams[0].Requests[1].Events = versioned("v2", 2, 3) },
		StreamsGoOn: func(h *History) {
			for i := range h.Streams[:minContinued*2/3] {
				h.Streams[i].Requests[1].Events = nil
			}
		},
	}
}

// Guards against a check that misses texts and single answers of two versions, or blames a stream for a
// version that no server ran.
func TestCheck_VersionsOfAnswersAndTexts(t *testing.T) {
	text := validHistory()
	for i := range text.Observations {
		if text.Observations[i].Item == "j-0" {
			text.Observations[i].Text = "piece 1 of v1\npiece 2 of v1\npiece 3 of v2"
		}
	}
	answer := validHistory()
	answer.Requests[0].Answer.Body = []byte("data: piece 1 of v1\n\ndata: piece 2 of v2\n\ndata: piece 3 of v2\n\n")
	for name, history := range map[string]*History{"text": text, "answer": answer} {
		if found := Check(history); len(found) != 1 || found[0].Promise != OneVersion {
			t.Errorf("%s of two versions: %v", name, found)
		}
	}
	gone := validHistory()
	streamMutations()[StreamsGoOn](gone)
	gone.Versions = []ServerVersion{{Server: "s0", Version: "v3"}, {Server: "s1", Version: "v2"}}
	if found := Check(gone); len(found) != 0 {
		t.Errorf("streams of a version that no server runs: %v", found)
	}
}
