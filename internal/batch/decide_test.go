package batch

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	v1 "github.com/wheelhoist/wheelhoist/api/v1"
)

// The verdict must be the same every time.
func init() { _ = flag.Set("rapid.seed", "1") }

// Room never exceeds the slots, never rises with online work, and is zero for
// the abort and pause policies while online work is there.
func TestDecideRoom_Properties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		policy := v1.BatchPolicy{
			Yield:     rapid.SampledFrom([]v1.YieldPolicy{"", v1.YieldPause, v1.YieldShrink, v1.YieldAbort, v1.YieldReserve, v1.YieldPriority}).Draw(t, "yield"),
			Estimator: rapid.SampledFrom([]v1.HeadroomEstimator{"", v1.EstimateFixed, v1.EstimatePeak}).Draw(t, "estimator"),
			Headroom:  rapid.Float64Range(0, 0.9).Draw(t, "headroom"),
		}
		signal := Signal{
			Slots:    rapid.IntRange(0, 64).Draw(t, "slots"),
			Online:   rapid.IntRange(0, 80).Draw(t, "online"),
			Peak:     rapid.IntRange(0, 80).Draw(t, "peak"),
			Reserved: rapid.Bool().Draw(t, "reserved"),
			Quiet:    time.Duration(rapid.IntRange(0, 1000).Draw(t, "quiet")) * time.Millisecond,
		}
		room := DecideRoom(policy, signal)
		if room.Target < 0 || room.Target > withQueue(signal.Slots) {
			t.Fatalf("room %+v for %d slots", room, signal.Slots)
		}
		more := signal
		more.Online++
		if after := DecideRoom(policy, more); after.Target > room.Target {
			t.Fatalf("room rose from %d to %d with another online request", room.Target, after.Target)
		}
		stops := policy.Yield == v1.YieldAbort || policy.Yield == v1.YieldPause
		if stops && signal.Online > 0 && room.Target != 0 {
			t.Fatalf("%s leaves room %d beside online work", policy.Yield, room.Target)
		}
	})
}

// A large job beside an endless stream of small ones is served all the time:
// over a long emulated run it never waits long for its next chunk.
func TestOrder_LargeJobIsNotStarved(t *testing.T) {
	order := NewOrder()
	now := time.Unix(0, 0)
	large := Candidate{Job: "large", Tenant: "a", Remaining: 270_000, Deadline: now.Add(24 * time.Hour)}
	waited, longest := 0, 0
	for round := 0; large.Remaining > 0; round++ {
		candidates := []Candidate{large}
		for i := range 5 {
			job := fmt.Sprintf("small-%d-%d", round, i)
			candidates = append(candidates, Candidate{Job: job, Tenant: "a", Remaining: 40, Deadline: now.Add(24 * time.Hour)})
		}
		chosen := order.Next(candidates, now, 100)
		if candidates[chosen].Job == "large" {
			order.Served(&large, maxChunk)
			large.Remaining -= maxChunk
			waited = 0
			continue
		}
		order.Served(&candidates[chosen], 40)
		order.Forget(candidates[chosen].Job)
		waited++
		longest = max(longest, waited)
		if longest > 1000 {
			t.Fatalf("the large job waited for %d chunks of others", longest)
		}
	}
}

func TestOrder_TenantsShareByWeight(t *testing.T) {
	order := NewOrder()
	now := time.Unix(0, 0)
	candidates := []Candidate{
		{Job: "a", Tenant: "a", Weight: 3, Remaining: 1 << 30, Deadline: now.Add(time.Hour * 1e5)},
		{Job: "b", Tenant: "b", Weight: 1, Remaining: 1 << 30, Deadline: now.Add(time.Hour * 1e5)},
	}
	served := map[string]int{}
	for range 400 {
		chosen := &candidates[order.Next(candidates, now, 0)]
		order.Served(chosen, 100)
		served[chosen.Tenant]++
	}
	if served["a"] != 300 || served["b"] != 100 {
		t.Fatalf("served %v, want 300 and 100", served)
	}
}

func TestOrder_UrgentComesFirst(t *testing.T) {
	order := NewOrder()
	now := time.Unix(0, 0)
	candidates := []Candidate{
		{Job: "relaxed", Tenant: "a", Remaining: 100, Deadline: now.Add(time.Hour)},
		{Job: "late", Tenant: "b", Remaining: 1000, Deadline: now.Add(15 * time.Second)},
		{Job: "later", Tenant: "b", Remaining: 1000, Deadline: now.Add(19 * time.Second)},
	}
	order.Served(&candidates[1], 5000) // the urgent tenant has had more than its share
	if chosen := order.Next(candidates, now, 100); candidates[chosen].Job != "late" {
		t.Fatalf("chose %s", candidates[chosen].Job)
	}
}

func TestChunkLines_SpreadsSmallJobsAndBoundsWrites(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lines := rapid.IntRange(1, MaxLines).Draw(t, "lines")
		job := Job{Lines: lines, ChunkLines: chunkLines(lines)}
		covered := 0
		for chunk := range job.Chunks() {
			first, end := job.chunkRange(chunk)
			if first != covered || end <= first {
				t.Fatalf("chunk %d covers %d to %d after %d", chunk, first, end, covered)
			}
			covered = end
		}
		if covered != lines {
			t.Fatalf("chunks cover %d of %d lines", covered, lines)
		}
		if lines > chunksWanted*maxChunk && job.ChunkLines != maxChunk {
			t.Fatalf("a large job has chunks of %d", job.ChunkLines)
		}
	})
}
