package bytebudget

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

// Guards against a single holder that takes all, and against a sound one that finds nothing beside many that
// ask for ever more.
func TestShare_HoldersThatNeverEndLeaveRoom(t *testing.T) {
	for _, count := range []int{1, 2, 10, 100} {
		budget := &Budget{}
		shares := make([]Share, count)
		for i := range shares {
			shares[i].Budget = budget
		}
		growing := true
		for size := FreeBytes; growing; size += stepBytes {
			growing = false
			for i := range shares {
				growing = shares[i].Hold(size) == nil || growing
			}
		}
		if used := budget.Used(); used > DefaultLimit*int64(count)/int64(count+1) {
			t.Errorf("%d holders have %d bytes together", count, used)
		}
		sound := Share{Budget: budget}
		if err := sound.Hold(DefaultLimit/(count+1)/2 - stepBytes); err != nil {
			t.Errorf("beside %d holders: %v", count, err)
		}
		sound.Release()
		for i := range shares {
			shares[i].Release()
		}
		if used := budget.Used(); used != 0 {
			t.Errorf("%d bytes are still taken", used)
		}
	}
}

// Guards against bytes that are lost to the budget, or given back twice, by any order of changes.
func TestShare_BudgetIsTheSumOfShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		budget := &Budget{Limit: 1 << 20}
		shares := make([]Share, 5)
		for i := range shares {
			shares[i].Budget = budget
		}
		for range rapid.IntRange(0, 100).Draw(t, "steps") {
			share := &shares[rapid.IntRange(0, len(shares)-1).Draw(t, "holder")]
			before := share.taken
			if err := share.Hold(rapid.IntRange(0, 1<<20).Draw(t, "bytes")); err != nil && (!errors.Is(err, ErrFull) || share.taken != before) {
				t.Fatalf("%v, %d bytes taken, %d before", err, share.taken, before)
			}
			sum := int64(0)
			for i := range shares {
				sum += shares[i].taken
			}
			if used := budget.Used(); used != sum || used > budget.Limit {
				t.Fatalf("%d bytes used, the shares have %d", used, sum)
			}
		}
	})
}

// Guards against a budget that concurrent holders exceed.
func TestShare_ConcurrentHolders(t *testing.T) {
	budget := &Budget{Limit: 1 << 20}
	var wait sync.WaitGroup
	for range 16 {
		wait.Go(func() {
			share := Share{Budget: budget}
			for size := range 200 {
				_ = share.Hold(size * stepBytes)
				if used := budget.Used(); used < 0 || used > budget.Limit {
					t.Errorf("%d bytes used of %d", used, budget.Limit)
				}
			}
			share.Release()
		})
	}
	wait.Wait()
	if used := budget.Used(); used != 0 {
		t.Errorf("%d bytes are still taken", used)
	}
}

// Guards against holders that all end because they ask at the same time, though the larger ones could make room
// for the others, and against waits without end.
func TestShare_LargerHoldersMakeRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		budget := &Budget{}
		var wait sync.WaitGroup
		for i := range 100 {
			wait.Go(func() {
				share := Share{Budget: budget}
				defer share.Release()
				size, limit := 0, 2*DefaultLimit
				if i%2 == 0 {
					limit = 100 << 10
				}
				var err error
				for size < limit && err == nil {
					size += stepBytes
					err = share.Await(t.Context(), size)
					time.Sleep(time.Millisecond)
				}
				if endless := i%2 != 0; (err != nil) != endless || err != nil && !errors.Is(err, ErrFull) {
					t.Errorf("holder of %d bytes of %d: %v", size, limit, err)
				}
			})
		}
		began := time.Now()
		wait.Wait()
		if took := time.Since(began); took > 10*maxWait {
			t.Errorf("took %v", took)
		}
		if budget.Used() != 0 || budget.holders != 0 {
			t.Errorf("%d bytes are still taken by %d holders", budget.Used(), budget.holders)
		}
	})
}

// Guards against a wait that does not end with its context, or that many pauses make longer than allowed.
func TestShare_WaitIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		budget := &Budget{}
		large := Share{Budget: budget}
		if err := large.Hold(DefaultLimit / 2); err != nil {
			t.Fatal(err)
		}
		waiting, began := Share{Budget: budget}, time.Now()
		for size := FreeBytes; ; size += stepBytes {
			if err := waiting.Await(t.Context(), size); err != nil {
				break
			}
		}
		if waited := time.Since(began); waited > maxWait {
			t.Errorf("waited %v", waited)
		}
		ctx, cancel := context.WithTimeout(t.Context(), maxLargeWait/2)
		defer cancel()
		other, began := Share{Budget: budget}, time.Now()
		if err := other.Await(ctx, DefaultLimit/2); !errors.Is(err, ErrFull) || time.Since(began) > maxLargeWait/2 {
			t.Errorf("after the end of the context: %v after %v", err, time.Since(began))
		}
	})
}
