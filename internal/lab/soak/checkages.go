package soak

import (
	"fmt"
	"slices"
	"time"
)

// shownVersion is the first answer that showed a version of a job.
type shownVersion struct {
	node    string
	at      time.Time
	version uint64
}

// shownVersions contains, by job, the versions that answers have shown, in ascending order of time and of
// version.
type shownVersions map[string][]shownVersion

// checkStatedAges checks that an answer about a job is at least as recent as it says: it has the version
// that any answer had shown before the time that it says to be as of. A view that is
// taken for younger than it is breaks this even if it has the position that was asked for. No
// disturbance is an excuse, since a node that is not sure can name a greater age or answer with
// status 503.
func (c *checker) checkStatedAges() {
	shown := c.shownVersions()
	wrong := map[[2]string]*staleReads{}
	for i := range c.Reads {
		read := &c.Reads[i]
		missed := shown.before(read.Job, statedTime(read))
		if !statesAge(read) || missed.version <= read.State.Version {
			continue
		}
		key := [2]string{read.Job, read.Node}
		if wrong[key] == nil {
			wrong[key] = &staleReads{}
		}
		if c.storeStableFor(read) >= minStoreStable {
			wrong[key].whileStable++
		}
		wrong[key].add(statedTime(read).Sub(missed.at), c.ageDetail(read, missed))
	}
	for _, key := range sortedByAge(wrong) {
		reads := wrong[key]
		c.addViolation(AsRecentAsSaid, "%s (%d such answers of %s about job %s, %d of them while the store was stable)",
			reads.detail, reads.count, key[1], key[0], reads.whileStable)
	}
}

// statesAge reports whether an answer says what it was made from and how old that was.
func statesAge(read *Read) bool { return read.State.HasAge }

// statedTime returns the earliest time that an answer can mean by its age. The node took the age at
// some time after the read was sent.
func statedTime(read *Read) time.Time { return read.Sent.Add(-read.State.Age) }

// ageDetail describes an answer that is older than it says.
func (c *checker) ageDetail(read *Read, missed shownVersion) string {
	return fmt.Sprintf("position %d of job %s read at %s at %s: version %d, said to be %v old, though %s had shown version %d %v before the time that it tells; %d results, answered after %v; %s",
		read.Position, read.Job, read.Node, c.timestamp(read.Sent), read.State.Version, read.State.Age, missed.node, missed.version,
		statedTime(read).Sub(missed.at).Round(time.Millisecond), len(read.Results), read.Ended.Sub(read.Sent).Round(time.Millisecond), c.describeStore(read))
}

// shownVersions returns the versions that answers have shown. Answers that show no version higher than
// those before them are left out.
func (c *checker) shownVersions() shownVersions {
	shown := shownVersions{}
	byEnd := slices.Clone(c.Reads)
	slices.SortStableFunc(byEnd, func(a, b Read) int { return a.Ended.Compare(b.Ended) })
	for i := range byEnd {
		read := &byEnd[i]
		if read.State.Version > shown.before(read.Job, read.Ended.Add(1)).version {
			shown[read.Job] = append(shown[read.Job], shownVersion{read.Node, read.Ended, read.State.Version})
		}
	}
	return shown
}

// before returns the highest version of a job that had been shown before a time. It is 0 if there is none.
func (s shownVersions) before(job string, until time.Time) shownVersion {
	versions := s[job]
	count, _ := slices.BinarySearchFunc(versions, until, func(v shownVersion, until time.Time) int { return v.at.Compare(until) })
	if count == 0 {
		return shownVersion{}
	}
	return versions[count-1]
}

// judgedAges returns the number of answers that checkStatedAges could have found wrong: some answer had shown a
// version of the job before the time that the answer says to be as of.
func (c *checker) judgedAges() int {
	shown := c.shownVersions()
	count := 0
	for i := range c.Reads {
		read := &c.Reads[i]
		if statesAge(read) && shown.before(read.Job, statedTime(read)).version > 0 {
			count++
		}
	}
	return count
}
