package listcopy

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/table"
)

// Guards against a start that is delayed by another node that has stopped, and against a list that is
// never copied because it takes longer than an attempt may.
func TestFeed_CopyHasTimeLimit(t *testing.T) {
	for _, test := range []struct {
		name string
		// copyTime is the time that the copies take, in the order of the attempts.
		copyTime []time.Duration
		// earliest and latest bound the time until the node has the list.
		earliest, latest time.Duration
	}{
		{"stopped node", []time.Duration{time.Hour, copyTime}, time.Second, 1500 * time.Millisecond},
		{"slow link", []time.Duration{3 * time.Second, 3 * time.Second, 3 * time.Second}, 6 * time.Second, 6500 * time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				start, attempt := time.Now(), 0
				feed := &Feed{
					Feed: &store{rows: testRows, revision: 5},
					// The store is not read meanwhile.
					Now:  func() time.Time { return start },
					View: func() View { return View{Joined: true, Peers: 3, Rank: 3} },
				}
				feed.Copy = func(ctx context.Context) (table.Changes, error) {
					attempt++
					select {
					case <-ctx.Done():
						return table.Changes{}, ctx.Err()
					case <-time.After(test.copyTime[attempt-1]):
						return table.Changes{Revision: 6}, nil
					}
				}
				page, _, err := feed.Page(t.Context(), table.Cursor{})
				if took := time.Since(start); err != nil || page.Revision != 6 || took < test.earliest || took > test.latest {
					t.Errorf("revision %d, error %v after %v and %d attempts", page.Revision, err, took, attempt)
				}
			})
		})
	}
}
