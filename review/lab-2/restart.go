//go:build linux

package main

import (
	"fmt"
	"strings"
	"time"

	"github.com/wheelhoist/wheelhoist/platform/standin"
)

// restartCase kills all processes while batch jobs are open, and looks whether their items go on.
func restartCase(l *lab) bool {
	const (
		nodes, servers, slots = 13, 18, 12
		jobs, jobsPerS        = 24, 1.09
		tokens                = 80
		blobTime, blobRate    = 25 * time.Millisecond, 80e6
		downFor               = time.Second
		// recoverFor and finishFor are the recoverS and finishS of the sites.
		recoverFor, finishFor = 12 * time.Second, 18 * time.Second
		// calmFor is how long no replica had an item of the job, listedFor how long no item of any job was finished,
		// when the items of a job count as lost.
		calmFor, listedFor = 5 * time.Second, 3 * time.Second
	)
	l.store.Put("op", "config", smallConfig(1))
	var all []*standin.Server
	for i := range servers {
		s := &standin.Server{ID: fmt.Sprintf("i-%d", i), Events: 40, EventTime: 50 * time.Millisecond, Slots: slots}
		all = append(all, s)
		l.addServer(s, string(rune('a'+i%3)))
	}
	paced := &pacedStore{inner: l.store, bytesPerS: blobRate, latency: blobTime}
	l.front = paced
	l.startNodes(nodes, machine{304, 8200})
	reader := newJobReader(l)
	for j := range jobs {
		id := fmt.Sprintf("job%d", j)
		body := largeJob(id, tokens)
		go func() {
			if l.submit(j, id, body, 6) {
				reader.add(id)
			}
		}()
		time.Sleep(interval(jobsPerS))
	}
	go reader.run()
	if l.trouble {
		l.say("all processes are killed")
		for _, n := range l.nodes {
			go n.killFor(downFor)
		}
	}
	seen := &runsSeen{servers: all}
	for end := time.Now().Add(downFor + recoverFor + finishFor); time.Now().Before(end); time.Sleep(time.Second) {
		begun, running := seen.look()
		if running >= servers*slots/2 {
			seen.halfFull = time.Now()
		}
		listed, open := reader.count()
		mb, whole, broken := paced.counts()
		l.say("%d runs, %d of them now; %d items listed, %d of open jobs not; objects: %d MB read, %d whole, %d broken off",
			begun, running, listed, open, mb, whole, broken)
	}
	seen.look()
	listed, open := reader.count()
	// Finished items excuse only if those of the last 5 s are a tenth of all that wait, or more.
	finished, recently := seen.endedSince(calmFor), seen.endedSince(listedFor)
	excused := recently > 0 && finished*10 >= open || time.Since(seen.halfFull) < calmFor
	lost := 0
	for id, count := range reader.openItems() {
		if time.Since(seen.had[id]) >= calmFor {
			l.say("%s: %d items are not listed, no replica had one for %.1f s", id, count, time.Since(seen.had[id]).Seconds())
			lost += count
		}
	}
	l.say("%d items are listed, %d of accepted jobs are not; %d of them count as lost; %d runs ended in the last 5 s, %d in the last 3 s",
		listed, open, lost, finished, recently)
	return excused || lost == 0
}

// runsSeen is what the servers ran.
type runsSeen struct {
	servers []*standin.Server
	// had is when a server last had an item of a job, ended when each run ended.
	had   map[string]time.Time
	ended []time.Time
	// halfFull is when half of all slots were last taken.
	halfFull time.Time
}

// look brings what is known up to date. It returns the runs that have begun and those that are in progress.
func (r *runsSeen) look() (begun, running int) {
	now := time.Now()
	r.had, r.ended = map[string]time.Time{}, nil
	for _, s := range r.servers {
		for _, run := range s.Runs() {
			begun++
			at := run.Ended
			if at.IsZero() {
				at = now
				running++
			} else {
				r.ended = append(r.ended, at)
			}
			if job, _, _ := strings.Cut(run.ID, "-"); at.After(r.had[job]) {
				r.had[job] = at
			}
		}
	}
	return begun, running
}

// endedSince returns the runs that ended within a time until now.
func (r *runsSeen) endedSince(within time.Duration) int {
	count := 0
	for _, at := range r.ended {
		if time.Since(at) < within {
			count++
		}
	}
	return count
}
