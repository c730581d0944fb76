//go:build linux

package main

import (
	"sync"
	"time"
)

// jobReader reads the results of accepted jobs, as their clients do.
type jobReader struct {
	lab *lab

	mu     sync.Mutex
	ids    []string
	listed map[string]int
}

func newJobReader(l *lab) *jobReader { return &jobReader{lab: l, listed: map[string]int{}} }

func (r *jobReader) add(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ids = append(r.ids, id)
}

// run reads all jobs again and again.
func (r *jobReader) run() {
	for turn := 0; ; turn++ {
		r.mu.Lock()
		ids := append([]string(nil), r.ids...)
		r.mu.Unlock()
		for _, id := range ids {
			r.mu.Lock()
			position := r.listed[id]
			r.mu.Unlock()
			if position == itemsPerJob {
				continue
			}
			_, _, results := readJob(r.lab.nodes[turn%len(r.lab.nodes)], id, position)
			if len(results) == 0 {
				continue
			}
			r.mu.Lock()
			r.listed[id] = position + len(results)
			r.mu.Unlock()
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// count returns the items that are listed, and those of accepted jobs that are not.
func (r *jobReader) count() (listed, open int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, id := range r.ids {
		listed += r.listed[id]
		open += itemsPerJob - r.listed[id]
	}
	return listed, open
}

// openItems returns the items that are not listed, by accepted job.
func (r *jobReader) openItems() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	open := map[string]int{}
	for _, id := range r.ids {
		if left := itemsPerJob - r.listed[id]; left > 0 {
			open[id] = left
		}
	}
	return open
}
