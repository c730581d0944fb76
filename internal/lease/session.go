// Package lease lets a node hold work in the table service such that another
// node can take it over when the holder is gone.
//
// A node holds everything through one session row, which it renews. A
// contender may take work of a session over once it has itself watched the row
// unchanged for the time to live, on its own monotonic clock; so no clock is
// compared between machines, and while the store is down nobody can take over.
// Every effect of a holder is conditional on the version of the row it holds,
// so a holder that wakes up late is refused by the store.
package lease

import (
	"context"
	"errors"
	"fmt"
	"math"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/zeebo/errs"

	"github.com/wheelhoist/wheelhoist/internal/clock"
	"github.com/wheelhoist/wheelhoist/internal/outcome"
	"github.com/wheelhoist/wheelhoist/internal/retry"
	"github.com/wheelhoist/wheelhoist/internal/table"
)

// Error is the class of all errors of this package.
var Error = errs.Class("lease")

const (
	// sessionSeparator parts the node's id from the run's in a session's id.
	sessionSeparator = "#"
	// ringHashDigits is the number of digits of a hash that a row's key begins with.
	ringHashDigits = 8
	// partitionCount is the number of partitionCount that hold the session rows. One of them
	// takes a limited rate of writes (300 a second on the users' platform), and each of
	// 320 nodes renews once a second.
	partitionCount = 2
	// sweepMultiple times TimeToLive is the age at which an abandoned row is deleted.
	sweepMultiple = 10
	// renewAttempts is how many tries fit into an interval at first, and renewRetry
	// parts it into the pauses between tries that fail.
	renewAttempts     = 4
	renewRetryDivisor = 16
)

// Session is a node's own session. It is safe for concurrent use.
type Session struct {
	service table.Service
	id      string

	// Body, if set before the session is used, returns what the row says.
	Body func() []byte
	// MemberPartition, if set before the session is used, is where a second row says
	// that the session is there, for as long as it is; see Roster.
	MemberPartition string
	// Member, if set before the session is used, is what the member row tells of the node.
	Member Member

	// confirmedAt is when the last write of the row that is known to be done was begun.
	confirmedAt atomic.Pointer[time.Time]

	mu      sync.Mutex
	version uint64
	// memberVersion is the version of the memberVersion row.
	memberVersion uint64
	created       bool
	// unresolvedSince is when the first write was begun of those whose outcome is not known.
	unresolvedSince time.Time
	// ended is set once the session is to be ended: it is never written again.
	ended  bool
	timing Timing
}

// Timing is how fast lost holders are noticed.
type Timing struct {
	// TimeToLive is how long a session must be seen unchanged before its work
	// may be taken over.
	TimeToLive time.Duration
	// RenewInterval should leave room for two failed renewals within TimeToLive.
	RenewInterval time.Duration
}

// NewSession returns a session with a fresh id for this run of a node.
func NewSession(service table.Service, node string, timing Timing) *Session {
	return &Session{service: service, id: node + sessionSeparator + table.NewOperation()[:12], timing: timing}
}

// Node returns the node of a session.
func Node(session string) string {
	node, _, _ := strings.Cut(session, sessionSeparator)
	return node
}

// sessionKey is the key of a session's row. It begins with a hash of the node, so the
// rows that follow each other are of nodes from anywhere.
func sessionKey(id string) table.Key {
	hash := ringHash(id)
	return table.Key{Partition: partitionName(partitionOf(hash)), Sort: fmt.Sprintf("%0*x", ringHashDigits, hash) + id}
}

func ringHash(id string) uint32 { return uint32(xxhash.Sum64String(Node(id))) }

// partitionOf cuts the ring of hashes into pieces, so that the order of partitions
// and of keys in them is that of the ring.
func partitionOf(hash uint32) int { return int(uint64(hash) * partitionCount >> 32) }

// partitionName names a partitionName. The name within the table is unlike those of other
// tables, for the users' platform counts the writes by it alone.
func partitionName(index int) string { return fmt.Sprintf("sessions/session-%d", index) }

// listSessions reads all session rows.
func listSessions(ctx context.Context, service table.Service) ([]table.Row, error) {
	var all []table.Row
	for index := range partitionCount {
		rows, err := table.ListAll(ctx, service, partitionName(index))
		if err != nil {
			return nil, err
		}
		all = append(all, rows...)
	}
	return all, nil
}

// sessionID returns the session whose row has a key.
func sessionID(sortKey string) string { return sortKey[min(len(sortKey), ringHashDigits):] }

// isSessionID reports whether an id is made like those of NewSession.
func isSessionID(id string) bool {
	node, run, found := strings.Cut(id, sessionSeparator)
	return found && node != "" && run != ""
}

// SameNode reports whether two sessions belong to runs of the same node. Only
// one run lives at a time, so the other session is over.
func SameNode(a, b string) bool { return Node(a) == Node(b) }

// ID identifies the session; it is never used again after a restart.
func (s *Session) ID() string { return s.id }

// Ensure creates the row unless it exists. Work is held only afterwards. It waits for an
// answer no longer than the interval of renewals: a lost one never comes, and the next
// call tries again.
func (s *Session) Ensure(ctx context.Context) error {
	if s.confirmedAt.Load() != nil {
		// A renewal that hangs holds the lock for up to its time.
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, s.timing.RenewInterval)
	defer cancel()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.created || s.ended {
		return nil
	}
	return s.renew(ctx)
}

// Renew raises the version of the row.
func (s *Session) Renew(ctx context.Context) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.created || s.ended {
		return nil
	}
	return s.renew(ctx)
}

// renew writes the next version. The caller holds mu. Nobody else writes the
// row, so after an unknown outcome the version is read back.
func (s *Session) renew(ctx context.Context) error {
	write := table.Write{Key: sessionKey(s.id), Expect: s.version, Body: s.body()}
	writes := []table.Write{write}
	if s.version == table.Absent && s.MemberPartition != "" {
		writes = append(writes, table.Write{Key: memberKey(s.MemberPartition, s.id), Expect: table.Absent, Body: encodeMember(s.Member)})
	}
	start := clock.Now()
	if s.unresolvedSince.IsZero() {
		s.unresolvedSince = start
	}
	versions, err := s.service.Commit(ctx, table.NewOperation(), writes...)
	if err == nil {
		if len(versions) > 1 {
			s.memberVersion = versions[1]
		}
		s.version = versions[0]
		s.created = true
		s.confirm(start)
		return nil
	}
	if outcome.Of(err) == outcome.NotDone && !errors.Is(err, table.ErrConflict) {
		return Error.Wrap(err)
	}
	row, readErr := s.service.Get(ctx, write.Key)
	switch {
	case readErr == nil:
		if row.Version != s.version {
			// One of the writes was done whose answers were lost.
			s.confirm(s.unresolvedSince)
		}
		s.version = row.Version
		s.created = true
		s.readMemberVersion(ctx)
	case errors.Is(readErr, table.ErrNotFound):
		s.version = table.Absent
	}
	return Error.Wrap(err)
}

// confirm notes that a write was done that was begun at a time. The caller holds mu.
func (s *Session) confirm(start time.Time) {
	s.confirmedAt.Store(&start)
	s.unresolvedSince = time.Time{}
}

// Unconfirmed is how long ago the last write of the row that is known to be done was
// begun. Others may take the session for lost once that is TimeToLive, never before. It
// is the longest time there is for a session that was never written.
func (s *Session) Unconfirmed() time.Duration {
	start := s.confirmedAt.Load()
	if start == nil {
		return math.MaxInt64
	}
	return clock.Since(*start)
}

// readMemberVersion reads the version of the member row back, which one commit has written
// with the session's row. Without it the session cannot be ended, only expire. The
// caller holds mu.
func (s *Session) readMemberVersion(ctx context.Context) {
	if s.MemberPartition == "" {
		return
	}
	if row, err := s.service.Get(ctx, memberKey(s.MemberPartition, s.id)); err == nil {
		s.memberVersion = row.Version
	}
}

func (s *Session) body() []byte {
	if s.Body == nil {
		return nil
	}
	return s.Body()
}

// DeletePreviousSessions deletes the rows that earlier runs of this node have left. A run that
// is gone holds nothing; what it held is taken over at once.
func (s *Session) DeletePreviousSessions(ctx context.Context) error {
	rows, err := listSessions(ctx, s.service)
	if err != nil {
		return Error.Wrap(err)
	}
	for _, row := range rows {
		id := sessionID(row.Sort)
		if id == s.id || !SameNode(id, s.id) {
			continue
		}
		write := table.Write{Key: row.Key, Kind: table.Delete, Expect: row.Version}
		if _, err := s.service.Commit(ctx, table.NewOperation(), write); err != nil {
			return Error.Wrap(err)
		}
	}
	return nil
}

// End deletes the row, so that what is still held can be taken over at once, and stops
// renewals.
func (s *Session) End(ctx context.Context) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = true
	if !s.created {
		return nil
	}
	writes := []table.Write{{Key: sessionKey(s.id), Kind: table.Delete, Expect: s.version}}
	if s.MemberPartition != "" {
		writes = append(writes, table.Write{Key: memberKey(s.MemberPartition, s.id), Kind: table.Delete, Expect: s.memberVersion})
	}
	_, err := s.service.Commit(ctx, table.NewOperation(), writes...)
	return Error.Wrap(err)
}

// Run renews until the context ends. A try waits for its answer a quarter of the
// interval at first, for answers can be lost, and longer once two have failed, for
// the store can be slow.
func (s *Session) Run(ctx context.Context) {
	failures := 0
	delay := s.timing.RenewInterval
	for retry.Sleep(ctx, delay) {
		timeout := s.timing.RenewInterval / renewAttempts << max(0, failures-1)
		callCtx, cancel := context.WithTimeout(ctx, min(timeout, s.timing.RenewInterval))
		err := s.Renew(callCtx)
		cancel()
		if err == nil {
			failures, delay = 0, s.timing.RenewInterval
			continue
		}
		failures, delay = min(failures+1, renewAttempts), s.timing.RenewInterval/renewRetryDivisor
	}
}
