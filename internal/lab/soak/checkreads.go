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
	// minStoreStable is how long the store must have been undisturbed for the users' pages to owe
	// an answer. The promise does not wait for it, as a node that cannot be sure may say 503;
	// a line says which of the two it is.
	minStoreStable = 3 * time.Second
)

// resultPosition is a position of a job's list.
type resultPosition struct {
	job      string
	position int
}

// firstRead is a result as it was read first.
type firstRead struct {
	node   string
	at     time.Time
	result standin.Listed
}

// readExpectations are what callers knew of jobs, and when.
type readExpectations struct {
	// accepted is when jobs were, by their ids.
	accepted map[string]time.Time
	// firstRead are the results as they were read firstRead, listed the same by items.
	firstRead    map[resultPosition]firstRead
	firstListing map[string]firstRead
}

// staleReads is what a node answered wrongly about a job, over all its reads.
type staleReads struct {
	// count counts the answers, whileStable those of them while the store was whileStable; age is how
	// late the latest was.
	count, whileStable int
	maxAge             time.Duration
	// detail tells of that one.
	detail string
}

// checkReads: what one caller has read is there for all a bound later, at each node that is not
// disturbed by itself; a job that was accepted is known, and so is the content of its items
// until they are listed.
func (c *checker) checkReads() {
	expected := c.expectReads()
	stale := map[[2]string]*staleReads{}
	for i := range c.Reads {
		read := &c.Reads[i]
		age, detail := c.findStale(read, expected)
		if detail == "" || c.excused(read) {
			continue
		}
		key := [2]string{read.Job, read.Node}
		if stale[key] == nil {
			stale[key] = &staleReads{}
		}
		if c.storeStableFor(read) >= minStoreStable {
			stale[key].whileStable++
		}
		stale[key].add(age, detail)
	}
	for _, key := range sortedByAge(stale) {
		reads := stale[key]
		c.addViolation(ReadEverywhere, "%s (%d such answers of %s about job %s, %d of them while the store was stable)",
			reads.detail, reads.count, key[1], key[0], reads.whileStable)
	}
}

// expectReads gathers what callers knew.
func (c *checker) expectReads() *readExpectations {
	expected := &readExpectations{accepted: map[string]time.Time{}, firstRead: map[resultPosition]firstRead{}, firstListing: map[string]firstRead{}}
	for _, job := range c.Jobs {
		if job.Accepted {
			expected.accepted[job.ID] = job.At
		}
	}
	for _, call := range c.Reads {
		for i, result := range call.Results {
			read := firstRead{node: call.Node, at: call.Ended, result: result}
			position := resultPosition{call.Job, call.Position + i}
			if earliest, ok := expected.firstRead[position]; !ok || read.at.Before(earliest.at) {
				expected.firstRead[position], expected.firstListing[result.Item] = read, read
			}
		}
	}
	return expected
}

// findStale tells what an answer lacks that it had to have, and by how much it was late; the
// text is empty if there is nothing.
func (c *checker) findStale(read *Read, expected *readExpectations) (age time.Duration, detail string) {
	acceptedAt, known := expected.accepted[read.Job]
	age = read.Sent.Sub(acceptedAt)
	switch {
	case read.Status == http.StatusNotFound && read.Item != "":
		listing, ok := expected.firstListing[read.Item]
		if known && age > readBound && (!ok || read.Ended.Before(listing.at)) {
			return age, c.staleDetail(read, age, fmt.Sprintf("item %s of job %s, accepted at %s, has no content", read.Item, read.Job, c.timestamp(acceptedAt)))
		}
	case read.Status == http.StatusNotFound:
		if known && age > readBound {
			return age, c.staleDetail(read, age, fmt.Sprintf("job %s, accepted at %s, is not known", read.Job, c.timestamp(acceptedAt)))
		}
	case read.Status == http.StatusOK && read.Item == "":
		return c.findStaleResult(read, expected)
	}
	return 0, ""
}

// findStaleResult is lacking for a list. The rest of a list that shows its first position may be
// read later, as answers are bounded.
func (c *checker) findStaleResult(read *Read, expected *readExpectations) (age time.Duration, detail string) {
	first, ok := expected.firstRead[resultPosition{read.Job, read.Position}]
	age = read.Sent.Sub(first.at)
	if !ok || age <= readBound || len(read.Results) > 0 && read.Results[0] == first.result {
		return 0, ""
	}
	answer := "nothing"
	if len(read.Results) > 0 {
		answer = fmt.Sprintf("%q", read.Results[0].Item)
	}
	return age, c.staleDetail(read, age, fmt.Sprintf("position %d of job %s, read as %q at %s first at %s, is %s",
		read.Position, read.Job, first.result.Item, first.node, c.timestamp(first.at), answer))
}

// staleDetail tells of an answer that lacks something.
func (c *checker) staleDetail(read *Read, age time.Duration, finding string) string {
	return fmt.Sprintf("%s at %s asked at %s, %v later, answered after %v, to wait %v; %s",
		finding, read.Node, c.timestamp(read.Sent), age.Round(time.Millisecond), read.Ended.Sub(read.Sent).Round(time.Millisecond), read.Wait, c.describeStore(read))
}

// storeStableFor returns for how long the store had been undisturbed at a read; 0 or less if it
// was disturbed then.
func (c *checker) storeStableFor(read *Read) time.Duration {
	var last time.Time
	for _, disturbance := range c.Disturbances {
		if disturbance.Store && disturbance.From.Before(read.Ended) && disturbance.To.After(last) {
			last = disturbance.To
		}
	}
	return read.Sent.Sub(last)
}

// describeStore tells how the store was before and during a read.
func (c *checker) describeStore(read *Read) string {
	switch stable := c.storeStableFor(read); {
	case stable <= 0:
		return "the store was disturbed then"
	case stable < minStoreStable:
		return fmt.Sprintf("the store was disturbed until %v before", stable.Round(time.Millisecond))
	default:
		return "the store was stable"
	}
}

// excused reports whether a node need not answer rightly: in a time from before the read until
// its answer it was killed, stopped, paused, cut off from the store or lost with its zone. What
// befalls the store itself is no excuse.
func (c *checker) excused(read *Read) bool {
	from := read.Sent.Add(-contactBound)
	for _, disturbance := range c.Disturbances {
		applies := (disturbance.Name == read.Node || disturbance.Name == AllNodes) && !disturbance.Store
		if applies && disturbance.From.Before(read.Ended) && disturbance.To.After(from) {
			return true
		}
	}
	for _, loss := range c.Losses {
		if loss.Zone == c.NodeZones[read.Node] && loss.From.Before(read.Ended) && loss.To.After(from) {
			return true
		}
	}
	return false
}

// add takes in an answer.
func (s *staleReads) add(age time.Duration, detail string) {
	s.count++
	if age > s.maxAge {
		s.maxAge, s.detail = age, detail
	}
}

// sortedByAge returns the keys of lacks, those with the latest answers first.
func sortedByAge(stale map[[2]string]*staleReads) [][2]string {
	var keys [][2]string
	for key := range stale {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b [2]string) int { return int(stale[b].maxAge - stale[a].maxAge) })
	return keys
}
