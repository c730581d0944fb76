package node

import (
	"bytes"
	"io"
	"math"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// slowPeer answers with a bootstrap state some time after it made it.
type slowPeer struct {
	state bootstrapState
	delay time.Duration
}

// RoundTrip implements http.RoundTripper.
func (p slowPeer) RoundTrip(r *http.Request) (*http.Response, error) {
	body, err := cbor.Marshal(p.state)
	time.Sleep(p.delay)
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(bytes.NewReader(body)), Request: r}, err
}

// TestFetchBootstrapState_AgesIncludeTransit guards against a node that starts with the state of another
// one and takes it for as recent as it was when it was sent. An age that cannot be true is an old one.
func TestFetchBootstrapState_AgesIncludeTransit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const delay = 400 * time.Millisecond
		state := bootstrapState{Config: feedState{AgeMs: 100}, Replicas: feedState{AgeMs: math.MaxInt64}, Members: feedState{AgeMs: -5}}
		client := &http.Client{Transport: slowPeer{state: state, delay: delay}}
		fetched, err := fetchBootstrapState(t.Context(), client, "peer")
		if err != nil {
			t.Fatal(err)
		}
		for name, c := range map[string]struct {
			feed feedState
			min  time.Duration
		}{
			"config":   {fetched.Config, delay + 100*time.Millisecond},
			"replicas": {fetched.Replicas, maxStatedAge},
			"members":  {fetched.Members, delay},
		} {
			if c.feed.age() < c.min {
				t.Errorf("%s: age %v, at least %v old", name, c.feed.age(), c.min)
			}
		}
	})
}

// TestFeedState_ImpossibleAges guards against a stated age that overflows and counts as none: the list of replicas
// of another node would count as current.
func TestFeedState_ImpossibleAges(t *testing.T) {
	for ageMs, want := range map[int64]time.Duration{
		math.MaxInt64: maxStatedAge, math.MaxInt64/int64(time.Millisecond) + 1: maxStatedAge, math.MinInt64: 0, -1: 0, 250: 250 * time.Millisecond,
	} {
		if age := (&feedState{AgeMs: ageMs}).age(); age != want {
			t.Errorf("a stated age of %d ms counts as %v, want %v", ageMs, age, want)
		}
	}
}
