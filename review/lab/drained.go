package main

import (
	"context"
	"fmt"
	"time"
)

const (
	drainEvents     = 211
	drainEventBytes = 65
	drainEventTime  = 20 * time.Millisecond
	// noticeTime is the time from the notice to the end of a replica that scale_in takes away with spot.
	noticeTime = 2 * time.Second
	// replaceTime is the time from then until another replica comes.
	replaceTime = 4 * time.Second
	// unframed is the number of replicas, of 8, whose answers have neither a length nor chunks.
	unframed = 2
)

// drainedReplicaEnds takes a replica away: it says draining, and its process ends 2 s later. Its answers
// have neither a length nor chunks. Each item that is listed as completed must have its whole text.
func drainedReplicaEnds(s *site, trouble bool) ([]string, error) {
	s.configure(batchRoute())
	var options []string
	for i := range 8 {
		r := &server{id: fmt.Sprintf("r-%d", i+1), zone: zones[i%len(zones)], version: "v1", slots: 12}
		options = []string{"--events", fmt.Sprint(drainEvents), "--event-bytes", fmt.Sprint(drainEventBytes), "--event-time", drainEventTime.String()}
		if i < unframed {
			options = append(options, "--unframed")
		}
		if err := s.startReplica(r, options...); err != nil {
			return nil, err
		}
	}
	if err := s.startNodes(3); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), 80*time.Second)
	defer cancel()
	var items []string
	for i := range 60 {
		items = append(items, fmt.Sprintf("item%02d", i))
	}
	const job = "job1"
	status := s.nodes[0].client().Submit(ctx, job, items, 1500).Status
	s.record("job %s with %d items submitted: %d", job, len(items), status)
	if status != 202 {
		return nil, fmt.Errorf("the job was answered %d", status)
	}
	// The items run for 4.2 s.
	time.Sleep(time.Second)
	leaving, replaced := s.replicas[0], make(chan struct{})
	if trouble {
		s.list(leaving, "draining")
		s.record("replica %s says draining", leaving.id)
		time.Sleep(noticeTime)
		_ = leaving.command.Process.Kill()
		<-leaving.exited
		s.record("replica %s has ended", leaving.id)
		s.store.Remove("servers", leaving.id)
		go func() {
			defer close(replaced)
			time.Sleep(replaceTime)
			if err := s.startReplica(&server{id: "r-9", zone: leaving.zone, version: "v1", slots: 12}, options...); err != nil {
				s.record("the new replica did not start: %v", err)
			}
		}()
	} else {
		close(replaced)
	}
	results, err := readAll(ctx, s, s.nodes[1], job, len(items))
	<-replaced
	if err != nil {
		return nil, err
	}
	var broken []string
	for position, result := range results {
		if whole := wholeText(result.Item, drainEvents, "v1", drainEventBytes); result.Text != whole {
			broken = append(broken, fmt.Sprintf("position %d, item %s: dead %v, %d bytes of %d", position, result.Item, result.DeadLetter, len(result.Text), len(whole)))
		}
	}
	return broken, nil
}
