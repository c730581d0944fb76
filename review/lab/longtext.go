package main

import (
	"context"
	"fmt"
	"time"

	"github.com/wheelhoist/wheelhoist/platform/standin"
)

// The texts of the case have the largest size of the site file: 422 events of up to 390 bytes.
const (
	longEvents     = 420
	longEventBytes = 390
	longEventTime  = 3 * time.Millisecond
	// cutTime is the length of core_cut in the site file.
	cutTime = 5500 * time.Millisecond
)

// lateLongText cuts one node off from the store while it runs items. The others take its items over and
// list them. Once the cut has healed, no result that was read may change.
func lateLongText(s *site, trouble bool) ([]string, error) {
	s.configure(batchRoute())
	for i := range 6 {
		// The software is replaced zone by zone, and the first zone comes last.
		version := "v2"
		if i%len(zones) == 0 {
			version = "v1"
		}
		r := &server{id: fmt.Sprintf("r-%d", i+1), zone: zones[i%len(zones)], version: version, slots: 12}
		err := s.startReplica(r, "--events", fmt.Sprint(longEvents), "--event-bytes", fmt.Sprint(longEventBytes), "--event-time", longEventTime.String())
		if err != nil {
			return nil, err
		}
	}
	if err := s.startNodes(3); err != nil {
		return nil, err
	}
	cutOff, reader, other := s.nodes[0], s.nodes[1], s.nodes[2]
	ctx, cancel := context.WithTimeout(context.Background(), 80*time.Second)
	defer cancel()
	var items []string
	for i := range 18 {
		items = append(items, fmt.Sprintf("item%02d", i))
	}
	const job = "job1"
	status := reader.client().Submit(ctx, job, items, 1500).Status
	s.record("job %s with %d items submitted at %s: %d", job, len(items), reader.id, status)
	if status != 202 {
		return nil, fmt.Errorf("the job was answered %d", status)
	}
	// The items run for 1.3 s.
	time.Sleep(500 * time.Millisecond)
	if trouble {
		cutOff.storePath.cut()
		s.record("node %s is cut off from the store", cutOff.id)
		time.AfterFunc(cutTime, func() {
			cutOff.storePath.heal()
			s.record("node %s reaches the store again", cutOff.id)
		})
	}
	first, err := readAll(ctx, s, reader, job, len(items))
	if err != nil {
		return nil, err
	}
	time.Sleep(cutTime + 5*time.Second)
	var broken []string
	for _, n := range []*node{other, cutOff, reader} {
		again, err := readAll(ctx, s, n, job, len(items))
		if err != nil {
			return nil, err
		}
		for position := range first {
			if first[position] != again[position] {
				broken = append(broken, fmt.Sprintf("position %d, item %s: read at %s as written by %s, later at %s as written by %s",
					position, first[position].Item, reader.id, versionsOf(first[position]), n.id, versionsOf(again[position])))
			}
		}
	}
	return broken, nil
}

// readAll reads a job from the start until it has all results.
func readAll(ctx context.Context, s *site, n *node, job string, total int) ([]standin.JobResult, error) {
	var results []standin.JobResult
	for len(results) < total {
		reading, err := n.client().Results(ctx, job, len(results), time.Second)
		if ctx.Err() != nil {
			return nil, fmt.Errorf("job %s has %d of %d results", job, len(results), total)
		}
		if err != nil {
			s.record("read of %s from %d at %s: %v", job, len(results), n.id, err)
			time.Sleep(300 * time.Millisecond)
			continue
		}
		for _, result := range reading.Results {
			s.record("read of %s at %s: position %d is %s, dead %v, %d bytes by %s", job, n.id, len(results), result.Item, result.DeadLetter, len(result.Text), versionsOf(result))
			results = append(results, result)
		}
		time.Sleep(100 * time.Millisecond)
	}
	return results, nil
}

// versionsOf tells which software version wrote the text of a result.
func versionsOf(result standin.JobResult) string {
	for _, version := range []string{"v1", "v2"} {
		if result.Text == wholeText(result.Item, longEvents, version, longEventBytes) {
			return version
		}
	}
	return "none"
}
