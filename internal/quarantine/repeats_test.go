package quarantine

import (
	"fmt"
	"testing"
	"time"
)

func TestRepeats_TellOfWorkThatComesAgain(t *testing.T) {
	var r repeats
	r.note(work("once"), start)
	r.note(work("popular"), start)
	if due := r.due(start, 10); len(due) != 0 {
		t.Fatalf("works that came once are told: %v", due)
	}
	last := start.Add(time.Second)
	r.note(work("popular"), last)
	if due := r.due(last, 10); len(due) != 1 || due[0].Work != work("popular") || !due[0].At.Equal(last) {
		t.Fatalf("told is %v", due)
	}
	if due := r.due(last.Add(tellAgain), 10); len(due) != 0 {
		t.Fatalf("told again is %v, which has not come again", due)
	}
	r.note(work("popular"), last.Add(time.Second))
	if due := r.due(last.Add(tellAgain-1), 10); len(due) != 0 {
		t.Fatalf("told again too soon is %v", due)
	}
	if due := r.due(last.Add(tellAgain), 10); len(due) != 1 {
		t.Fatalf("told again is %v", due)
	}
}

func TestRepeats_AreBounded(t *testing.T) {
	var r repeats
	for i := range 5 * maxRepeats {
		r.note(work(fmt.Sprint(i)), start)
		if i%100 == 0 {
			r.note(work("popular"), start)
		}
	}
	if all := len(r.newest) + len(r.older); all > 2*maxRepeats {
		t.Errorf("%d works are remembered", all)
	}
	if due := r.due(start, 10); len(due) != 1 {
		t.Errorf("told is %v, not the popular work alone", due)
	}
}
