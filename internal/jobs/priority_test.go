package jobs

import (
	"slices"
	"testing"
	"time"
)

func TestPriority_EarliestDueFirstAndLateLast(t *testing.T) {
	runner := NewRunner(RunnerOptions{})
	runner.estimate = itemEstimate{events: 100, eventTime: 50 * time.Millisecond}
	const now = 10 * time.Second
	owned := func(id string, due time.Duration) *ownedJob { return &ownedJob{job: &Job{ID: id, Due: due}} }
	tasks := []*task{
		{owned: owned("late", 14*time.Second)},
		{owned: owned("later", 200*time.Second)},
		{owned: owned("nearly done", 14*time.Second), lastEvent: 60},
		{owned: owned("soon", 100*time.Second)},
	}
	slices.SortFunc(tasks, func(a, b *task) int {
		if runner.priorityOf(a, now).before(runner.priorityOf(b, now)) {
			return -1
		}
		return 1
	})
	var order []string
	for _, tsk := range tasks {
		order = append(order, tsk.owned.job.ID)
	}
	if want := []string{"nearly done", "soon", "later", "late"}; !slices.Equal(order, want) {
		t.Fatalf("order is %v, want %v", order, want)
	}
}

func TestItemEstimate_LearnsTheLengthOfItems(t *testing.T) {
	var estimate itemEstimate
	for range 200 {
		estimate.recordEvents(200)
		estimate.recordPace(200, 5*time.Second)
	}
	if left := estimate.remaining(100); left < 2300*time.Millisecond || left > 2700*time.Millisecond {
		t.Fatalf("half an item takes %v, want about 2.5 s", left)
	}
	if left := estimate.remaining(300); left != 0 {
		t.Fatalf("an item longer than usual takes %v", left)
	}
}
