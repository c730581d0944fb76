package soak

import (
	"fmt"
	"slices"
	"sort"
	"time"

	"github.com/wheelhoist/wheelhoist/platform/standin"
)

const (
	// listBound is how long items may take to be listed after the load has ended, in addition to
	// the time for the remaining work.
	listBound = 20 * time.Second
	// maxCalmWait is how long an item may wait in the calm phase while there is a free slot without
	// interruption. maxWait limits the total time that an item waits beside free slots, with or
	// without faults. It is longer than a node is cut off, paused or down plus the time to take
	// over its work.
	maxCalmWait = 5 * time.Second
	maxWait     = 20 * time.Second
	// freeSlotGrace is how long nodes may take to learn that a server is usable again.
	freeSlotGrace = 2 * time.Second
	// calmLoadTime is how long the load continues in the calm phase. It is longer than maxCalmWait,
	// because an item whose answer never arrives may be given up for other reasons once its server
	// has no other work.
	calmLoadTime = 12 * time.Second
	// interval is the granularity of the check: a slot counts as free if it is free throughout an
	// interval.
	interval = 250 * time.Millisecond
)

// checkListings checks ItemListedInCalm.
func (c *checker) checkListings() {
	firstListed := c.firstListed()
	for _, job := range c.Jobs {
		if !job.Accepted || !job.EndedAt.IsZero() {
			continue
		}
		bound := later(job.At, c.LoadEnd).Add(listBound + c.Backlog)
		var late []string
		for _, item := range job.Items {
			if at, ok := firstListed[item]; !ok || at.After(bound) {
				late = append(late, item)
			}
		}
		if len(late) > 0 {
			c.addViolation(ItemListedInCalm, "%d of %d items of job %s (accepted at %s) are not listed %v after load and faults; %s",
				len(late), len(job.Items), job.ID, c.timestamp(job.At), listBound+c.Backlog, c.itemHistory(late[0], firstListed))
		}
	}
}

// firstListed returns when a read first returned each item.
func (c *checker) firstListed() map[string]time.Time {
	first := map[string]time.Time{}
	for _, obs := range c.Observations {
		if at, ok := first[obs.Item]; !ok || obs.At.Before(at) {
			first[obs.Item] = obs.At
		}
	}
	return first
}

// checkWaits checks that no item waits too long while there is a free slot. Items that a server has
// started do not wait.
func (c *checker) checkWaits() {
	firstListed, freeSlots := c.firstListed(), c.freeSlots()
	end := c.LoadEnd.Add(listBound)
	for _, job := range c.Jobs {
		if !job.Accepted || !job.EndedAt.IsZero() {
			continue
		}
		var worst wait
		var item string
		count := 0
		for _, candidate := range job.Items {
			w := c.longestWait(candidate, &job, firstListed, freeSlots, end)
			if w.tooLong() {
				count++
			}
			if w.besideFree >= worst.besideFree && w.tooLong() {
				worst, item = w, candidate
			}
		}
		if count > 0 {
			c.addViolation(NoWaitBesideFreeSlots, "%d of %d items of job %s (accepted at %s) wait beside a free slot; %s from %s to %s, %v beside one, %v of it in calm and without a break, slots free for %v, more requests than slots for %v; %s",
				count, len(job.Items), job.ID, c.timestamp(job.At), item, c.timestamp(worst.from), c.timestamp(worst.to), worst.besideFree, worst.calmBesideFree, worst.freeByServer,
				c.overcommitted(worst.from, worst.to), c.itemHistory(item, firstListed))
		}
	}
}

// LongestCalmWait returns the longest time that an item waited in the calm phase beside a free slot
// without interruption.
func LongestCalmWait(h *History) time.Duration {
	c := newChecker(h)
	firstListed, freeSlots := c.firstListed(), c.freeSlots()
	var longest time.Duration
	for _, job := range c.Jobs {
		if !job.Accepted || !job.EndedAt.IsZero() {
			continue
		}
		for _, item := range job.Items {
			for _, w := range c.waits(item, &job, firstListed, freeSlots, c.LoadEnd.Add(listBound)) {
				longest = max(longest, w.calmBesideFree)
			}
		}
	}
	return longest
}

// wait is a period in which no server was running an item.
type wait struct {
	from, to time.Time
	// besideFree is how much of the period some slot was free, and calmBesideFree the longest
	// uninterrupted part of that in the calm phase.
	besideFree, calmBesideFree time.Duration
	// freeByServer is how much of the period each server had a free slot.
	freeByServer map[string]time.Duration
}

// tooLong reports whether the wait exceeds a bound.
func (w *wait) tooLong() bool { return w.calmBesideFree > maxCalmWait || w.besideFree > maxWait }

// longestWait returns the first wait of an item before end that is too long, or the longest one if
// there is none.
func (c *checker) longestWait(item string, job *Job, firstListed map[string]time.Time, freeSlots [][]string, end time.Time) wait {
	var longest wait
	for _, w := range c.waits(item, job, firstListed, freeSlots, end) {
		if w.besideFree >= longest.besideFree {
			longest = w
		}
		if w.tooLong() {
			return w
		}
	}
	return longest
}

// waits returns the waits of an item before end: those before each of its runs and before it is listed.
func (c *checker) waits(item string, job *Job, firstListed map[string]time.Time, freeSlots [][]string, end time.Time) []wait {
	until, ok := firstListed[item]
	if !ok || until.After(end) {
		until = end
	}
	from := job.At
	runs := slices.Clone(c.runs[item])
	sort.Slice(runs, func(i, j int) bool { return runs[i].At.Before(runs[j].At) })
	var all []wait
	for _, run := range append(runs, ServerRun{Run: standin.Run{At: until, Ended: until}}) {
		all = append(all, c.measureWait(from, run.At, freeSlots))
		from = later(from, runEnd(run, end))
	}
	return all
}

// runEnd returns the end of a run, or end if it has not ended.
func runEnd(run ServerRun, end time.Time) time.Time {
	if run.Ended.IsZero() {
		return end
	}
	return run.Ended
}

// measureWait measures a wait in intervals with a free slot.
func (c *checker) measureWait(from, to time.Time, freeSlots [][]string) wait {
	w := wait{from: from, to: to, freeByServer: map[string]time.Duration{}}
	unbroken := time.Duration(0)
	for index := c.intervalAt(from) + 1; index < min(c.intervalAt(to), len(freeSlots)); index++ {
		if len(freeSlots[index]) == 0 {
			unbroken = 0
			continue
		}
		w.besideFree += interval
		for _, server := range freeSlots[index] {
			w.freeByServer[server] += interval
		}
		if !c.LoadStart.Add(time.Duration(index) * interval).Before(c.CalmFrom) {
			unbroken += interval
			w.calmBesideFree = max(w.calmBesideFree, unbroken)
		}
	}
	return w
}

// intervalAt returns the index of the interval that contains a time.
func (c *checker) intervalAt(at time.Time) int { return max(0, int(at.Sub(c.LoadStart)/interval)) }

// freeSlots returns the servers that were usable and had a free slot throughout each interval.
// There are none in intervals in which a fault affected all nodes.
func (c *checker) freeSlots() [][]string {
	count := c.intervalAt(c.LoadEnd.Add(listBound))
	free := make([][]string, count)
	for server, slots := range c.ServerSlots {
		peak := c.peakUse(server, count)
		for index := range free {
			if peak[index] < slots {
				free[index] = append(free[index], server)
			}
		}
	}
	for _, d := range c.Disturbances {
		if d.Name == AllNodes {
			c.forIntervals(d.From, d.To.Add(contactBound), count, func(index int) { free[index] = nil })
		}
	}
	return free
}

// forIntervals calls visit with the indexes of the intervals that overlap a period.
func (c *checker) forIntervals(from, to time.Time, count int, visit func(index int)) {
	for index := c.intervalAt(from); index <= c.intervalAt(to) && index < count; index++ {
		visit(index)
	}
}

// peakUse returns the maximum number of concurrent requests of a server in each interval. It is the
// number of slots in intervals in which the server was not usable.
func (c *checker) peakUse(server string, count int) []int {
	peak := make([]int, count)
	level := 0
	edges := c.edges(server)
	for index, next := 0, 0; index < count; index++ {
		peak[index] = level
		end := c.LoadStart.Add(time.Duration(index+1) * interval)
		for ; next < len(edges) && edges[next].at.Before(end); next++ {
			level += edges[next].delta
			peak[index] = max(peak[index], level)
		}
	}
	markFull := func(index int) { peak[index] = c.ServerSlots[server] }
	for _, outage := range c.ServerOutages {
		if outage.Server == server {
			c.forIntervals(outage.From, outage.To.Add(freeSlotGrace), count, markFull)
		}
	}
	for _, evacuation := range c.Evacuations {
		if evacuation.Zone == c.ServerZones[server] {
			c.forIntervals(evacuation.From, evacuation.To.Add(freeSlotGrace), count, markFull)
		}
	}
	return peak
}

// overcommitted returns for how much of a period each server ran more requests than it has slots.
// Such a server beside one with a free slot indicates that online requests are distributed
// unevenly, because nodes rely on the slots that servers report.
func (c *checker) overcommitted(from, to time.Time) map[string]time.Duration {
	over := map[string]time.Duration{}
	for server, slots := range c.ServerSlots {
		peak := c.peakUse(server, c.intervalAt(to))
		for index := c.intervalAt(from) + 1; index < len(peak); index++ {
			if peak[index] > slots {
				over[server] += interval
			}
		}
	}
	return over
}

// edge is the start or end of a run, which changes the number of concurrent runs by delta.
type edge struct {
	at    time.Time
	delta int
}

// edges returns the starts and ends of the runs of a server in time order.
func (c *checker) edges(server string) []edge {
	var edges []edge
	for _, run := range c.Runs {
		if run.Server != server {
			continue
		}
		edges = append(edges, edge{run.At, 1})
		if !run.Ended.IsZero() {
			edges = append(edges, edge{run.Ended, -1})
		}
	}
	sort.Slice(edges, func(i, j int) bool { return edges[i].at.Before(edges[j].at) })
	return edges
}

// itemHistory describes the runs of an item, to find them in the logs.
func (c *checker) itemHistory(item string, firstListed map[string]time.Time) string {
	text := item + " ran"
	if len(c.runs[item]) == 0 {
		text += " nowhere"
	}
	for _, run := range c.runs[item] {
		text += fmt.Sprintf(" [%s %s to %s, after %d]", run.Server, c.timestamp(run.At), c.timestamp(run.Ended), run.After)
	}
	if at, ok := firstListed[item]; ok {
		return text + ", seen listed at " + c.timestamp(at)
	}
	return text + ", never seen listed"
}

// timestamp formats a time as seconds since the start of the load and time of day.
func (c *checker) timestamp(at time.Time) string {
	if at.IsZero() {
		return "never"
	}
	return fmt.Sprintf("%.2f s (%s)", at.Sub(c.LoadStart).Seconds(), at.Format("15:04:05.000"))
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
