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
		t.Fatalf("works that came once are told: %v", due)
	}
	last := start.Add(time.Second)
	frequent.record(work("popular"), last)
	if due := frequent.due(last, 10); len(due) != 1 || due[0].Work != work("popular") || !due[0].At.Equal(last) {
		t.Fatalf("told is %v", due)
	}
	if due := frequent.due(last.Add(rebroadcastInterval), 10); len(due) != 0 {
		t.Fatalf("told again is %v, which has not come again", due)
	}
	frequent.record(work("popular"), last.Add(time.Second))
	if due := frequent.due(last.Add(rebroadcastInterval-1), 10); len(due) != 0 {
		t.Fatalf("told again too soon is %v", due)
	}
	if due := frequent.due(last.Add(rebroadcastInterval), 10); len(due) != 1 {
		t.Fatalf("told again is %v", due)
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
		t.Errorf("%d works are remembered", all)
	}
	if due := frequent.due(start, 10); len(due) != 1 {
		t.Errorf("told is %v, not the popular work alone", due)
	}
}
