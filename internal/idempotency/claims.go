// Package idempotency ensures that a request with an idempotency key runs at most once across all
// nodes. A claim row is written before the request is sent to a replica.
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
	// ErrInProgress reports that another attempt holds the claim and has no recorded answer: it
	// is running, or its node died and its outcome is unknown.
	ErrInProgress = errors.New("a request with this key has been started")
	// ErrMismatch reports that the key was used with a different request body.
	ErrMismatch = errors.New("the key was used for another request")
	// ErrStoreUnavailable reports that the claim could not be read or written. The request did
	// not run.
	ErrStoreUnavailable = errors.New("claim store unavailable")
)

const (
	partition = "claims"
	// maxAnswerBytes is the maximum size of a recorded answer, to keep rows small.
	maxAnswerBytes = 128 << 10
)

// State is the state of a claim.
type State uint8

// States of a claim.
const (
	// Started claims belong to a request that may be running or may have run.
	Started State = iota + 1
	// Answered claims hold the recorded answer.
	Answered
	// NotRun claims belong to a request that is known not to have run. The key may be claimed
	// again.
	NotRun
)

// Claim is the stored record of an idempotency key.
type Claim struct {
	State State
	// Fingerprint is the SHA-256 hash of the request body.
	Fingerprint []byte
	// Body and ContentType are those of the recorded answer.
	Body        []byte
	ContentType string
	CreatedAt   time.Time

	key     table.Key
	version uint64
}

// Store stores claims in the table service.
type Store struct {
	// Unreadable receives reports of claims that cannot be decoded. It may be nil, and must be
	// set before use.
	Unreadable *table.Unreadable

	service table.Service
}

// NewStore returns a Store that uses service.
func NewStore(service table.Service) *Store { return &Store{service: service} }

// Begin claims a tenant's key for a request. It returns a new claim in state Started, the existing
// claim in state Answered, or an error.
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
		// The claim may have been written, but nothing has been sent, so the request did not
		// run.
		return nil, Error.Wrap(outcome.AsNotDone(fmt.Errorf("%w: %w", ErrStoreUnavailable, err)))
	}
	return s.resumeExisting(ctx, claim)
}

// resumeExisting handles a key that has been claimed before. It returns the existing claim if that
// has a recorded answer, claim itself if it could replace one in state NotRun, and otherwise an error:
// the request must not run.
func (s *Store) resumeExisting(ctx context.Context, claim *Claim) (*Claim, error) {
	row, err := s.service.Get(ctx, claim.key)
	if err != nil {
		return nil, Error.Wrap(outcome.AsNotDone(fmt.Errorf("%w: %w", ErrStoreUnavailable, err)))
	}
	earlier := &Claim{key: claim.key, version: row.Version}
	if err := row.Decode(earlier); err != nil {
		// The request may have run, so it must not run again.
		s.Unreadable.Report(err)
		return nil, Error.Wrap(outcome.AsUnknown(fmt.Errorf("%w: %w", ErrInProgress, err)))
	}
	switch {
	case string(earlier.Fingerprint) != string(claim.Fingerprint):
		return nil, Error.Wrap(outcome.AsNotDone(ErrMismatch))
	case earlier.State == Answered:
		return earlier, nil
	case earlier.State == NotRun:
		claim.version = row.Version
		if err := s.write(ctx, claim); err != nil {
			return nil, Error.Wrap(outcome.AsNotDone(fmt.Errorf("%w: %w", ErrInProgress, err)))
		}
		return claim, nil
	default:
		return nil, Error.Wrap(outcome.AsUnknown(ErrInProgress))
	}
}

// write stores the next version of the claim.
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

// RecordAnswer records the answer to a claimed request for later attempts. If the answer exceeds
// maxAnswerBytes, the claim remains in state Started, and later attempts are refused.
func (s *Store) RecordAnswer(ctx context.Context, claim *Claim, contentType string, body []byte) error {
	if len(body) > maxAnswerBytes {
		return nil
	}
	claim.State, claim.ContentType, claim.Body = Answered, contentType, body
	return Error.Wrap(s.write(ctx, claim))
}

// Release records that a claimed request did not run, so that the key may be claimed again.
func (s *Store) Release(ctx context.Context, claim *Claim) error {
	claim.State = NotRun
	return Error.Wrap(s.write(ctx, claim))
}
