package jobs

import (
	"errors"
	"os"
	"strconv"
	"sync"
	"testing"
	"time"
)

// defaultFaultyDays is the number of days that TestRead_PromisesHoldUnderFaults plays. The environment
// variable faultyDaysVariable overrides it.
const (
	defaultFaultyDays  = 20
	faultyDaysVariable = "WHEELHOIST_FAULTY_DAYS"
)

func faultyDays() uint64 {
	if days, err := strconv.ParseUint(os.Getenv(faultyDaysVariable), 10, 32); err == nil {
		return days
	}
	return defaultFaultyDays
}

// shownResult is a result at a position, and when it was first shown.
type shownResult struct {
	result Result
	at     time.Time
}

// shownVersion is a version of a job's progress, and when an answer named it.
type shownVersion struct {
	version uint64
	at      time.Time
}

// shownHistory is what the readers of all nodes have seen. It is safe for concurrent use.
type shownHistory struct {
	mu         sync.Mutex
	acceptedAt map[string]time.Time
	endedAt    map[string]time.Time
	// lastVersion holds the versions of answers as of a time after a job's end.
	lastVersion map[string]uint64
	results     map[string]map[int]shownResult
	versions    map[string][]shownVersion
	answers     int
}

func (h *shownHistory) accepted(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.acceptedAt == nil {
		h.acceptedAt, h.endedAt, h.lastVersion = map[string]time.Time{}, map[string]time.Time{}, map[string]uint64{}
		h.results, h.versions = map[string]map[int]shownResult{}, map[string][]shownVersion{}
	}
	h.acceptedAt[id], h.results[id] = time.Now(), map[int]shownResult{}
}

// answered returns the number of reads that were answered.
func (h *shownHistory) answered() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.answers
}

// ended records the acknowledgement of a job's end.
func (h *shownHistory) ended(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.endedAt[id] = time.Now()
}

// check compares an answer with all earlier ones, and then adds it to them.
func (h *shownHistory) check(t *testing.T, start time.Time, id string, position int, began time.Time, reading *ReadResult, err error) {
	t.Helper()
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	if errors.Is(err, ErrNotFound) && now.Sub(h.acceptedAt[id]) > maxStaleness {
		t.Errorf("%v: %s is denied %v after its acceptance: %v", now.Sub(start), id, now.Sub(h.acceptedAt[id]), err)
	}
	if err != nil {
		return
	}
	h.answers++
	shown, known := h.results[id][position]
	if known && len(reading.Results) == 0 && now.Sub(shown.at) > maxStaleness {
		t.Errorf("%v: %s has no result at position %d, shown %v before; read for %v, version %d as of %v before",
			now.Sub(start), id, position, now.Sub(shown.at), now.Sub(began), reading.Version, now.Sub(reading.AsOf))
	}
	h.checkVersion(t, start, id, reading)
	h.checkEnd(t, id, reading)
	for i, result := range reading.Results {
		h.checkResult(t, id, position+i, result, now)
	}
	h.versions[id] = append(h.versions[id], shownVersion{version: reading.Version, at: now})
}

// checkEnd checks that all answers that are as of a time after a job's end name the same version.
func (h *shownHistory) checkEnd(t *testing.T, id string, reading *ReadResult) {
	t.Helper()
	endedAt, ended := h.endedAt[id]
	if !ended || !reading.AsOf.After(endedAt) {
		return
	}
	if last, known := h.lastVersion[id]; known && last != reading.Version {
		t.Errorf("%s at versions %d and %d after its end", id, last, reading.Version)
	}
	h.lastVersion[id] = reading.Version
}

// checkVersion checks that an answer names no older version than one shown before the time that it is
// as of.
func (h *shownHistory) checkVersion(t *testing.T, start time.Time, id string, reading *ReadResult) {
	t.Helper()
	for _, earlier := range h.versions[id] {
		if earlier.version > reading.Version && earlier.at.Before(reading.AsOf) {
			t.Errorf("%s at version %d as of %v, though %d was shown at %v", id, reading.Version, reading.AsOf.Sub(start), earlier.version, earlier.at.Sub(start))
			return
		}
	}
}

// checkResult checks that a position keeps its result, and that no item is listed twice.
func (h *shownHistory) checkResult(t *testing.T, id string, position int, result Result, now time.Time) {
	t.Helper()
	shown, known := h.results[id][position]
	if known && shown.result != result {
		t.Errorf("%s at position %d: %+v, was %+v", id, position, result, shown.result)
	}
	if known {
		return
	}
	for other, earlier := range h.results[id] {
		if earlier.result.Item == result.Item {
			t.Errorf("%s lists %s at positions %d and %d", id, result.Item, other, position)
		}
	}
	h.results[id][position] = shownResult{result: result, at: now}
}
