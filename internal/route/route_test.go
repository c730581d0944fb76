package route

import (
	"math"
	"testing"
)

func tableOf(version uint64, routes ...*Route) *Table {
	return NewTable(&Config{Version: version, Routes: routes})
}

func TestTable_MatchesLongestPrefix(t *testing.T) {
	short := &Route{Name: "short", Host: "h", Prefix: "/a/"}
	long := &Route{Name: "long", Host: "h", Prefix: "/a/b/"}
	other := &Route{Name: "other", Host: "o", Prefix: "/a/b/c/"}
	table := tableOf(1, short, long, other)
	for path, want := range map[string]*Route{"/a/x": short, "/a/b/c/x": long, "/b/": nil, "/a": nil} {
		if got := table.Match("h", path); got != want {
			t.Errorf("Match(%q) = %v, want %v", path, got, want)
		}
	}
}

func TestRoute_PoolFollowsWeights(t *testing.T) {
	split := &Route{Shares: []Share{{Pool: "a", Weight: 90}, {Pool: "b", Weight: 10}}}
	counts := map[string]int{}
	const requests = 300
	for range requests {
		counts[split.Pool()]++
	}
	if share := float64(counts["b"]) / requests; math.Abs(share-0.1) > 0.01 {
		t.Fatalf("b got %.3f of the requests, want 0.1", share)
	}
}

func TestCurrent_IgnoresOlderVersions(t *testing.T) {
	var current Current
	if !current.Replace(tableOf(7)) || current.Replace(tableOf(5)) || current.Replace(tableOf(7)) {
		t.Fatal("an older or equal version took effect")
	}
	if !current.Replace(tableOf(9)) || current.Load().Version != 9 {
		t.Fatal("a newer version did not take effect")
	}
}

func TestConfig_ValidateReportsAllFindings(t *testing.T) {
	config := &Config{Routes: []*Route{{Name: "r", Prefix: "x", Kind: "odd"}}}
	if found := config.Validate(); len(found) != 4 {
		t.Fatalf("findings are %v, want 4", found)
	}
}

func TestRoute_MayRepeat(t *testing.T) {
	cases := map[*Route]bool{
		{Kind: Repeatable}:              true,
		{Kind: Once}:                    false,
		{Kind: Stream}:                  false,
		{Kind: Stream, Resumable: true}: true,
		{Kind: Batch}:                   true,
	}
	for route, want := range cases {
		if route.MayRepeat() != want {
			t.Errorf("MayRepeat of %s, resumable %v, is %v", route.Kind, route.Resumable, !want)
		}
	}
}
