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
	// calmWait is how long an item may wait in calm while there is a free slot at each moment.
	// anyWait is for how much of any wait there may be one, faults or not: longer than a node
	// is cut off, paused or away together with the take-over of what it had.
	calmWait = 5 * time.Second
	anyWait  = 20 * time.Second
	// roomKnown is how long nodes may take to learn that a server can be used again.
	roomKnown = 2 * time.Second
	// calmLoad is how long load goes on in calm: longer than calmWait, for an item whose answer
	// will never come may be given up for other reasons once its server has nothing else to do.
	calmLoad = 12 * time.Second
	// span is the time for which it is judged whether a slot was free all along.
	span = 250 * time.Millisecond
)

// listings: in calm each item is listed within a bound.
func (c *check) listings() {
	shown := c.shown()
	for _, job := range c.Jobs {
		if !job.Accepted || !job.EndedAt.IsZero() {
			continue
		}
		bound := later(job.At, c.LoadOver).Add(listBound + c.Backlog)
		var late []string
		for _, item := range job.Items {
			if at, ok := shown[item]; !ok || at.After(bound) {
				late = append(late, item)
			}
		}
		if len(late) > 0 {
			c.broken(ListedInCalm, "%d of %d items of job %s (accepted at %s) are not listed %v after load and faults; %s",
				len(late), len(job.Items), job.ID, c.moment(job.At), listBound+c.Backlog, c.story(late[0], shown))
		}
	}
}

// shown returns when a reading showed each item first.
func (c *check) shown() map[string]time.Time {
	first := map[string]time.Time{}
	for _, one := range c.Readings {
		if at, ok := first[one.Item]; !ok || one.At.Before(at) {
			first[one.Item] = one.At
		}
	}
	return first
}

// waits: no item waits longer than its bound while there is a free slot. What a server has
// begun does not wait.
func (c *check) waits() {
	shown, room := c.shown(), c.room()
	end := c.LoadOver.Add(listBound)
	for _, job := range c.Jobs {
		if !job.Accepted || !job.EndedAt.IsZero() {
			continue
		}
		var worst wait
		var item string
		count := 0
		for _, one := range job.Items {
			longest := c.longestWait(one, &job, shown, room, end)
			if longest.broken() {
				count++
			}
			if longest.beside >= worst.beside && longest.broken() {
				worst, item = longest, one
			}
		}
		if count > 0 {
			c.broken(NoIdleWait, "%d of %d items of job %s (accepted at %s) wait beside a free slot; %s from %s to %s, %v beside one, %v of it in calm and without a break, slots free for %v, more requests than slots for %v; %s",
				count, len(job.Items), job.ID, c.moment(job.At), item, c.moment(worst.from), c.moment(worst.to), worst.beside, worst.calm, worst.free,
				c.beyondSlots(worst.from, worst.to), c.story(item, shown))
		}
	}
}

// wait is a time in which no server had an item.
type wait struct {
	from, to time.Time
	// beside is for how much of it a slot was free, calm the longest part of that in calm
	// without a break.
	beside, calm time.Duration
	// free is for how much of it each server had a free slot.
	free map[string]time.Duration
}

func (w *wait) broken() bool { return w.calm > calmWait || w.beside > anyWait }

// longestWait returns the longest wait of an item, up to an end; the first that is too long.
func (c *check) longestWait(item string, job *Job, shown map[string]time.Time, room [][]string, end time.Time) wait {
	until, ok := shown[item]
	if !ok || until.After(end) {
		until = end
	}
	from := job.At
	runs := slices.Clone(c.runs[item])
	sort.Slice(runs, func(i, j int) bool { return runs[i].At.Before(runs[j].At) })
	var longest wait
	for _, run := range append(runs, ServerRun{Run: standin.Run{At: until, Ended: until}}) {
		one := c.waited(from, run.At, room)
		if one.beside >= longest.beside {
			longest = one
		}
		if one.broken() {
			return one
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

// waited measures a wait by the spans with a free slot.
func (c *check) waited(from, to time.Time, room [][]string) wait {
	one := wait{from: from, to: to, free: map[string]time.Duration{}}
	unbroken := time.Duration(0)
	for number := c.spanOf(from) + 1; number < min(c.spanOf(to), len(room)); number++ {
		if len(room[number]) == 0 {
			unbroken = 0
			continue
		}
		one.beside += span
		for _, server := range room[number] {
			one.free[server] += span
		}
		if !c.Began.Add(time.Duration(number) * span).Before(c.Calm) {
			unbroken += span
			one.calm = max(one.calm, unbroken)
		}
	}
	return one
}

// spanOf returns the number of the span of a moment.
func (c *check) spanOf(at time.Time) int { return max(0, int(at.Sub(c.Began)/span)) }

// room returns for each span the servers that could be used and had a free slot throughout;
// none while not all nodes were able to work.
func (c *check) room() [][]string {
	count := c.spanOf(c.LoadOver.Add(listBound))
	room := make([][]string, count)
	for server, slots := range c.ServerSlots {
		used := c.used(server, count)
		for number := range room {
			if used[number] < slots {
				room[number] = append(room[number], server)
			}
		}
	}
	for _, one := range c.Disturbances {
		if one.Name == AllNodes {
			c.eachSpan(one.From, one.To.Add(contactBound), count, func(number int) { room[number] = nil })
		}
	}
	return room
}

// eachSpan calls a function with the numbers of the spans that a time touches.
func (c *check) eachSpan(from, to time.Time, count int, visit func(number int)) {
	for number := c.spanOf(from); number <= c.spanOf(to) && number < count; number++ {
		visit(number)
	}
}

// used returns for each span the most requests that a server had at once; more than it has
// slots while it cannot be used.
func (c *check) used(server string, count int) []int {
	peak := make([]int, count)
	level := 0
	edges := c.edges(server)
	for number, next := 0, 0; number < count; number++ {
		peak[number] = level
		end := c.Began.Add(time.Duration(number+1) * span)
		for ; next < len(edges) && edges[next].at.Before(end); next++ {
			level += edges[next].by
			peak[number] = max(peak[number], level)
		}
	}
	shut := func(number int) { peak[number] = c.ServerSlots[server] }
	for _, one := range c.ServerOutages {
		if one.Server == server {
			c.eachSpan(one.From, one.To.Add(roomKnown), count, shut)
		}
	}
	for _, one := range c.Evacuations {
		if one.Zone == c.ServerZones[server] {
			c.eachSpan(one.From, one.To.Add(roomKnown), count, shut)
		}
	}
	return peak
}

// beyondSlots returns for how much of a time each server ran more requests at once than it has
// slots. Where one does beside a server with a free slot, it is online requests that are spread
// unevenly: a node goes by what servers say of their slots.
func (c *check) beyondSlots(from, to time.Time) map[string]time.Duration {
	beyond := map[string]time.Duration{}
	for server, slots := range c.ServerSlots {
		used := c.used(server, c.spanOf(to))
		for number := c.spanOf(from) + 1; number < len(used); number++ {
			if used[number] > slots {
				beyond[server] += span
			}
		}
	}
	return beyond
}

// edge is a begin or an end of a run.
type edge struct {
	at time.Time
	by int
}

// edges returns the begins and ends of a server's runs in order.
func (c *check) edges(server string) []edge {
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

// story tells what servers did with an item, for whoever looks for it in the logs.
func (c *check) story(item string, shown map[string]time.Time) string {
	text := item + " ran"
	if len(c.runs[item]) == 0 {
		text += " nowhere"
	}
	for _, run := range c.runs[item] {
		text += fmt.Sprintf(" [%s %s to %s, after %d]", run.Server, c.moment(run.At), c.moment(run.Ended), run.After)
	}
	if at, ok := shown[item]; ok {
		return text + ", seen listed at " + c.moment(at)
	}
	return text + ", never seen listed"
}

// moment is a moment as the seconds since the load began, with the time of day.
func (c *check) moment(at time.Time) string {
	if at.IsZero() {
		return "never"
	}
	return fmt.Sprintf("%.2f s (%s)", at.Sub(c.Began).Seconds(), at.Format("15:04:05.000"))
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
