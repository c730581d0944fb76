// Package lease lets a node hold work such that another node can take it over after the holder
// has failed.
//
// A node holds all of its work through one session row in the table service, which it renews
// periodically. Another node may take over the work of a session once it has itself observed the
// row unchanged for the time to live, measured on its own monotonic clock. Clocks of different
// machines are therefore never compared, and no node can take work over while the store is down.
// Every write of a holder is conditional on the version of the row it holds, so the store rejects
// the writes of a holder that resumes after its work was taken over.
package lease

import (
	"context"
	"errors"
	"math"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"

	"github.com/wheelhoist/wheelhoist/internal/clock"
	"github.com/wheelhoist/wheelhoist/internal/outcome"
	"github.com/wheelhoist/wheelhoist/internal/retry"
	"github.com/wheelhoist/wheelhoist/internal/table"
)

// Error is the class of all errors of this package.
var Error = errs.Class("lease")

const (
	// sessionSeparator separates the node ID from the run ID in a session ID.
	sessionSeparator = "#"
	// ringHashDigits is the number of hexadecimal digits of the hash at the start of a sort key.
	ringHashDigits = 8
	// sweepMultiple is the age at which an abandoned row is deleted, as a multiple of TimeToLive.
	sweepMultiple = 10
	// renewAttempts is the number of attempts with the initial timeout that fit into a renewal
	// interval. The wait after a failed attempt is the interval divided by renewRetryDivisor.
	renewAttempts     = 4
	renewRetryDivisor = 16
	// throttledDivisor is the same for an attempt that the store refused because it gets too many
	// calls. Retries at the interval of other failures would keep it overloaded.
	throttledDivisor = 4
)

// Session is a node's own session. It is safe for concurrent use.
type Session struct {
	service table.Service
	id      string

	// Body, if set before first use, returns the body of the session row.
	Body func() []byte
	// MemberPartition, if set before first use, is the partition of a member row that exists as
	// long as the session; see Roster.
	MemberPartition string
	// Member, if set before first use, is the content of the member row.
	Member Member

	// confirmedAt is the start time of the last write of the row that is known to have succeeded.
	confirmedAt atomic.Pointer[time.Time]

	// initialPartitions, if set before first use, returns the number of partitions to create the
	// session in.
	initialPartitions func() int

	mu      sync.Mutex
	version uint64
	// memberVersion is the version of the member row.
	memberVersion uint64
	// partitions is the number of partitions among which the row was placed. It is written with mu
	// held.
	partitions atomic.Int64
	// placed is set once the row may exist, even if that is not known.
	placed bool
	// moving is that number after a move whose outcome is not yet known; 0 if there is none.
	moving  int
	created bool
	// unresolvedSince is the start time of the first write whose outcome is not yet known.
	unresolvedSince time.Time
	// ended is set by End; the row is not written afterwards.
	ended  bool
	timing Timing
}

// Timing determines how fast failed holders are detected.
type Timing struct {
	// TimeToLive is how long a session must be observed unchanged before its work may be taken
	// over.
	TimeToLive time.Duration
	// RenewInterval should allow for two failed renewals within TimeToLive.
	RenewInterval time.Duration
}

// NewSession returns a session with a new ID for this run of a node.
func NewSession(service table.Service, node string, timing Timing) *Session {
	s := &Session{service: service, id: node + sessionSeparator + table.NewOperation()[:12], timing: timing}
	s.partitions.Store(basePartitions)
	return s
}

// Node returns the node ID of a session.
func Node(session string) string {
	node, _, _ := strings.Cut(session, sessionSeparator)
	return node
}

// sessionID returns the session ID contained in a sort key.
func sessionID(sortKey string) string { return sortKey[min(len(sortKey), ringHashDigits):] }

// isSessionID reports whether id has the form of an ID created by NewSession.
func isSessionID(id string) bool {
	node, run, found := strings.Cut(id, sessionSeparator)
	return found && node != "" && run != ""
}

// SameNode reports whether two sessions are runs of the same node. A node has one run at a time, so
// one of two different sessions has ended.
func SameNode(a, b string) bool { return Node(a) == Node(b) }

// ID returns the ID of the session. It is never reused after a restart.
func (s *Session) ID() string { return s.id }

// Ensure creates the session row unless it exists. It must succeed before the session holds work.
// It waits for a response no longer than RenewInterval, because a response may be lost; the next
// call tries again.
func (s *Session) Ensure(ctx context.Context) error {
	if s.confirmedAt.Load() != nil {
		// Avoids waiting for mu, which a renewal that hangs may hold until its timeout.
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

// Renew writes the next version of the row.
func (s *Session) Renew(ctx context.Context) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.created || s.ended {
		return nil
	}
	return s.renew(ctx)
}

// renew writes the next version of the row, or creates it. The caller holds mu.
func (s *Session) renew(ctx context.Context) error {
	if !s.created && !s.placed && s.initialPartitions != nil {
		s.partitions.Store(int64(s.initialPartitions()))
	}
	if !s.created && s.placed {
		// An earlier attempt may have created the row after its response was given up. A read costs an
		// overloaded store less than another attempt.
		if s.readBack(ctx); s.created {
			return nil
		}
	}
	writes := []table.Write{{Key: s.key(), Expect: s.version, Body: s.body()}}
	if s.version == table.Absent && s.MemberPartition != "" {
		writes = append(writes, s.memberWrite(table.Absent, s.placedAmong()))
	}
	start := s.beginWrite()
	versions, err := s.service.Commit(ctx, table.NewOperation(), writes...)
	if err != nil {
		return s.resolve(ctx, err)
	}
	if len(versions) > 1 {
		s.memberVersion = versions[1]
	}
	s.version, s.created, s.moving = versions[0], true, 0
	s.confirm(start)
	return nil
}

// move places the row among another number of partitions, which also renews it. The member row tells
// the other nodes where it is.
func (s *Session) move(ctx context.Context, partitions int) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.created || s.ended || s.placedAmong() == partitions {
		return nil
	}
	s.moving = partitions
	writes := []table.Write{
		{Key: s.key(), Kind: table.Delete, Expect: s.version},
		{Key: sessionKeyAmong(partitions, s.id), Expect: table.Absent, Body: s.body()},
		s.memberWrite(s.memberVersion, partitions),
	}
	start := s.beginWrite()
	versions, err := s.service.Commit(ctx, table.NewOperation(), writes...)
	if err != nil {
		return s.resolve(ctx, err)
	}
	s.partitions.Store(int64(partitions))
	s.version, s.memberVersion, s.moving = versions[1], versions[2], 0
	s.confirm(start)
	return nil
}

// placedAmong returns the number of partitions among which the row is placed.
func (s *Session) placedAmong() int { return int(s.partitions.Load()) }

// key returns the key of the row.
func (s *Session) key() table.Key { return sessionKeyAmong(s.placedAmong(), s.id) }

// memberWrite returns the write of the member row, given its expected version.
func (s *Session) memberWrite(expect uint64, partitions int) table.Write {
	member := s.Member
	if partitions != basePartitions {
		member.Partitions = partitions
	}
	return table.Write{Key: memberKey(s.MemberPartition, s.id), Expect: expect, Body: encodeMember(member)}
}

// beginWrite returns the start time of a write. The caller holds mu.
func (s *Session) beginWrite() time.Time {
	start := clock.Now()
	if s.unresolvedSince.IsZero() {
		s.unresolvedSince = start
	}
	return start
}

// resolve handles a failed write. After an unknown outcome or a conflict it reads the version back,
// which is safe because no other writer puts the row. The read has a time of its own: the write may
// have used up that of ctx. The caller holds mu.
func (s *Session) resolve(ctx context.Context, err error) error {
	if outcome.Of(err) == outcome.NotDone && !errors.Is(err, table.ErrConflict) {
		return Error.Wrap(err)
	}
	s.placed = true
	readCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), s.timing.RenewInterval/renewAttempts)
	defer cancel()
	s.readBack(readCtx)
	return Error.Wrap(err)
}

// readBack reads the version of the row after a write with an unknown outcome. The caller holds mu.
func (s *Session) readBack(ctx context.Context) {
	row, err := s.service.Get(ctx, s.key())
	if errors.Is(err, table.ErrNotFound) && s.moving != 0 {
		moved, movedErr := s.service.Get(ctx, sessionKeyAmong(s.moving, s.id))
		if movedErr == nil {
			s.partitions.Store(int64(s.moving))
			s.moving = 0
		}
		if movedErr == nil || !errors.Is(movedErr, table.ErrNotFound) {
			row, err = moved, movedErr
		}
	}
	switch {
	case err == nil:
		if row.Version != s.version {
			// One of the writes with a lost response has succeeded.
			s.confirm(s.unresolvedSince)
		}
		s.version = row.Version
		s.created = true
		s.readMemberVersion(ctx)
	case errors.Is(err, table.ErrNotFound):
		s.version = table.Absent
	}
}

// confirm records that a write started at start has succeeded. The caller holds mu.
func (s *Session) confirm(start time.Time) {
	s.confirmedAt.Store(&start)
	s.unresolvedSince = time.Time{}
}

// SinceConfirmed returns the time since the start of the last write of the row that is known to
// have succeeded. Other nodes may consider the session expired once this reaches TimeToLive, but
// never earlier. It returns the maximum duration for a session that was never written.
func (s *Session) SinceConfirmed() time.Duration {
	start := s.confirmedAt.Load()
	if start == nil {
		return math.MaxInt64
	}
	return clock.Since(*start)
}

// readMemberVersion reads back the version of the member row, which was written in the same commit as
// the session row. Without this version End fails, and the session has to expire. The caller holds mu.
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

// DeletePreviousSessions deletes the session rows of earlier runs of this node, so that their work
// can be taken over immediately.
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

// End deletes the session row, so that the remaining work can be taken over immediately, and stops
// renewals.
func (s *Session) End(ctx context.Context) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = true
	if !s.created {
		return nil
	}
	writes := []table.Write{{Key: s.key(), Kind: table.Delete, Expect: s.version}}
	if s.MemberPartition != "" {
		writes = append(writes, table.Write{Key: memberKey(s.MemberPartition, s.id), Kind: table.Delete, Expect: s.memberVersion})
	}
	_, err := s.service.Commit(ctx, table.NewOperation(), writes...)
	return Error.Wrap(err)
}

// Run renews the session until ctx is done. The first attempts time out after a quarter of the
// interval, because a response may be lost; after two failures the timeout grows, because the
// store may be slow.
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
		if errors.Is(err, table.ErrThrottled) {
			delay = s.throttledDelay()
		}
	}
}

// throttledDelay returns the time until the next attempt after the store refused one because it gets
// too many calls. It is random, so that the nodes do not return together, and leaves several attempts
// within the time to live.
func (s *Session) throttledDelay() time.Duration {
	return s.timing.RenewInterval/throttledDivisor + rand.N(s.timing.RenewInterval/throttledDivisor)
}
