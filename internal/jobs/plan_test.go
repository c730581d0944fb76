package jobs

import (
	"slices"
	"testing"
	"time"
)

func TestTurn_EarliestDueFirstAndHopelessLast(t *testing.T) {
	runner := NewRunner(RunnerOptions{})
	runner.usual = usual{events: 100, event: 50 * time.Millisecond}
	const now = 10 * time.Second
	work := func(id string, due time.Duration) *work { return &work{job: &Job{ID: id, Due: due}} }
	tasks := []*task{
		{work: work("hopeless", 14*time.Second)},
		{work: work("later", 200*time.Second)},
		{work: work("nearly done", 14*time.Second), after: 60},
		{work: work("soon", 100*time.Second)},
	}
	slices.SortFunc(tasks, func(a, b *task) int {
		if runner.turnOf(a, now).before(runner.turnOf(b, now)) {
			return -1
		}
		return 1
	})
	var order []string
	for _, one := range tasks {
		order = append(order, one.work.job.ID)
	}
	if want := []string{"nearly done", "soon", "later", "hopeless"}; !slices.Equal(order, want) {
		t.Fatalf("order is %v, want %v", order, want)
	}
}

func TestUsual_LearnsWhatItemsAreLike(t *testing.T) {
	var items usual
	for range 200 {
		items.run(200)
		items.pace(200, 5*time.Second)
	}
	if left := items.remaining(100); left < 2300*time.Millisecond || left > 2700*time.Millisecond {
		t.Fatalf("half an item takes %v, want some 2.5 s", left)
	}
	if left := items.remaining(300); left != 0 {
		t.Fatalf("an item longer than usual takes %v", left)
	}
}
