package node

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/jobs"
)

// writeUnreadableRows writes unreadable rows to each table that gateways read, with keys that
// contain round.
func writeUnreadableRows(site *gatewaySite, round string) {
	for _, key := range []string{
		"job/" + round, "progress/" + round, "counter/" + round, "member/" + round, "member/ghost-" + round + "#1",
		"end/" + round, "cleared/" + round, round,
	} {
		for _, part := range []string{"", "members", "quarantine", "0", "1", "2", "3"} {
			site.store.PutValue("work", part, key, []byte("\xff not a row of ours"))
		}
	}
	for _, part := range []string{"session-0", "session-1"} {
		site.store.PutValue("sessions", part, "0"+round, []byte("odd"))
		site.store.PutValue("sessions", part, "f"+round, nil)
	}
	site.store.PutValue("servers", "", "odd-"+round, []byte("\x00\xff"))
	site.store.PutValue("servers", "", "half-"+round, []byte(`{"service":"llm","slots":8,"state":"ready"}`))
	site.store.PutValue("op", "", "odd-"+round, nil)
}

// TestGateway_UnreadableRowsAffectNothingElse writes unreadable rows to all tables before and after
// a gateway starts. It must start, serve, run jobs and read later rows.
func TestGateway_UnreadableRowsAffectNothingElse(t *testing.T) {
	site := newGatewaySite(t, 2)
	writeUnreadableRows(site, "before")
	gateway := site.start("a")
	writeUnreadableRows(site, "after")
	site.configure(2, "resume", "added")
	site.eventually("the later configuration is in force", func() bool { return gateway.routes.Load().Version == 2 })
	if status, text, _ := site.call(gateway, http.MethodPost, "/added/x", "q", nil); status != http.StatusOK {
		t.Fatalf("request: %d %q", status, text)
	}
	if status, text, _ := site.call(gateway, http.MethodPost, "/batch/j", "j", jobBody("j", 5)); status != http.StatusAccepted {
		t.Fatalf("submission: %d %q", status, text)
	}
	if listing := site.awaitJob(gateway, "j"); listing.Total != 5 {
		t.Errorf("listing is %+v", listing)
	}
	if nodes := gateway.roster.Nodes(); len(nodes) != 1 {
		t.Errorf("the nodes are %v", nodes)
	}
	if listed, _ := gateway.replicas.Count(time.Now()); listed != 2 {
		t.Errorf("%d replicas are listed", listed)
	}
	site.eventually("both rounds are counted", func() bool {
		return gateway.unreadableTotal(t) > 50 && unreadableCount(t, gateway.core, "sessions", "envelope") == 8
	})
	counted := gateway.unreadableTotal(t)
	// A node that joins later reads all of them at once.
	second := site.start("b")
	site.eventually("the nodes know each other", func() bool {
		return len(gateway.roster.Nodes()) == 2 && len(second.roster.Nodes()) == 2
	})
	if after := gateway.unreadableTotal(t); after != counted {
		t.Errorf("%v rows were counted, %v after further polls", counted, after)
	}
}

// unreadableTotal returns the sum of the metric over all tables and reasons.
func (g *Gateway) unreadableTotal(t *testing.T) float64 {
	t.Helper()
	families, err := g.metrics.registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	var total float64
	for _, family := range families {
		if family.GetName() != "wheelhoist_rows_unreadable_total" {
			continue
		}
		for _, metric := range family.GetMetric() {
			total += metric.GetCounter().GetValue()
		}
	}
	return total
}

// Guards against a node that ends, or stops following the list of replicas, because another writer left an entry that
// is nested very deeply or has numbers out of range.
func TestGateway_FollowsTheListBesideOddEntries(t *testing.T) {
	nested := strings.Repeat("[", 20000) + strings.Repeat("]", 20000)
	object := strings.Repeat(`{"a":`, 9000) + "1" + strings.Repeat("}", 9000)
	entry := func(field, value string) string {
		fields := map[string]string{
			"service": `"llm"`, "address": `"127.0.0.1:9"`, "zone": `"z"`, "version": `"v1"`, "slots": "4", "state": `"ready"`,
			"coldLeftMs": "0", "callSeq": "1", "born": "1764720000123",
		}
		fields[field] = value
		var text []string
		for name, value := range fields {
			text = append(text, fmt.Sprintf("%q:%s", name, value))
		}
		return "{" + strings.Join(text, ",") + "}"
	}
	odd := []string{
		nested, object, entry("extra", nested), entry("version", nested), entry("zone", object), entry("slots", "1e400"), entry("version", "1e400"),
		entry("born", "1e400"), entry("born", "-9223372036854775809"), entry("callSeq", "1e400"), entry("coldLeftMs", "1e400"), entry("slots", "1e300"),
		entry("address", `"127.0.0.1:70000"`), entry("address", `"127.0.0.1:-1"`), entry("address", `"127.0.0.1:99999999999999999999"`), entry("address", `"[::1%25x]:80"`),
	}
	nestedCBOR := []byte(strings.Repeat("\x81", 20000))
	site := newGatewaySite(t, 1)
	gateways := site.startAll("a", "b")
	for round := range 3 {
		for i, value := range odd {
			site.store.PutValue("servers", "", fmt.Sprint("odd-", i, "-", round), []byte(value))
			site.store.PutValue("op", "", fmt.Sprint("odd-", i, "-", round), []byte(value))
		}
		for _, part := range append(jobs.Parts(), "") {
			site.store.PutValue(jobs.Group, part, fmt.Sprint("pool/odd", round), nestedCBOR)
			site.store.PutValue(jobs.Group, part, fmt.Sprint("member/odd#", round), nestedCBOR)
		}
		site.store.PutValue(originPartition, "", fmt.Sprint("odd", round), nestedCBOR)
		site.addServer(fmt.Sprint("i-new-", round), "")
		site.configure(round+2, "resume")
		for _, gateway := range append(gateways, site.start(fmt.Sprint("started-", round))) {
			site.eventually("the list and the configuration are followed", func() bool {
				_, listed := gateway.replicas.Get(fmt.Sprint("i-new-", round))
				return listed && gateway.routes.Load().Version == uint64(round+2)
			})
			if status, text, _ := site.call(gateway, http.MethodPost, "/resume/x", fmt.Sprint("q", round, gateway.settings.Node.ID), nil); status != http.StatusOK {
				t.Errorf("round %d: %d %q", round, status, text)
			}
		}
	}
	if listed, _ := gateways[0].replicas.Count(time.Now()); listed != len(site.servers) {
		t.Errorf("%d replicas are listed, want %d", listed, len(site.servers))
	}
}
