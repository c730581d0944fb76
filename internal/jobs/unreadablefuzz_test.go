package jobs

import (
	"errors"
	"testing"

	"github.com/wheelhoist/wheelhoist/internal/table"
)

// FuzzView guards that a view stays usable whatever bodies its rows have.
func FuzzView(f *testing.F) {
	job := &Job{ID: "j", Items: []ItemHead{{ID: "a", Tokens: 1}, {ID: "b", Tokens: 2, Node: 1}}, Nodes: []string{"n", "m"}, Regions: []string{"x", "y"}}
	f.Add(encode(job), encode(Progress{Listed: []Listed{{Item: 1}}, Reassigned: map[int]string{0: "m"}}), encode(counter{Accepted: 3, Quota: 9}))
	f.Add(encode(job), encode(Progress{Listed: []Listed{{Item: 7}}}), encode(counter{Accepted: -3}))
	f.Add(encode(Job{ID: "j", Items: []ItemHead{{ID: "a", Node: 4}}}), []byte{}, []byte{0xff})
	f.Fuzz(func(t *testing.T, job, progress, count []byte) {
		view := NewView()
		acct := account{route: "batch"}
		view.Apply(table.Changes{Changes: []table.Change{
			{Row: table.Row{Key: counterKey(acct, shardOf("j")), Version: 1, Body: count}},
			{Row: table.Row{Key: jobKey("j"), Version: 2, Body: job}},
			{Row: table.Row{Key: progressKey("j"), Version: 3, Body: progress}},
		}}, true)
		for _, entry := range view.All() {
			entry.activeNodes()
			entry.ownItems("n#1")
			entry.unfinishedTokens()
			entry.Progress.clone()
			for item := range entry.Job.Items {
				entry.regionOf(item)
			}
		}
		if used := view.used(acct); used < 0 {
			t.Fatalf("%d tokens in use", used)
		}
		if entry := view.Get("j"); entry == nil && len(view.Open()) > 0 {
			t.Fatal("an unknown job is open")
		}
	})
}

// FuzzDecodeContent guards that content with other items than those of the job is rejected.
func FuzzDecodeContent(f *testing.F) {
	job := &Job{ID: "j", Items: []ItemHead{{ID: "a"}, {ID: "b"}}}
	f.Add(encode([]Item{{ID: "a"}, {ID: "b"}}))
	f.Add(encode([]Item{{ID: "a"}}))
	f.Add([]byte{0x80})
	f.Fuzz(func(t *testing.T, body []byte) {
		items, err := decodeContent(job, &table.Row{Body: body})
		if err == nil && (len(items) != 2 || items[0].ID != "a" || items[1].ID != "b") {
			t.Fatalf("items are %+v", items)
		}
		if found := (*table.UnreadableError)(nil); err != nil && !errors.As(err, &found) {
			t.Fatalf("rejected with %v", err)
		}
	})
}
