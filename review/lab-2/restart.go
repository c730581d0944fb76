package main

import (
	"fmt"
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
		// calmFor and listedFor are how long nothing ran and nothing was listed when items count as lost.
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
	var lastRun time.Time
	for end := time.Now().Add(downFor + recoverFor + finishFor); time.Now().Before(end); time.Sleep(time.Second) {
		running, begun := 0, 0
		for _, s := range all {
			for _, run := range s.Runs() {
				begun++
				if run.Ended.IsZero() {
					running++
					lastRun = time.Now()
				} else if run.Ended.After(lastRun) {
					lastRun = run.Ended
				}
			}
		}
		listed, open := reader.count()
		mb, whole, broken := paced.counts()
		l.say("%d runs, %d of them now; %d items listed, %d of open jobs not; objects: %d MB read, %d whole, %d broken off",
			begun, running, listed, open, mb, whole, broken)
	}
	listed, open := reader.count()
	sinceRun, sinceListed := time.Since(lastRun), time.Since(reader.last())
	l.say("%d items are listed, %d of accepted jobs are not; nothing has run for %.1f s, nothing was listed for %.1f s",
		listed, open, sinceRun.Seconds(), sinceListed.Seconds())
	return open == 0 || sinceRun < calmFor || sinceListed < listedFor
}
