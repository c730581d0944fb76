package main

import (
	"context"
	"fmt"
	"time"

	"github.com/wheelhoist/wheelhoist/platform/standin"
)

const (
	// manyItemsTotal is the largest number of items of a job.
	manyItemsTotal = 200
	// outageTime is the length of platform_down in the site file.
	outageTime = 4500 * time.Millisecond
	// outageAfter is the time from the 202 to the outage. The items run for 0.6 to 3 s.
	outageAfter = 300 * time.Millisecond
	// finishTime is finishS, which counts from the end of the outage here.
	finishTime = 18 * time.Second
	// calmTime is how long no replica may have had an unlisted item for the rule to be broken.
	calmTime = 5 * time.Second
)

// manyItems takes the store away for some seconds while the items of a job of the largest size run. They end
// meanwhile. Each of them must be listed within finishS.
func manyItems(s *site, trouble bool) ([]string, error) {
	s.configure(batchRoute())
	for i := range 12 {
		r := &server{id: fmt.Sprintf("r-%d", i+1), zone: zones[i%len(zones)], version: "v1", slots: 17}
		if err := s.startReplica(r, "--events", "40", "--event-bytes", "60", "--event-time", "15ms", "--longest-event-time", "75ms"); err != nil {
			return nil, err
		}
	}
	if err := s.startNodes(3); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), 80*time.Second)
	defer cancel()
	var items []string
	for i := range manyItemsTotal {
		items = append(items, fmt.Sprintf("item%03d", i))
	}
	const job = "job1"
	status := s.nodes[0].client().Submit(ctx, job, items, 600).Status
	s.record("job %s with %d items submitted: %d", job, len(items), status)
	if status != 202 {
		return nil, fmt.Errorf("the job was answered %d", status)
	}
	time.Sleep(outageAfter)
	if trouble {
		s.store.SetFault(func(string) standin.Fault { return standin.Unavailable })
		s.record("the store answers 503")
		time.Sleep(outageTime)
		s.store.SetFault(nil)
		s.record("the store is back")
	}
	time.Sleep(finishTime)
	results, err := listed(ctx, s, s.nodes[1], job)
	if err != nil {
		return nil, err
	}
	s.record("finishS after the end of the outage, %d of %d items are listed; replicas finished %d runs", len(results), len(items), len(s.seen("whole")))
	if len(results) == len(items) {
		return nil, nil
	}
	// The rule excuses items that replicas still have.
	if last := s.lastSeen(); time.Since(last) < calmTime {
		return nil, fmt.Errorf("replicas had items %s ago", time.Since(last))
	}
	return []string{fmt.Sprintf("LOST: %d of %d items are listed neither as completed nor as dead, and no replica had any for %s",
		len(items)-len(results), len(items), time.Since(s.lastSeen()).Round(100*time.Millisecond))}, nil
}

// listed reads what a job has listed.
func listed(ctx context.Context, s *site, n *node, job string) ([]standin.JobResult, error) {
	var results []standin.JobResult
	for {
		reading, err := n.client().Results(ctx, job, len(results), 0)
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		if err != nil {
			s.record("read of %s from %d at %s: %v", job, len(results), n.id, err)
			time.Sleep(300 * time.Millisecond)
			continue
		}
		if len(reading.Results) == 0 {
			return results, nil
		}
		results = append(results, reading.Results...)
	}
}
