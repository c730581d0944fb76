package soak

import (
	"slices"
	"testing"
)

// A promise that is broken had an occasion, and an empty history has none.
func TestOccasions_PrecedeViolations(t *testing.T) {
	for promise, mutate := range mutations() {
		history := validHistory()
		mutate(history)
		if Occasions(history)[promise] == 0 {
			t.Errorf("a history that breaks %s has no occasion for it", promise)
		}
	}
	if without := WithoutOccasion(Occasions(&History{})); !slices.Equal(without, Promises()) {
		t.Errorf("only %v have no occasion in an empty history", without)
	}
}
