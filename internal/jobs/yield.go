package jobs

import (
	"errors"
	"sort"
	"time"
)

// errYielded reports an item that gave its slot to online requests.
var errYielded = errors.New("item gave way to online requests")

// yieldPause is the pause before an item that gave way is sent again. It goes
// on after the text it has.
const yieldPause = 250 * time.Millisecond

// Yield makes room at a replica where requests wait: some of this node's items
// there are broken off, those first that have the least text to read
// again when they go on.
func (r *Runner) Yield(replica string, items int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var running []*task
	for _, owned := range r.owned {
		for _, one := range owned.tasks {
			if one.state == taskRunning && one.replica == replica && !one.once {
				running = append(running, one)
			}
		}
	}
	sort.Slice(running, func(i, j int) bool { return running[i].after < running[j].after })
	for _, one := range running[:min(items, len(running))] {
		one.cancel(errYielded)
	}
}
