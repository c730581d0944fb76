package jobs

import "testing"

// Guards against sound items that never complete, since the texts of items that wait for a replica of another
// pool, and can't end meanwhile, take all room.
func TestMakeRoom_TextsOfItemsThatWaitLeaveRoom(t *testing.T) {
	const waiting, each = 420, 40 << 10
	owned := &ownedJob{job: &Job{ID: "j", Items: make([]ItemHead, waiting)}}
	runner := &Runner{RunnerOptions: RunnerOptions{Service: &Service{Events: noEvents{}}}, owned: map[string]*ownedJob{"j": owned}}
	for i := range waiting {
		owned.tasks = append(owned.tasks, &task{owned: owned, index: i, state: taskWaiting, text: make([]byte, each)})
	}
	running := &task{state: taskRunning}
	owned.tasks = append(owned.tasks, running)
	for len(running.text) < each {
		if err := runner.makeRoom(running, 1<<10); err != nil {
			t.Fatalf("a text of %d bytes beside %d of %d bytes that wait: %v", len(running.text), waiting, each, err)
		}
		running.text = append(running.text, make([]byte, 1<<10)...)
	}
}
