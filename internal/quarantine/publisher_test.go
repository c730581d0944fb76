package quarantine

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/table"
)

// silentTable leaves all commits without an answer.
type silentTable struct{ table.Service }

func (silentTable) Commit(ctx context.Context, _ string, _ ...table.Write) ([]uint64, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// TestPublisher_TellsAtOnceWhileTheTableIsSilent: other nodes hear in messages what a node has
// seen, whether or not it can be written. The messages waited for the write of what was there
// before, 2 s for each try that got no answer and up to a second between two tries; meanwhile
// the other nodes counted ends against popular work that had ended well here after them, and
// refused it.
//
// Seen in a soak (seed 7215) that leaves calls at the store without an answer: node-2 wrote
// "suspected work ended well" for work with five ends at 47.574 s, and "ends of replicas not
// written yet: context deadline exceeded" at 45.801 and 47.923 s, so a write was under way all
// the time between. Node-1 wrote "work quarantined" at 48.128 s, for these five ends and one
// more, and refused the work.
func TestPublisher_TellsAtOnceWhileTheTableIsSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var list List
		rows := &Rows{Partition: "g/q", Guard: &Guard{List: &list}}
		rows.Apply(table.Changes{Now: time.Hour}, true)
		publisher := NewPublisher(silentTable{}, rows, func() string { return "session" })
		told := make(chan News, 10)
		publisher.Tell = func(news News) { told <- news }
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			publisher.Run(ctx)
		}()
		publisher.Report(Report{Replica: "r", Runs: runsOf(time.Now(), work("w")), At: time.Now()})
		time.Sleep(500 * time.Millisecond)
		if news := <-told; len(news.Reports) != 1 {
			t.Errorf("told first is %+v", news)
		}
		publisher.Clear(Clearing{Work: work("w"), At: time.Now()})
		time.Sleep(2 * gather)
		select {
		case news := <-told:
			if len(news.Clearings) != 1 {
				t.Errorf("told next is %+v", news)
			}
		default:
			t.Errorf("nothing is told %v after a run ended well", 2*gather)
		}
		cancel()
		<-ended
	})
}
