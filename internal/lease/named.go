package lease

import (
	"context"
	"errors"

	"github.com/fxamacker/cbor/v2"

	"github.com/wheelhoist/wheelhoist/internal/table"
)

// namedPartition holds the rows of named leases.
const namedPartition = "leases"

// Grant is the right to act under the name of a lease. The epoch increases with each holder, so
// that writes fenced by an older epoch are rejected once a newer holder has written.
type Grant struct {
	Holder string
	Epoch  uint64
}

// ErrHeld reports that another session holds the lease.
var ErrHeld = errors.New("lease held by another session")

// decodeGrant decodes the row of a lease. An unreadable lease has no holder. Its epoch must be at
// least that of the previous holder, which is fenced by the next one: every grant writes the row,
// so no epoch can exceed the row's version.
func decodeGrant(row table.Row, unreadable *table.Unreadable) Grant {
	var grant Grant
	if err := row.Decode(&grant); err != nil {
		unreadable.Report(err)
		return Grant{Epoch: row.Version}
	}
	return grant
}

// Acquire acquires a named lease for a session, or confirms that the session holds it. It returns
// ErrHeld while the session of another holder has not expired.
func Acquire(ctx context.Context, service table.Service, session *Session, watcher *Watcher, name string) (Grant, error) {
	key := table.Key{Partition: namedPartition, Sort: name}
	row, err := service.Get(ctx, key)
	var current Grant
	switch {
	case errors.Is(err, table.ErrNotFound):
	case err != nil:
		return Grant{}, Error.Wrap(err)
	default:
		current = decodeGrant(row, watcher.Unreadable)
	}
	if current.Holder == session.ID() {
		return current, nil
	}
	if current.Holder != "" {
		if err := watcher.RefreshSession(ctx, current.Holder); err != nil {
			return Grant{}, err
		}
		if !watcher.Expired(current.Holder) {
			return Grant{}, Error.Wrap(ErrHeld)
		}
	}
	if err := session.Ensure(ctx); err != nil {
		return Grant{}, err
	}
	next := Grant{Holder: session.ID(), Epoch: current.Epoch + 1}
	body, err := cbor.Marshal(next)
	if err != nil {
		return Grant{}, Error.Wrap(err)
	}
	err = table.CommitSettled(ctx, service, table.NewOperation(), table.Write{Key: key, Expect: row.Version, Body: body})
	if errors.Is(err, table.ErrConflict) {
		return Grant{}, Error.Wrap(ErrHeld)
	}
	return next, Error.Wrap(err)
}
