package jobs

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/wheelhoist/wheelhoist/internal/object/objecttest"
	"github.com/wheelhoist/wheelhoist/internal/table"
	"github.com/wheelhoist/wheelhoist/internal/table/tabletest"
)

func TestSubmit_InvalidJobs(t *testing.T) {
	valid := func() *Submission { return submission("j", 2) }
	cases := map[string]func(*Submission){
		"no id":           func(s *Submission) { s.ID = "" },
		"no items":        func(s *Submission) { s.Items = nil },
		"too many items":  func(s *Submission) { s.Items = submission("j", MaxItems+1).Items },
		"item without id": func(s *Submission) { s.Items[1].ID = "" },
		"repeated id":     func(s *Submission) { s.Items[1].ID = s.Items[0].ID },
		"no path":         func(s *Submission) { s.Items[0].Path = "" },
		"wrong tokens":    func(s *Submission) { s.Items[0].Tokens = -1 },
	}
	for name, mutate := range cases {
		submitted := valid()
		mutate(submitted)
		if err := submitted.Check(); !errors.Is(err, ErrInvalid) {
			t.Errorf("%s: %v, want ErrInvalid", name, err)
		}
	}
	if err := valid().Check(); err != nil {
		t.Errorf("a valid job: %v", err)
	}
}

func TestSubmit_ResentJobIsAcceptedOnce(t *testing.T) {
	shared := tabletest.New()
	objects := &objecttest.Store{}
	first, second := startNode(t, shared, objects, "a#1"), startNode(t, shared, objects, "b#1")
	for _, node := range []*testNode{first, second, first} {
		if err := node.Submit(t.Context(), submission("j", 2)); err != nil {
			t.Fatal(err)
		}
	}
	entry, err := second.find(t.Context(), "j")
	if err != nil || entry.Progress.Owner != "a#1" {
		t.Fatalf("entry is %+v, %v", entry, err)
	}
}

func TestSubmit_LostAnswerIsResolved(t *testing.T) {
	shared := tabletest.New()
	faults := []tabletest.Fault{tabletest.Lost}
	shared.CommitFault = func([]table.Write) tabletest.Fault {
		if len(faults) == 0 {
			return tabletest.None
		}
		next := faults[0]
		faults = faults[1:]
		return next
	}
	node := startNode(t, shared, &objecttest.Store{}, "a#1")
	limited := submission("j", 2)
	limited.Quota = 1000
	if err := node.Submit(t.Context(), limited); err != nil {
		t.Fatalf("submitting a job whose write was applied: %v", err)
	}
}

func TestSubmit_NotRefusedWhileAWriteMayStillBeApplied(t *testing.T) {
	shared := tabletest.New()
	shared.CommitFault = func([]table.Write) tabletest.Fault { return tabletest.Late }
	node := startNode(t, shared, &objecttest.Store{}, "a#1")
	ctx, cancel := context.WithTimeout(t.Context(), 150*time.Millisecond)
	defer cancel()
	err := node.Submit(ctx, submission("j", 1))
	if !errors.Is(err, ErrUnknownOutcome) || errors.Is(err, ErrNotAccepted) {
		t.Fatalf("error is %v, want ErrUnknownOutcome", err)
	}
}

func TestSubmit_StoreDownIsNotAccepted(t *testing.T) {
	shared := tabletest.New()
	shared.CommitFault = func([]table.Write) tabletest.Fault { return tabletest.Down }
	node := startNode(t, shared, &objecttest.Store{}, "a#1")
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	if err := node.Submit(ctx, submission("j", 1)); !errors.Is(err, ErrNotAccepted) {
		t.Fatalf("error is %v, want ErrNotAccepted", err)
	}
}

func TestSubmit_LargeContentBecomesAnObject(t *testing.T) {
	node := startNode(t, tabletest.New(), &objecttest.Store{}, "a#1")
	large := submission("j", 3)
	for i := range large.Items {
		large.Items[i].Body = make([]byte, 300<<10)
	}
	if err := node.Submit(t.Context(), large); err != nil {
		t.Fatal(err)
	}
	node.dropContent("j")
	body, err := node.Body(t.Context(), "j", "j-2")
	if err != nil || len(body) != 300<<10 {
		t.Fatalf("body has %d bytes, %v", len(body), err)
	}
}

// TestSubmit_QuotaHoldsUnderFaults lets two nodes accept jobs concurrently while commits fail, lose
// their answer or are delayed. The accepted jobs must never exceed the quota, and no refused job
// may exist.
func TestSubmit_QuotaHoldsUnderFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const quota, jobsPerNode = 1000, 4
		script := rapid.SliceOfN(rapid.SampledFrom([]tabletest.Fault{
			tabletest.None, tabletest.None, tabletest.Down, tabletest.Lost, tabletest.Late,
		}), 4, 20).Draw(rt, "faults")
		shared := tabletest.New()
		next := 0
		shared.CommitFault = func([]table.Write) tabletest.Fault {
			next++
			return script[next%len(script)]
		}
		refused := submitConcurrently(t, shared, quota, jobsPerNode)
		shared.CommitFault = nil
		shared.ApplyLate()
		checkAccepted(rt, shared, quota, refused)
	})
}

// submitConcurrently submits jobs at two nodes and returns those that were definitely refused.
func submitConcurrently(t *testing.T, shared *tabletest.Table, quota int64, count int) map[string]bool {
	refused := map[string]bool{}
	var mu sync.Mutex
	var done sync.WaitGroup
	for _, name := range []string{"a", "b"} {
		node := startNode(t, shared, &objecttest.Store{}, name+"#1")
		done.Add(1)
		go func() {
			defer done.Done()
			for number := range count {
				submitted := submission(fmt.Sprintf("%s%d", name, number), 2)
				submitted.Quota = quota
				ctx, cancel := context.WithTimeout(context.Background(), 60*time.Millisecond)
				err := node.Submit(ctx, submitted)
				cancel()
				if errors.Is(err, ErrQuota) || errors.Is(err, ErrNotAccepted) {
					mu.Lock()
					refused[submitted.ID] = true
					mu.Unlock()
				}
			}
		}()
	}
	done.Wait()
	return refused
}

func checkAccepted(rt *rapid.T, shared *tabletest.Table, quota int64, refused map[string]bool) {
	all, _, err := shared.Feed(Group).Page(context.Background(), table.Cursor{})
	if err != nil {
		rt.Fatal(err)
	}
	view := NewView()
	view.Apply(all, true)
	if used := view.used(account{route: "batch"}); used > quota {
		rt.Fatalf("accepted %d tokens, over the quota of %d", used, quota)
	}
	for _, entry := range view.All() {
		if refused[entry.Job.ID] {
			rt.Fatalf("job %s was refused but exists", entry.Job.ID)
		}
	}
}
