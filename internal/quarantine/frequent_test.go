package quarantine

import (
	"fmt"
	"testing"
	"time"
)

func TestFrequentWork_BroadcastsRepeatedSuccesses(t *testing.T) {
	var frequent frequentWork
	frequent.record(work("once"), start)
	frequent.record(work("popular"), start)
	if due := frequent.due(start, 10); len(due) != 0 {
		t.Fatalf("work that succeeded once is due: %v", due)
	}
	last := start.Add(time.Second)
	frequent.record(work("popular"), last)
	if due := frequent.due(last, 10); len(due) != 1 || due[0].Work != work("popular") || !due[0].At.Equal(last) {
		t.Fatalf("due: %v", due)
	}
	if due := frequent.due(last.Add(rebroadcastInterval), 10); len(due) != 0 {
		t.Fatalf("due again without another success: %v", due)
	}
	frequent.record(work("popular"), last.Add(time.Second))
	if due := frequent.due(last.Add(rebroadcastInterval-1), 10); len(due) != 0 {
		t.Fatalf("due again too early: %v", due)
	}
	if due := frequent.due(last.Add(rebroadcastInterval), 10); len(due) != 1 {
		t.Fatalf("due again: %v, want the popular work", due)
	}
}

func TestFrequentWork_IsBounded(t *testing.T) {
	var frequent frequentWork
	for i := range 5 * maxFrequent {
		frequent.record(work(fmt.Sprint(i)), start)
		if i%100 == 0 {
			frequent.record(work("popular"), start)
		}
	}
	if all := len(frequent.newest) + len(frequent.older); all > 2*maxFrequent {
		t.Errorf("%d works are tracked", all)
	}
	if due := frequent.due(start, 10); len(due) != 1 {
		t.Errorf("due: %v, want only the popular work", due)
	}
}
