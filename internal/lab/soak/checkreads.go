package soak

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/wheelhoist/wheelhoist/platform/standin"
)

// Bounds of ReadEverywhere, as the platform specifies them.
const (
	// readBound is how long nodes may answer that a result or job does not exist after another
	// caller has read the result or has got the job accepted.
	readBound = time.Second
	// minStoreStable is how long the store must have been undisturbed for the specification to
	// require an answer. The check ignores it, because a node that is not sure may answer with
	// status 503, but a violation says whether the store was stable.
	minStoreStable = 3 * time.Second
)

// resultPosition is a position in the list of a job.
type resultPosition struct {
	job      string
	position int
}

// firstRead is the first read that returned a result.
type firstRead struct {
	node   string
	at     time.Time
	result standin.JobResult
}

// readExpectations contains what reads have to return, and from when on.
type readExpectations struct {
	// accepted contains the times at which jobs were accepted, by job ID.
	accepted map[string]time.Time
	// firstRead contains the first read of each position, firstListing the same by item.
	firstRead    map[resultPosition]firstRead
	firstListing map[string]firstRead
}

// staleReads summarizes the stale answers of one node about one job.
type staleReads struct {
	// count is the number of stale answers, whileStable the number of those that were given while
	// the store was stable, and maxAge the greatest delay among them.
	count, whileStable int
	maxAge             time.Duration
	// detail describes the answer with the greatest delay.
	detail string
}

// checkReads checks that each node which was not itself disturbed returns, readBound later, every
// result that any caller has read. It also has to know accepted jobs, and the content of their
// items until these are listed.
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

// expectReads derives the expectations from accepted jobs and successful reads.
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

// findStale returns how late an answer lacks what it has to contain and a description of that. The
// description is empty if the answer is right.
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

// findStaleResult is findStale for lists. It only checks the first position of a list, because the
// length of answers is limited.
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

// staleDetail describes a stale answer.
func (c *checker) staleDetail(read *Read, age time.Duration, finding string) string {
	return fmt.Sprintf("%s at %s asked at %s, %v later, answered after %v, to wait %v; %s",
		finding, read.Node, c.timestamp(read.Sent), age.Round(time.Millisecond), read.Ended.Sub(read.Sent).Round(time.Millisecond), read.Wait, c.describeStore(read))
}

// storeStableFor returns for how long the store was undisturbed before a read. It is 0 or less if
// the store was disturbed during the read.
func (c *checker) storeStableFor(read *Read) time.Duration {
	var last time.Time
	for _, disturbance := range c.Disturbances {
		if disturbance.Store && disturbance.From.Before(read.Ended) && disturbance.To.After(last) {
			last = disturbance.To
		}
	}
	return read.Sent.Sub(last)
}

// describeStore describes the state of the store before and during a read.
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

// excused reports whether a node may give a wrong answer, because shortly before or during the read
// it was killed, stopped, paused, cut off from the store or lost with its zone. Faults of the store
// itself are no excuse.
func (c *checker) excused(read *Read) bool {
	from := read.Sent.Add(-contactBound)
	for _, disturbance := range c.Disturbances {
		applies := (disturbance.Name == read.Node || disturbance.Name == AllNodes) && !disturbance.Store
		if applies && disturbance.From.Before(read.Ended) && disturbance.To.After(from) {
			return true
		}
	}
	return c.lostWithZone(read.Node, from, read.Ended)
}

// lostWithZone reports whether the zone of a node was lost at any time between two times.
func (c *checker) lostWithZone(node string, from, to time.Time) bool {
	return c.zoneLost(c.NodeZones[node], from, to)
}

// zoneLost reports whether a zone was lost at any time between two times.
func (c *checker) zoneLost(zone string, from, to time.Time) bool {
	return slices.ContainsFunc(c.Losses, func(loss Outage) bool {
		return loss.Zone == zone && loss.From.Before(to) && loss.To.After(from)
	})
}

// add counts a stale answer.
func (s *staleReads) add(age time.Duration, detail string) {
	s.count++
	if age > s.maxAge {
		s.maxAge, s.detail = age, detail
	}
}

// sortedByAge returns the keys of stale in descending order of their greatest delay.
func sortedByAge(stale map[[2]string]*staleReads) [][2]string {
	var keys [][2]string
	for key := range stale {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b [2]string) int { return int(stale[b].maxAge - stale[a].maxAge) })
	return keys
}
