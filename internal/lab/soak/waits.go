package soak

import (
	"fmt"
	"slices"
	"sort"
	"time"

	"github.com/wheelhoist/wheelhoist/platform/standin"
)

const (
	// listBound is how long an item may take to be listed in calm, once there is no load
	// but items, beyond the time of the work that was left then.
	listBound = 20 * time.Second
	// maxCalmWait is how long an item may wait in calm while there is a free slot at each moment.
	// anyWait is for how much of any wait there may be one, faults or not: longer than a node
	// is cut off, paused or away together with the take-over of what it had.
	maxCalmWait = 5 * time.Second
	maxWait     = 20 * time.Second
	// freeSlotGrace is how long nodes may take to learn that a server can be used again.
	freeSlotGrace = 2 * time.Second
	// calmLoadTime is how long load goes on in calm: longer than calmWait, for an item whose answer
	// will never come may be given up for other reasons once its server has nothing else to do.
	calmLoadTime = 12 * time.Second
	// interval is the time for which it is judged whether a slot was free all along.
	interval = 250 * time.Millisecond
)

// checkListings: in calm each item is listed within a bound.
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

// firstListed returns when a reading showed each item first.
func (c *checker) firstListed() map[string]time.Time {
	first := map[string]time.Time{}
	for _, obs := range c.Observations {
		if at, ok := first[obs.Item]; !ok || obs.At.Before(at) {
			first[obs.Item] = obs.At
		}
	}
	return first
}

// checkWaits: no item checkWaits longer than its bound while there is a free slot. What a server has
// begun does not wait.
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

// wait is a time in which no server had an item.
type wait struct {
	from, to time.Time
	// besideFree is for how much of it a slot was free, calmBesideFree the longest part of that in calmBesideFree
	// without a break.
	besideFree, calmBesideFree time.Duration
	// freeByServer is for how much of it each server had a freeByServer slot.
	freeByServer map[string]time.Duration
}

func (w *wait) tooLong() bool { return w.calmBesideFree > maxCalmWait || w.besideFree > maxWait }

// longestWait returns the longest wait of an item, up to an end; the first that is too long.
func (c *checker) longestWait(item string, job *Job, firstListed map[string]time.Time, freeSlots [][]string, end time.Time) wait {
	until, ok := firstListed[item]
	if !ok || until.After(end) {
		until = end
	}
	from := job.At
	runs := slices.Clone(c.runs[item])
	sort.Slice(runs, func(i, j int) bool { return runs[i].At.Before(runs[j].At) })
	var longest wait
	for _, run := range append(runs, ServerRun{Run: standin.Run{At: until, Ended: until}}) {
		w := c.measureWait(from, run.At, freeSlots)
		if w.besideFree >= longest.besideFree {
			longest = w
		}
		if w.tooLong() {
			return w
		}
		from = later(from, runEnd(run, end))
	}
	return longest
}

// runEnd is when a run was over.
func runEnd(run ServerRun, end time.Time) time.Time {
	if run.Ended.IsZero() {
		return end
	}
	return run.Ended
}

// measureWait measures a wait by the spans with a free slot.
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

// intervalAt returns the number of the span of a moment.
func (c *checker) intervalAt(at time.Time) int { return max(0, int(at.Sub(c.LoadStart)/interval)) }

// freeSlots returns for each span the servers that could be used and had a free slot throughout;
// none while not all nodes were able to work.
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

// forIntervals calls a function with the numbers of the spans that a time touches.
func (c *checker) forIntervals(from, to time.Time, count int, visit func(index int)) {
	for index := c.intervalAt(from); index <= c.intervalAt(to) && index < count; index++ {
		visit(index)
	}
}

// peakUse returns for each span the most requests that a server had at once; more than it has
// slots while it cannot be peakUse.
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

// overcommitted returns for how much of a time each server ran more requests at once than it has
// slots. Where one does beside a server with a free slot, it is online requests that are spread
// unevenly: a node goes by what servers say of their slots.
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

// edge is a begin or an end of a run.
type edge struct {
	at    time.Time
	delta int
}

// edges returns the begins and ends of a server's runs in order.
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

// itemHistory tells what servers did with an item, for whoever looks for it in the logs.
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

// timestamp is a timestamp as the seconds since the load began, with the time of day.
func (c *checker) timestamp(at time.Time) string {
	if at.IsZero() {
		return "never"
	}
	return fmt.Sprintf("%.2f s (%s)", at.Sub(c.LoadStart).Seconds(), at.Format("15:04:05.000"))
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
