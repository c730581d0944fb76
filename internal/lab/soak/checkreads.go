package soak

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/wheelhoist/wheelhoist/platform/standin"
)

// Bounds of the promise about reads, those of the users' pages.
const (
	// readBound is how long after one caller has read a result, or has got a job accepted, the
	// nodes may still answer others that it is not there.
	readBound = time.Second
	// storeStable is how long the store must have been undisturbed for the users' pages to owe
	// an answer. The promise does not wait for it, as a node that cannot be sure may say 503;
	// a line says which of the two it is.
	storeStable = 3 * time.Second
)

// resultPlace is a position of a job's list.
type resultPlace struct {
	job      string
	position int
}

// firstRead is a result as it was read first.
type firstRead struct {
	node   string
	at     time.Time
	result standin.JobResult
}

// readFacts are what callers knew of jobs, and when.
type readFacts struct {
	// accepted is when jobs were, by their ids.
	accepted map[string]time.Time
	// first are the results as they were read first, listed the same by items.
	first  map[resultPlace]firstRead
	listed map[string]firstRead
}

// lack is what a node answered wrongly about a job, over all its reads.
type lack struct {
	// count counts the answers, stable those of them while the store was stable; age is how
	// late the latest was.
	count, stable int
	age           time.Duration
	// text tells of that one.
	text string
}

// reads: what one caller has read is there for all a bound later, at each node that is not
// disturbed by itself; a job that was accepted is known, and so is the content of its items
// until they are listed.
func (c *check) reads() {
	facts := c.readFacts()
	lacks := map[[2]string]*lack{}
	for i := range c.Reads {
		one := &c.Reads[i]
		age, text := c.lacking(one, facts)
		if text == "" || c.excused(one) {
			continue
		}
		key := [2]string{one.Job, one.Node}
		if lacks[key] == nil {
			lacks[key] = &lack{}
		}
		if c.storeQuiet(one) >= storeStable {
			lacks[key].stable++
		}
		lacks[key].add(age, text)
	}
	for _, key := range sortedLacks(lacks) {
		found := lacks[key]
		c.broken(ReadEverywhere, "%s (%d such answers of %s about job %s, %d of them while the store was stable)",
			found.text, found.count, key[1], key[0], found.stable)
	}
}

// readFacts gathers what callers knew.
func (c *check) readFacts() *readFacts {
	facts := &readFacts{accepted: map[string]time.Time{}, first: map[resultPlace]firstRead{}, listed: map[string]firstRead{}}
	for _, job := range c.Jobs {
		if job.Accepted {
			facts.accepted[job.ID] = job.At
		}
	}
	for _, one := range c.Reads {
		for i, result := range one.Results {
			read := firstRead{node: one.Node, at: one.Ended, result: result}
			place := resultPlace{one.Job, one.Position + i}
			if known, ok := facts.first[place]; !ok || read.at.Before(known.at) {
				facts.first[place], facts.listed[result.Item] = read, read
			}
		}
	}
	return facts
}

// lacking tells what an answer lacks that it had to have, and by how much it was late; the
// text is empty if there is nothing.
func (c *check) lacking(one *Read, facts *readFacts) (age time.Duration, text string) {
	at, known := facts.accepted[one.Job]
	age = one.Sent.Sub(at)
	switch {
	case one.Status == http.StatusNotFound && one.Item != "":
		listed, ok := facts.listed[one.Item]
		if known && age > readBound && (!ok || one.Ended.Before(listed.at)) {
			return age, c.lackText(one, age, fmt.Sprintf("item %s of job %s, accepted at %s, has no content", one.Item, one.Job, c.moment(at)))
		}
	case one.Status == http.StatusNotFound:
		if known && age > readBound {
			return age, c.lackText(one, age, fmt.Sprintf("job %s, accepted at %s, is not known", one.Job, c.moment(at)))
		}
	case one.Status == http.StatusOK && one.Item == "":
		return c.lackingResult(one, facts)
	}
	return 0, ""
}

// lackingResult is lacking for a list. The rest of a list that shows its first position may be
// read later, as answers are bounded.
func (c *check) lackingResult(one *Read, facts *readFacts) (age time.Duration, text string) {
	first, ok := facts.first[resultPlace{one.Job, one.Position}]
	age = one.Sent.Sub(first.at)
	if !ok || age <= readBound || len(one.Results) > 0 && one.Results[0] == first.result {
		return 0, ""
	}
	answer := "nothing"
	if len(one.Results) > 0 {
		answer = fmt.Sprintf("%q", one.Results[0].Item)
	}
	return age, c.lackText(one, age, fmt.Sprintf("position %d of job %s, read as %q at %s first at %s, is %s",
		one.Position, one.Job, first.result.Item, first.node, c.moment(first.at), answer))
}

// lackText tells of an answer that lacks something.
func (c *check) lackText(one *Read, age time.Duration, what string) string {
	return fmt.Sprintf("%s at %s asked at %s, %v later, answered after %v, to wait %v; %s",
		what, one.Node, c.moment(one.Sent), age.Round(time.Millisecond), one.Ended.Sub(one.Sent).Round(time.Millisecond), one.Wait, c.storeState(one))
}

// storeQuiet returns for how long the store had been undisturbed at a read; 0 or less if it
// was disturbed then.
func (c *check) storeQuiet(one *Read) time.Duration {
	var last time.Time
	for _, disturbance := range c.Disturbances {
		if disturbance.Store && disturbance.From.Before(one.Ended) && disturbance.To.After(last) {
			last = disturbance.To
		}
	}
	return one.Sent.Sub(last)
}

// storeState tells how the store was before and during a read.
func (c *check) storeState(one *Read) string {
	switch quiet := c.storeQuiet(one); {
	case quiet <= 0:
		return "the store was disturbed then"
	case quiet < storeStable:
		return fmt.Sprintf("the store was disturbed until %v before", quiet.Round(time.Millisecond))
	default:
		return "the store was stable"
	}
}

// excused reports whether a node need not answer rightly: in a time from before the read until
// its answer it was killed, stopped, paused, cut off from the store or lost with its zone. What
// befalls the store itself is no excuse.
func (c *check) excused(one *Read) bool {
	from := one.Sent.Add(-contactBound)
	for _, disturbance := range c.Disturbances {
		concerns := (disturbance.Name == one.Node || disturbance.Name == AllNodes) && !disturbance.Store
		if concerns && disturbance.From.Before(one.Ended) && disturbance.To.After(from) {
			return true
		}
	}
	for _, loss := range c.Losses {
		if loss.Zone == c.NodeZones[one.Node] && loss.From.Before(one.Ended) && loss.To.After(from) {
			return true
		}
	}
	return false
}

// add takes in an answer.
func (l *lack) add(age time.Duration, text string) {
	l.count++
	if age > l.age {
		l.age, l.text = age, text
	}
}

// sortedLacks returns the keys of lacks, those with the latest answers first.
func sortedLacks(lacks map[[2]string]*lack) [][2]string {
	var keys [][2]string
	for key := range lacks {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b [2]string) int { return int(lacks[b].age - lacks[a].age) })
	return keys
}
