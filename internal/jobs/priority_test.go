package jobs

import (
	"slices"
	"testing"
	"time"
)

func TestTurn_EarliestDueFirstAndHopelessLast(t *testing.T) {
	runner := NewRunner(RunnerOptions{})
	runner.estimate = itemEstimate{events: 100, eventTime: 50 * time.Millisecond}
	const now = 10 * time.Second
	work := func(id string, due time.Duration) *ownedJob { return &ownedJob{job: &Job{ID: id, Due: due}} }
	tasks := []*task{
		{owned: work("hopeless", 14*time.Second)},
		{owned: work("later", 200*time.Second)},
		{owned: work("nearly done", 14*time.Second), lastEvent: 60},
		{owned: work("soon", 100*time.Second)},
	}
	slices.SortFunc(tasks, func(a, b *task) int {
		if runner.priorityOf(a, now).before(runner.priorityOf(b, now)) {
			return -1
		}
		return 1
	})
	var order []string
	for _, one := range tasks {
		order = append(order, one.owned.job.ID)
	}
	if want := []string{"nearly done", "soon", "later", "hopeless"}; !slices.Equal(order, want) {
		t.Fatalf("order is %v, want %v", order, want)
	}
}

func TestUsual_LearnsWhatItemsAreLike(t *testing.T) {
	var items itemEstimate
	for range 200 {
		items.recordEvents(200)
		items.recordPace(200, 5*time.Second)
	}
	if left := items.remaining(100); left < 2300*time.Millisecond || left > 2700*time.Millisecond {
		t.Fatalf("half an item takes %v, want some 2.5 s", left)
	}
	if left := items.remaining(300); left != 0 {
		t.Fatalf("an item longer than usual takes %v", left)
	}
}
