package node

import (
	"testing"
	"time"

	v1 "github.com/wheelhoist/wheelhoist/api/v1"
	"github.com/wheelhoist/wheelhoist/internal/resource"
	"github.com/wheelhoist/wheelhoist/internal/route"
	"github.com/wheelhoist/wheelhoist/internal/table"
	"github.com/wheelhoist/wheelhoist/internal/table/tabletest"
)

func TestRoutesOf_ModelsAdaptersAndBatches(t *testing.T) {
	shared := tabletest.New()
	writer := resource.NewWriter(shared)
	for _, change := range []resource.Change{
		{Kind: v1.KindModelPool, Name: "p", Spec: []byte(`{"model":"m","version":"v1","adapters":["a"],"replicas":{"max":4},"batch":{"headroom":0.4}}`)},
		{Kind: v1.KindModelPool, Name: "q", Spec: []byte(`{"model":"m","version":"v1","replicas":{"max":4}}`)},
		{Kind: v1.KindSitePolicy, Name: "site", Spec: []byte(`{"queueTimeout":"3s"}`)},
	} {
		if _, err := writer.Commit(t.Context(), change, resource.Precondition{}); err != nil {
			t.Fatal(err)
		}
	}
	store := resource.NewStore(nil)
	page, _, err := shared.Feed(resource.Group).Page(t.Context(), table.Cursor{})
	if err != nil {
		t.Fatal(err)
	}
	store.Apply(page, true)
	config := routesOf(store.Snapshot())
	if findings := config.Validate(); len(findings) > 0 {
		t.Fatal(findings)
	}
	routes := route.NewTable(config)
	online := routes.Match("m", "/v1/chat/completions")
	if online == nil || online.Kind != route.Stream || len(online.Shares) != 2 || online.MaxWait != 3*time.Second {
		t.Fatalf("online route is %+v", online)
	}
	if adapted := routes.Match("m:a", "/v1/completions"); adapted == nil || adapted.Adapter != "a" || len(adapted.Shares) != 1 {
		t.Fatalf("route of the adapter is %+v", adapted)
	}
	items := routes.Match("batch/m", "/v1/chat/completions")
	if items == nil || items.Kind != route.Batch || items.Reserve != 0.4 {
		t.Fatalf("batch route is %+v", items)
	}
	if routes.Match("m:b", "/v1/completions") != nil {
		t.Fatal("an undeclared adapter is served")
	}
}

func TestEvacuationsOf_DeclaredZones(t *testing.T) {
	shared := tabletest.New()
	writer := resource.NewWriter(shared)
	store := resource.NewStore(nil)
	commit := func(change resource.Change) uint64 {
		committed, err := writer.Commit(t.Context(), change, resource.Precondition{})
		if err != nil {
			t.Fatal(err)
		}
		page, _, err := shared.Feed(resource.Group).Page(t.Context(), table.Cursor{})
		if err != nil {
			t.Fatal(err)
		}
		store.Apply(page, true)
		return committed.Revision
	}
	first := commit(resource.Change{Kind: v1.KindEvacuation, Name: "a", Spec: []byte(`{"note":"new switch"}`)})
	second := commit(resource.Change{Kind: v1.KindEvacuation, Name: "b", Spec: []byte(`{"unknown":1}`)})
	if got := evacuationsOf(store.Snapshot()); len(got) != 2 || got["a"] != first || got["b"] != second {
		t.Fatalf("evacuations %v", got)
	}
	commit(resource.Change{Kind: v1.KindEvacuation, Name: "a", Deleted: true})
	if got := evacuationsOf(store.Snapshot()); len(got) != 1 || got["b"] != second {
		t.Fatalf("evacuations %v after one ended", got)
	}
}
