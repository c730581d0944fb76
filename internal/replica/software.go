package replica

import (
	"slices"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/clock"
)

// maxSoftwareListAge is the age of the list beyond which replicas of another software version may have
// been listed since. The source of a current list answers at least every 1.5 s, and an answer is as old
// as its request.
const maxSoftwareListAge = 3 * time.Second

const (
	// maxRowDelay is how long after a restarted replica accepts connections its row may show the restart.
	maxRowDelay = 250 * time.Millisecond
	// maxConfirmation bounds the wait for a list that shows which start answered, and
	// confirmationInterval is the time between two looks at it.
	maxConfirmation      = 2 * time.Second
	confirmationInterval = 20 * time.Millisecond
	// mixedSoftwarePeriod is how long after its last replica has left a software version counts as one
	// that a pool runs.
	mixedSoftwarePeriod = time.Minute
)

// allowsSoftware reports whether the criteria allow the software version of a replica.
func (c *Criteria) allowsSoftware(info *Info) bool {
	return c.SoftwareVersion == nil || *c.SoftwareVersion == info.SoftwareVersion
}

// excludesSoftware reports whether the criteria exclude an entry for its software version. A draining
// replica does not count as one of its version, so that requests do not wait for it.
func (c *Criteria) excludesSoftware(e *entry) bool {
	return c.SoftwareVersion != nil && (e.info.Leaving || !c.allowsSoftware(&e.info))
}

// SoftwareVersion returns the software version of the start of the replica that answers the request.
// certain is false if that may be a start which the list does not show yet, or one of two starts of
// different versions.
func (u *Use) SoftwareVersion(now time.Time) (version string, certain bool) {
	u.set.mu.Lock()
	defer u.set.mu.Unlock()
	info := &u.entry.info
	// Only replicas that report their start time restart under the same ID.
	mayHaveRestarted := info.StartedUnixMs != 0 && (u.set.softwareListStale(now) || u.entry.sentToSuccessor(u, now))
	return info.SoftwareVersion, !mayHaveRestarted && !u.softwareUncertain
}

// Connected records when the connection that carries the answer was opened. A connection ends with the
// process of its replica, so it tells which start answers.
func (u *Use) Connected(at time.Time) {
	u.set.mu.Lock()
	defer u.set.mu.Unlock()
	u.connectedAt = at
}

// ConfirmSoftware waits until the list is new enough to show the start of the replica that answers the
// request, maxConfirmation at most. It returns false if the list is still too old then, or known to be
// old. The request may have ended.
func (u *Use) ConfirmSoftware() bool {
	deadline := clock.Now().Add(maxConfirmation)
	for {
		now := clock.Now()
		listed, outdated := u.startListed(now)
		if listed || outdated || now.After(deadline) {
			return listed
		}
		time.Sleep(confirmationInterval)
	}
}

// startListed reports whether the list shows the start of the replica that answers the request. It need
// not if the replica does not restart under its ID, or if its pool runs a single software version.
// outdated is set if the list has not been received for so long that it may not be soon.
func (u *Use) startListed(now time.Time) (listed, outdated bool) {
	u.set.mu.Lock()
	defer u.set.mu.Unlock()
	info := &u.entry.info
	if info.StartedUnixMs == 0 || u.connectedAt.IsZero() || u.set.listTime.IsZero() {
		return true, false
	}
	if !u.connectedAt.Add(maxRowDelay).After(u.set.listTime) {
		return true, false
	}
	if !u.set.ranOtherSoftware(info.Pool, info.SoftwareVersion, now.Add(-mixedSoftwarePeriod)) {
		return true, false
	}
	return false, u.set.softwareListStale(now)
}

// AnsweredBy reports whether the answer, whose first event was of a software version, is still known to
// be of that version. It is not if the replica was found to have restarted with another one since.
func (u *Use) AnsweredBy(version string) bool {
	u.set.mu.Lock()
	defer u.set.mu.Unlock()
	// The replica may also have restarted after the request ended.
	listed, ok := u.set.entries[u.entry.info.ID]
	restarted := ok && listed.info.SoftwareVersion != version
	return !u.softwareUncertain && !restarted && u.entry.info.SoftwareVersion == version
}

// softwareListStale reports whether the list is so old that replicas may have restarted with other
// software since. The caller holds mu.
func (s *Set) softwareListStale(now time.Time) bool {
	limit := maxSoftwareListAge
	if len(s.coldLimits) > 0 {
		// The list is then read more often.
		limit = maxListAge
	}
	return !s.listTime.IsZero() && now.Sub(s.listTime) > limit
}

// SoftwareHistory tells which software versions the replicas of a pool have run for a period. The zero
// value means that this is not known.
type SoftwareHistory struct {
	// Several is set if there was more than one version.
	Several bool
	// Single is set if there was only one, which is Version. A version that was first listed within the
	// last maxSoftwareListAge may be missing.
	Single  bool
	Version string
}

// SoftwareHistory returns the software versions of a pool for a period until now. Replicas that report no
// version count as of one, for any period.
func (s *Set) SoftwareHistory(pool string, period time.Duration, now time.Time) SoftwareHistory {
	s.mu.Lock()
	defer s.mu.Unlock()
	listed := s.pool(pool)
	if len(listed) == 0 {
		return SoftwareHistory{}
	}
	version := listed[0].info.SoftwareVersion
	if s.ranOtherSoftware(pool, version, now.Add(-period)) {
		return SoftwareHistory{Several: true}
	}
	if version != "" && (!s.softwareListKnown(now) || now.Sub(s.listKnownSince) < period) {
		return SoftwareHistory{}
	}
	return SoftwareHistory{Single: true, Version: version}
}

// ListedSoftware returns the software versions of all listed replicas, by pool, each once and sorted. It
// returns nil if the list is not current. Replicas that report no version are left out.
func (s *Set) ListedSoftware(now time.Time) map[string][]string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.softwareListKnown(now) {
		return nil
	}
	s.updateIndex()
	listed := map[string][]string{}
	for pool := range s.index.pools {
		if versions := s.listedSoftware(pool); len(versions) > 0 {
			listed[pool] = versions
		}
	}
	return listed
}

// PoolSoftware returns the software versions of the listed replicas of a pool, as ListedSoftware does.
func (s *Set) PoolSoftware(pool string, now time.Time) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.softwareListKnown(now) {
		return nil
	}
	return s.listedSoftware(pool)
}

// ListsSoftware reports whether a replica of a pool is listed with a software version, however old the list is.
func (s *Set) ListsSoftware(pool, version string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.ContainsFunc(s.pool(pool), func(e *entry) bool { return e.info.SoftwareVersion == version })
}

// softwareListKnown reports whether the list shows all versions but those that were first listed within the last
// maxSoftwareListAge. The caller holds mu.
func (s *Set) softwareListKnown(now time.Time) bool {
	return !s.listTime.IsZero() && now.Sub(s.listTime) <= maxSoftwareListAge
}

// listedSoftware returns the software versions of the listed replicas of a pool. The caller holds mu.
func (s *Set) listedSoftware(pool string) []string {
	var versions []string
	for _, e := range s.pool(pool) {
		if version := e.info.SoftwareVersion; version != "" {
			versions = insertSorted(versions, version)
		}
	}
	return versions
}

// insertSorted adds a value to sorted values unless they contain it.
func insertSorted(values []string, value string) []string {
	i, found := slices.BinarySearch(values, value)
	if found {
		return values
	}
	return slices.Insert(values, i, value)
}

// ranOtherSoftware reports whether a replica of a pool with another software version is listed, or was
// listed since a time. The caller holds mu.
func (s *Set) ranOtherSoftware(pool, version string, since time.Time) bool {
	for _, e := range s.pool(pool) {
		if e.info.SoftwareVersion != version {
			return true
		}
	}
	for past, droppedAt := range s.pastSoftware[pool] {
		if past != version && droppedAt.After(since) {
			return true
		}
	}
	return false
}

// RunsSoftware reports whether a listed replica of a pool runs a software version and is not draining.
func (s *Set) RunsSoftware(pool, version string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.pool(pool) {
		if e.info.SoftwareVersion == version && !e.info.Leaving {
			return true
		}
	}
	return false
}

// maxPastSoftware bounds the versions that are remembered of one pool. Rows of other writers may name
// any number of them.
const maxPastSoftware = 64

// recordPastSoftware records that a replica is dropped from the list. The caller holds mu.
func (s *Set) recordPastSoftware(dropped *Info) {
	versions := s.pastSoftware[dropped.Pool]
	if versions == nil {
		versions = map[string]time.Time{}
		if s.pastSoftware == nil {
			s.pastSoftware = map[string]map[string]time.Time{}
		}
		s.pastSoftware[dropped.Pool] = versions
	}
	versions[dropped.SoftwareVersion] = clock.Now()
	if len(versions) > maxPastSoftware {
		delete(versions, oldestKey(versions))
	}
}

// oldestKey returns the key with the earliest time of a map that is not empty.
func oldestKey(times map[string]time.Time) string {
	var oldest string
	var earliest time.Time
	for key, at := range times {
		if earliest.IsZero() || at.Before(earliest) {
			oldest, earliest = key, at
		}
	}
	return oldest
}
