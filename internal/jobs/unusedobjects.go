package jobs

import (
	"context"
	"errors"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/retry"
	"github.com/wheelhoist/wheelhoist/internal/table"
)

const (
	// resolveDelay is the pause between two checks whether an object is referred to, resolveTime the
	// time after which an undecided one is left in the store.
	resolveDelay = 2 * time.Second
	resolveTime  = time.Minute
)

// errObjectUsed reports that a row refers to an object.
var errObjectUsed = errors.New("a row refers to the object")

// deleteWhenUnused deletes an object once check returns nil, which means that no row refers to it or ever will.
// It returns errObjectUsed as soon as check does, and the last error if the object is still there after
// resolveTime. The end of ctx does not stop it.
func (s *Service) deleteWhenUnused(ctx context.Context, object string, check func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), resolveTime)
	defer cancel()
	for {
		err := check(ctx)
		if err == nil {
			err = s.deleteUnused(ctx, object)
		}
		if err == nil || errors.Is(err, errObjectUsed) || !retry.Sleep(ctx, resolveDelay) {
			return err
		}
	}
}

// getOnce makes one call to read a row. Unlike getRow, it leaves the pace of further calls to its caller.
func (s *Service) getOnce(ctx context.Context, key table.Key) (table.Row, error) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	row, err := s.Table.Get(callCtx, key)
	return row, readError(err)
}

// deleteUnused makes one call to delete an object that nothing refers to or ever will.
func (s *Service) deleteUnused(ctx context.Context, name string) error {
	callCtx, cancel := context.WithTimeout(ctx, objectTimeout)
	defer cancel()
	return Error.Wrap(s.Objects.Delete(callCtx, name))
}
