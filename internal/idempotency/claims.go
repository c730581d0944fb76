// Package idempotency makes a request with an idempotency key run at most once
// over all nodes, by a claim row that is written before the request is sent.
package idempotency

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/zeebo/errs"

	"github.com/wheelhoist/wheelhoist/internal/outcome"
	"github.com/wheelhoist/wheelhoist/internal/table"
)

// Error is the class of all errors of this package.
var Error = errs.Class("idempotency")

var (
	// ErrInProgress reports that another sending holds the claim and has no
	// recorded answer: it is running, or its node died and nobody can tell.
	ErrInProgress = errors.New("a request with this key has been started")
	// ErrMismatch reports that the key was used for another request.
	ErrMismatch = errors.New("the key was used for another request")
	// ErrStoreUnavailable reports that the claim could not be written. The
	// request did not run.
	ErrStoreUnavailable = errors.New("claim store unavailable")
)

const (
	partition = "claims"
	// maxAnswerBytes bounds a recorded answer, so that the row stays small.
	maxAnswerBytes = 128 << 10
)

// State is the state of a claim.
type State uint8

// States of a claim.
const (
	// Started claims belong to a request that may run.
	Started State = iota + 1
	// Answered claims hold the recorded answer.
	Answered
	// NotRun claims belong to a request that provably did not run; the key may
	// be used again.
	NotRun
)

// Claim is the record of a key.
type Claim struct {
	State       State
	Fingerprint []byte
	Body        []byte
	ContentType string
	CreatedAt   time.Time

	key     table.Key
	version uint64
}

// Store keeps claims in the table service.
type Store struct {
	// Unreadable, if set before use, is told of claims that cannot be read.
	Unreadable *table.Unreadable

	service table.Service
}

// NewStore returns a store.
func NewStore(service table.Service) *Store { return &Store{service: service} }

// Begin claims a key for a request. It returns a fresh claim in state Started,
// or the earlier claim in state Answered, or an error.
func (s *Store) Begin(ctx context.Context, tenant, key string, body []byte) (*Claim, error) {
	sum := sha256.Sum256([]byte(tenant + "\x00" + key))
	fingerprint := sha256.Sum256(body)
	claim := &Claim{
		State: Started, Fingerprint: fingerprint[:], CreatedAt: time.Now().UTC(),
		key: table.Key{Partition: partition, Sort: hex.EncodeToString(sum[:])},
	}
	err := s.write(ctx, claim)
	if err == nil {
		return claim, nil
	}
	if !errors.Is(err, table.ErrConflict) {
		// An undecided claim may exist, but this node has not sent anything, so
		// the request did not run.
		return nil, Error.Wrap(outcome.Failed(fmt.Errorf("%w: %w", ErrStoreUnavailable, err)))
	}
	return s.resumeExisting(ctx, claim)
}

// resumeExisting decides about a key that has been claimed before.
func (s *Store) resumeExisting(ctx context.Context, claim *Claim) (*Claim, error) {
	row, err := s.service.Get(ctx, claim.key)
	if err != nil {
		return nil, Error.Wrap(outcome.Failed(fmt.Errorf("%w: %w", ErrStoreUnavailable, err)))
	}
	earlier := &Claim{key: claim.key, version: row.Version}
	if err := row.Decode(earlier); err != nil {
		// The request may have run, so it must not run again.
		s.Unreadable.Report(err)
		return nil, Error.Wrap(outcome.Undecided(fmt.Errorf("%w: %w", ErrInProgress, err)))
	}
	switch {
	case string(earlier.Fingerprint) != string(claim.Fingerprint):
		return nil, Error.Wrap(outcome.Failed(ErrMismatch))
	case earlier.State == Answered:
		return earlier, nil
	case earlier.State == NotRun:
		claim.version = row.Version
		if err := s.write(ctx, claim); err != nil {
			return nil, Error.Wrap(outcome.Failed(fmt.Errorf("%w: %w", ErrInProgress, err)))
		}
		return claim, nil
	default:
		return nil, Error.Wrap(outcome.Undecided(ErrInProgress))
	}
}

// write stores the claim's next version.
func (s *Store) write(ctx context.Context, claim *Claim) error {
	body, err := cbor.Marshal(claim)
	if err != nil {
		return Error.Wrap(err)
	}
	err = table.CommitSettled(ctx, s.service, table.NewOperation(),
		table.Write{Key: claim.key, Expect: claim.version, Body: body})
	if err == nil {
		claim.version++
	}
	return err
}

// RecordAnswer records the answer of a claimed request for later sendings. An answer
// too large to keep leaves the claim started: a resend is then refused.
func (s *Store) RecordAnswer(ctx context.Context, claim *Claim, contentType string, body []byte) error {
	if len(body) > maxAnswerBytes {
		return nil
	}
	claim.State, claim.ContentType, claim.Body = Answered, contentType, body
	return Error.Wrap(s.write(ctx, claim))
}

// Release records that a claimed request provably did not run.
func (s *Store) Release(ctx context.Context, claim *Claim) error {
	claim.State = NotRun
	return Error.Wrap(s.write(ctx, claim))
}
